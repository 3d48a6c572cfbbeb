/* bench-requests: sends requests to one or more URLs in turn, at a fixed rate
   that does not depend on the answers, and prints their outcomes as JSON.  */

#include <argtable2.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "http/http_client.h"

enum
{
  TICK_MS = 2,
  ANSWER_LIMIT_BYTES = 1024 * 1024,
  CALL_TIMEOUT_MS = 30 * 1000,
  OUTSTANDING_LIMIT = 20000,
  STATUS_OK = 200,
  STATUS_TOO_MANY = 429,
  STATUS_UNAVAILABLE = 503
};

struct bench
{
  struct ev_loop *loop;
  struct hc_client *http;
  ev_timer tick;
  const char **urls;
  int url_count;
  const char *headers[3];
  const char *body;
  double rate; /* requests a second */
  double duration_s;
  ev_tstamp started_s;
  ev_tstamp last_good_s;
  uint64_t sent;
  uint64_t outstanding;
  uint64_t skipped; /* due while OUTSTANDING_LIMIT calls waited */
  uint64_t refused; /* answered with 429 or 503 */
  uint64_t other;   /* any other answer than 200, or none */
  GArray *good_ms;
  GArray *refused_ms;
};

struct call
{
  struct bench *bench;
  ev_tstamp sent_s;
};

static void
stop_if_done (struct bench *bench)
{
  if (!ev_is_active (&bench->tick) && bench->outstanding == 0)
    ev_break (bench->loop, EVBREAK_ALL);
}

static void
on_answer (void *ctx, const struct hc_response *response)
{
  struct call *call = ctx;
  struct bench *bench = call->bench;
  double took_ms = (ev_time () - call->sent_s) * 1000.0;

  bench->outstanding--;
  if (response->status == STATUS_OK)
    {
      g_array_append_val (bench->good_ms, took_ms);
      bench->last_good_s = ev_time ();
    }
  else if (response->status == STATUS_TOO_MANY
           || response->status == STATUS_UNAVAILABLE)
    {
      bench->refused++;
      g_array_append_val (bench->refused_ms, took_ms);
    }
  else
    bench->other++;
  g_free (call);
  stop_if_done (bench);
}

static void
send_one (struct bench *bench)
{
  struct call *call = g_new0 (struct call, 1);
  struct hc_request request
      = { .method = "POST",
          .url = bench->urls[bench->sent % (uint64_t)bench->url_count],
          .headers = bench->headers,
          .body = bench->body,
          .body_size_bytes = strlen (bench->body),
          .timeout_ms = CALL_TIMEOUT_MS,
          .connect_timeout_ms = CALL_TIMEOUT_MS,
          .response_limit_bytes = ANSWER_LIMIT_BYTES,
          .callback = on_answer,
          .ctx = call };

  call->bench = bench;
  call->sent_s = ev_time ();
  bench->sent++;
  if (hc_send (bench->http, &request, NULL) == HC_OK)
    bench->outstanding++;
  else
    g_free (call);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct bench *bench = watcher->data;
  double elapsed_s = ev_time () - bench->started_s;
  double due = bench->rate * MIN (elapsed_s, bench->duration_s);

  (void)events;
  while ((double)(bench->sent + bench->skipped) < due)
    if (bench->outstanding < OUTSTANDING_LIMIT)
      send_one (bench);
    else
      bench->skipped++;
  if (elapsed_s >= bench->duration_s)
    ev_timer_stop (loop, watcher);
  stop_if_done (bench);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static double
percentile (GArray *times_ms, double share)
{
  if (times_ms->len == 0)
    return 0.0;
  g_array_sort (times_ms, compare_times);
  return g_array_index (times_ms, double,
                        (guint)(share * (times_ms->len - 1)));
}

/* The rate of good answers is over the time until the last of them.  */
static void
print_result (struct bench *bench)
{
  json_t *value = json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f}", "sent",
      (json_int_t)bench->sent, "good", (json_int_t)bench->good_ms->len,
      "refused", (json_int_t)bench->refused, "other", (json_int_t)bench->other,
      "skipped", (json_int_t)bench->skipped, "good_per_s",
      bench->good_ms->len / (bench->last_good_s - bench->started_s), "p50_ms",
      percentile (bench->good_ms, 0.5), "p99_ms",
      percentile (bench->good_ms, 0.99), "refusal_p99_ms",
      percentile (bench->refused_ms, 0.99));

  json_dumpf (value, stdout, JSON_COMPACT | JSON_REAL_PRECISION (6));
  printf ("\n");
  json_decref (value);
}

static int
run (struct bench *bench)
{
  struct hc_params http
      = { .loop = bench->loop, .idle_connection_limit = OUTSTANDING_LIMIT };

  if (hc_create (&bench->http, &http) != HC_OK)
    return EXIT_FAILURE;
  bench->good_ms = g_array_new (FALSE, FALSE, sizeof (double));
  bench->refused_ms = g_array_new (FALSE, FALSE, sizeof (double));
  bench->started_s = ev_time ();
  ev_timer_init (&bench->tick, on_tick, 0.0, TICK_MS / 1000.0);
  bench->tick.data = bench;
  ev_timer_start (bench->loop, &bench->tick);
  ev_run (bench->loop, 0);
  print_result (bench);
  hc_free (bench->http);
  g_array_free (bench->good_ms, TRUE);
  g_array_free (bench->refused_ms, TRUE);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arg_str *urls
      = arg_strn (NULL, "url", "URL", 1, 64, "where to send, in turn");
  struct arg_str *headers
      = arg_strn (NULL, "header", "TEXT", 0, 2, "of every request");
  struct arg_str *body = arg_str0 (NULL, "body", "TEXT", "of every request");
  struct arg_int *rate
      = arg_int1 (NULL, "rate", "N", "requests a second, all together");
  struct arg_int *duration
      = arg_int1 (NULL, "duration-ms", "N", "how long to send");
  struct arg_end *end = arg_end (5);
  void *table[] = { urls, headers, body, rate, duration, end };
  struct bench bench = { .loop = EV_DEFAULT };
  int code = EXIT_FAILURE;
  int i;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "bench-requests");
      goto done;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  bench.urls = urls->sval;
  bench.url_count = urls->count;
  for (i = 0; i < headers->count; i++)
    bench.headers[i] = headers->sval[i];
  bench.body = body->count > 0 ? body->sval[0] : "x";
  bench.rate = rate->ival[0];
  bench.duration_s = duration->ival[0] / 1000.0;
  code = run (&bench);
  curl_global_cleanup ();

done:
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
