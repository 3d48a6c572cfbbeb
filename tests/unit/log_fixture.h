/* The stand-in of the log and its event loop, for tests.  Prefix: lf_.  */

#ifndef FT_LOG_FIXTURE_H
#define FT_LOG_FIXTURE_H

#include <CUnit/CUnit.h>
#include <glib.h>
#include <string.h>

#include "http/http_client.h"
#include "standins/ft-log/log_service.h"

enum
{
  LF_TICK_MS = 5,
  LF_WAIT_LIMIT_MS = 10000 /* a longer wait fails the test */
};

struct lf_log
{
  struct ev_loop *loop;
  struct lo_service *service;
  struct hf_file *history;
  struct hc_client *http;
  ev_timer tick;
  char url[64];
  bool answered;
  char answer[256];
};

static inline void
lf_on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)watcher;
  (void)events;
}

static inline void
lf_open (struct lf_log *log, uint32_t appends_per_s)
{
  struct hc_params http = { .loop = EV_DEFAULT };
  struct lo_params params = { .loop = EV_DEFAULT,
                              .address = "127.0.0.1",
                              .appends_per_s = appends_per_s };

  memset (log, 0, sizeof *log);
  log->loop = EV_DEFAULT;
  log->history = hf_open (NULL);
  params.history = log->history;
  CU_ASSERT_EQUAL_FATAL (lo_create (&log->service, &params), 0);
  CU_ASSERT_EQUAL_FATAL (hc_create (&log->http, &http), HC_OK);
  g_snprintf (log->url, sizeof log->url, "http://127.0.0.1:%u",
              lo_port (log->service));
  ev_timer_init (&log->tick, lf_on_tick, 0.0, LF_TICK_MS / 1000.0);
  ev_timer_start (log->loop, &log->tick);
}

static inline void
lf_close (struct lf_log *log)
{
  ev_timer_stop (log->loop, &log->tick);
  hc_free (log->http);
  lo_free (log->service);
  hf_close (log->history);
}

/* Runs the loop until the condition holds.  Returns false if it does not hold
   within LIMIT_MS.  */
static inline bool
lf_run (struct lf_log *log, bool (*holds) (void *ctx), void *ctx,
        int64_t limit_ms)
{
  int64_t end_us = g_get_monotonic_time () + limit_ms * 1000;

  while (!holds (ctx))
    {
      if (g_get_monotonic_time () > end_us)
        return false;
      ev_run (log->loop, EVRUN_ONCE);
    }
  return true;
}

static inline bool
lf_never (void *ctx)
{
  (void)ctx;
  return false;
}

static inline void
lf_run_ms (struct lf_log *log, int64_t time_ms)
{
  lf_run (log, lf_never, NULL, time_ms);
}

static inline void
lf_on_answer (void *ctx, const struct hc_response *response)
{
  struct lf_log *log = ctx;

  log->answered = true;
  g_strlcpy (log->answer, response->body, sizeof log->answer);
}

static inline bool
lf_is_answered (void *ctx)
{
  return ((struct lf_log *)ctx)->answered;
}

/* Sends a call without waiting for its answer.  */
static inline void
lf_send (struct lf_log *log, const char *path, const char *body)
{
  char *url = g_strdup_printf ("%s%s", log->url, path);
  struct hc_request request = { .method = "POST",
                                .url = url,
                                .body = body,
                                .body_size_bytes = strlen (body),
                                .timeout_ms = LF_WAIT_LIMIT_MS,
                                .connect_timeout_ms = LF_WAIT_LIMIT_MS,
                                .response_limit_bytes = 4096,
                                .callback = lf_on_answer,
                                .ctx = log };

  log->answered = false;
  CU_ASSERT_EQUAL_FATAL (hc_send (log->http, &request, NULL), HC_OK);
  g_free (url);
}

static inline void
lf_post (struct lf_log *log, const char *path, const char *body)
{
  lf_send (log, path, body);
  CU_ASSERT_TRUE (lf_run (log, lf_is_answered, log, LF_WAIT_LIMIT_MS));
}

static inline void
lf_control (struct lf_log *log, const char *body)
{
  lf_post (log, "/control", body);
}

#endif
