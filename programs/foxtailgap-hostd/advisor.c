/* Questions for the placement advisor.  Load pattern: it looks at one call of
   a host after the other and turns calls away when 32 wait; so few are open at
   a time, and the others wait here.  */

#include "advisor.h"

#include "common/clock.h"
#include "common/logging.h"

static const char PART[] = "advisor";

enum
{
  OPEN_MAX = 2,    /* the next call is there when one has been looked at */
  TIMEOUT_MS = 600 /* above the advisor's own time for the calls ahead */
};

struct question
{
  struct advisor *advisor; /* NULL: gone */
  uint64_t generation;
  struct sd_ask *ask;
  int64_t sent_ms;
};

struct advisor
{
  struct av_params params;
  uint64_t generation; /* of questions: those of earlier terms are dropped */
  GQueue waiting;      /* struct question */
  GHashTable *open;    /* struct question, as a set */
};

static void
question_free (void *data)
{
  struct question *question = data;

  sd_ask_free (question->ask);
  g_free (question);
}

static void send_next (struct advisor *advisor);

static const char *
result_name (enum ap_result result)
{
  switch (result)
    {
    case AP_DONE:
      return "done";
    case AP_BUSY:
      return "busy";
    case AP_SILENT:
      return "silent";
    }
  return "?";
}

static void
on_answer (void *ctx, const struct ap_answer *answer)
{
  struct question *question = ctx;
  struct advisor *advisor = question->advisor;
  const struct sd_ask *ask = question->ask;
  char name[80];

  if (advisor == NULL)
    {
      question_free (question);
      return;
    }
  g_hash_table_remove (advisor->open, question);
  g_snprintf (name, sizeof name, "foxtailgap_advice_total{result=\"%s\"}",
              result_name (answer->result));
  mt_add (advisor->params.metrics, name, 1);
  lg_info (PART, "The advisor has been asked.", "step", ask->step, "workers",
           lg_number ((long long)g_strv_length (ask->workers)), "allowed",
           lg_number ((long long)answer->row_count), "result",
           result_name (answer->result), "took_ms",
           lg_number (clk_monotonic_ms (NULL) - question->sent_ms), NULL);
  if (question->generation == advisor->generation)
    advisor->params.answered (advisor->params.ctx, ask, answer);
  question_free (question);
  send_next (advisor);
}

static uint32_t
timeout_ms (const struct sd_ask *ask)
{
  uint32_t look_ms
      = ask->first_ms + g_strv_length (ask->workers) * ask->each_ms;

  return TIMEOUT_MS + OPEN_MAX * look_ms;
}

static void
send_next (struct advisor *advisor)
{
  const struct ap_port *port = &advisor->params.port;

  while (g_hash_table_size (advisor->open) < OPEN_MAX
         && !g_queue_is_empty (&advisor->waiting))
    {
      struct question *question = g_queue_pop_head (&advisor->waiting);
      const struct sd_ask *ask = question->ask;

      question->sent_ms = clk_monotonic_ms (NULL);
      g_hash_table_add (advisor->open, question);
      port->ask (port->ctx, ask->step, (const char *const *)ask->workers,
                 timeout_ms (ask), on_answer, question);
    }
}

void
av_ask (struct advisor *advisor, struct sd_ask *ask)
{
  struct question *question = g_new0 (struct question, 1);

  question->advisor = advisor;
  question->generation = advisor->generation;
  question->ask = ask;
  if (advisor->params.port.ask == NULL)
    {
      struct ap_answer none = { .result = AP_SILENT };

      lg_warning (PART, "A queue needs an advisor, and none is set.", "step",
                  ask->step, NULL);
      advisor->params.answered (advisor->params.ctx, ask, &none);
      question_free (question);
      return;
    }
  g_queue_push_tail (&advisor->waiting, question);
  send_next (advisor);
}

void
av_drop (struct advisor *advisor)
{
  advisor->generation++;
  g_queue_clear_full (&advisor->waiting, question_free);
}

struct advisor *
av_create (const struct av_params *params)
{
  struct advisor *advisor = g_new0 (struct advisor, 1);

  advisor->params = *params;
  g_queue_init (&advisor->waiting);
  advisor->open = g_hash_table_new (NULL, NULL);
  return advisor;
}

void
av_free (struct advisor *advisor)
{
  GHashTableIter iter;
  void *question;

  if (advisor == NULL)
    return;
  av_drop (advisor);
  g_hash_table_iter_init (&iter, advisor->open);
  while (g_hash_table_iter_next (&iter, &question, NULL))
    ((struct question *)question)->advisor = NULL;
  g_hash_table_destroy (advisor->open);
  g_free (advisor);
}
