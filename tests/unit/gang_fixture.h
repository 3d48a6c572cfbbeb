/* Fixture for the tests of gang.h: sends single events to a gang, and writes
   the commands of each event as one text.  */

#ifndef FT_GANG_FIXTURE_H
#define FT_GANG_FIXTURE_H

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <glib.h>
#include <string.h>

#include "lease/gang.h"

enum
{
  GF_TTL_MS = 10000,
  GF_RENEW_MS = 3000,
  GF_CALL_TIMEOUT_MS = 2000,
  GF_START_TIMEOUT_MS = 5000,
  GF_GRACE_MS = 1000,         /* passed with a stop event */
  GF_RETRY_MS = 300,          /* GANG_RETRY_MS of lib/lease */
  GF_RESTART_DELAY_MS = 1000, /* GANG_RESTART_DELAY_MS of lib/lease */
  GF_BOOT = 7
};

struct gf_fixture
{
  struct gang *gang;
  int64_t now_ms;
  GString *commands_text;    /* the commands of the last event */
  struct gang_command stop;  /* the last GANG_RECORD_STOP */
  struct gang_command ended; /* the last GANG_COMMAND_ENDED */
};

/* By enum gang_record.  */
static const char *const gf_records[]
    = { "place", "started", "lost", "stopped" };

/* Appends a command, such as "lease 0", "start 1", "record place" or "ended",
   and a ";"; the number is the index of the member, a worker of the gang.  */
static void
gf_write_command (struct gf_fixture *f, const struct gang_command *command)
{
  static const char *const names[]
      = { "", "lease", "start", "checkpoint", "stop", "record", "ended" };

  g_string_append (f->commands_text, names[command->kind]);
  if (command->kind == GANG_COMMAND_RECORD)
    g_string_append_printf (f->commands_text, " %s",
                            gf_records[command->record]);
  else if (command->kind != GANG_COMMAND_ENDED)
    g_string_append_printf (f->commands_text, " %zu", command->member);
  g_string_append_c (f->commands_text, ';');
  if (command->kind == GANG_COMMAND_RECORD
      && command->record == GANG_RECORD_STOP)
    f->stop = *command;
  if (command->kind == GANG_COMMAND_ENDED)
    f->ended = *command;
}

/* Sends one event; returns the text of its commands.  */
static const char *
gf_send_event (struct gf_fixture *f, struct gang_event event)
{
  const struct gang_command *commands;
  size_t count;
  size_t i;

  event.now_ms = f->now_ms;
  count = gang_handle_event (f->gang, &event, &commands);
  g_string_truncate (f->commands_text, 0);
  for (i = 0; i < count; i++)
    gf_write_command (f, &commands[i]);
  return f->commands_text->str;
}

static inline const char *
gf_send (struct gf_fixture *f, enum gang_event_kind kind)
{
  return gf_send_event (f, (struct gang_event){ .kind = kind });
}

/* Sends the answer of a worker that has not restarted.  */
static inline const char *
gf_send_reply (struct gf_fixture *f, enum gang_event_kind kind, size_t member,
               enum gang_reply reply)
{
  return gf_send_event (f, (struct gang_event){ .kind = kind,
                                                .member = member,
                                                .reply = reply,
                                                .worker_boot_id = GF_BOOT });
}

static inline const char *
gf_send_stopped (struct gf_fixture *f, size_t member, bool started)
{
  return gf_send_event (f, (struct gang_event){ .kind = GANG_EV_STOPPED,
                                                .member = member,
                                                .worker_boot_id = GF_BOOT,
                                                .started = started });
}

static inline const char *
gf_send_recorded (struct gf_fixture *f, enum gang_record record,
                  enum gang_verdict verdict)
{
  return gf_send_event (f, (struct gang_event){ .kind = GANG_EV_RECORDED,
                                                .record = record,
                                                .verdict = verdict });
}

static inline const char *
gf_send_task_ended (struct gf_fixture *f, uint32_t task, bool ok, bool lapsed)
{
  return gf_send_event (f, (struct gang_event){ .kind = GANG_EV_TASK_ENDED,
                                                .task = task,
                                                .ok = ok,
                                                .lapsed = lapsed });
}

static inline const char *
gf_advance_ms (struct gf_fixture *f, int64_t time_ms)
{
  f->now_ms += time_ms;
  return gf_send (f, GANG_EV_TICK);
}

/* Three tasks: two on worker a (member 0), one on worker b (member 1).  */
static inline void
gf_setup (struct gf_fixture *f, bool repeatable)
{
  static const struct place_assignment assignments[]
      = { { .task = 0, .worker = "a", .accelerators = 1 },
          { .task = 1, .worker = "b", .accelerators = 1 },
          { .task = 2, .worker = "a", .accelerators = 2 } };
  struct gang_params params = { .assignments = assignments,
                                .assignment_count = 3,
                                .repeatable = repeatable,
                                .checkpointable = true,
                                .may_retry = true,
                                .progress_ms = 5,
                                .lease_ttl_ms = GF_TTL_MS,
                                .renew_interval_ms = GF_RENEW_MS,
                                .call_timeout_ms = GF_CALL_TIMEOUT_MS,
                                .start_timeout_ms = GF_START_TIMEOUT_MS };

  memset (f, 0, sizeof *f);
  f->now_ms = 1000;
  f->commands_text = g_string_new (NULL);
  CU_ASSERT_EQUAL_FATAL (gang_create (&f->gang, &params), GANG_OK);
}

static inline void
gf_teardown (struct gf_fixture *f)
{
  gang_free (f->gang);
  g_string_free (f->commands_text, TRUE);
}

/* Brings a new gang to one of the states GANG_LEASING to GANG_RUNNING.  */
static inline void
gf_bring_to (struct gf_fixture *f, enum gang_state state)
{
  gf_send (f, GANG_EV_BEGIN);
  if (state == GANG_LEASING)
    return;
  gf_send_reply (f, GANG_EV_LEASED, 0, GANG_REPLY_OK);
  gf_send_reply (f, GANG_EV_LEASED, 1, GANG_REPLY_OK);
  if (state == GANG_RECORDING_PLACE)
    return;
  gf_send_recorded (f, GANG_RECORD_PLACE, GANG_VERDICT_VALID);
  if (state == GANG_STARTING)
    return;
  gf_send_reply (f, GANG_EV_STARTED, 0, GANG_REPLY_OK);
  gf_send_reply (f, GANG_EV_STARTED, 1, GANG_REPLY_OK);
  gf_send_recorded (f, GANG_RECORD_START, GANG_VERDICT_VALID);
}

#define GF_ASSERT_STATE(f, expected)                                          \
  CU_ASSERT_STRING_EQUAL (gang_state_name (gang_state ((f)->gang)), expected)

#endif
