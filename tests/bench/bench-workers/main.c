/* Measures what calls to workers cost the planner's host: processor time for
   each poll and each start, against the number of workers.  The workers are
   stand-ins, all served by one child process on addresses of the loopback
   range.

   Usage: bench-workers WORKERS ROUNDS  */

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/loop_load.h"
#include "http/http_server.h"
#include "pf_worker.h"

enum
{
  PORT = 18700,
  WORKERS_PER_SUBNET = 250,
  CONNECTIONS = 16,
  BODY_LIMIT_BYTES = 100000,
  RECEIVE_TIMEOUT_MS = 60000,
  CALL_TIMEOUT_MS = 30000,
  DESCRIPTORS = 16384
};

struct bench
{
  struct ev_loop *loop;
  struct wp_port port;
  uint32_t workers;
  uint32_t open;
  uint32_t failed;
  pid_t child; /* serves the stand-ins */
};

static void
worker_address (char *out, size_t size_bytes, uint32_t worker)
{
  g_snprintf (out, size_bytes, "127.0.%u.%u", 1 + worker / WORKERS_PER_SUBNET,
              1 + worker % WORKERS_PER_SUBNET);
}

/* --- The stand-ins of workers --- */

static void
on_request (void *ctx, struct hs_request *request)
{
  static const char answer[]
      = "{\"clock_ms\":482113,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,"
        "\"00000bb87a21d94b\",41],[\"5c0e7a21d94b36f9.0.0.3\",1,\"\",12]],"
        "\"finished\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}";

  (void)ctx;
  hs_respond (request, 200, NULL, 0, answer, sizeof answer - 1);
}

static void
serve_workers (uint32_t workers, int ready_fd)
{
  struct ev_loop *loop = ev_default_loop (0);
  struct hs_server *server;
  char address[32];
  uint32_t i;

  for (i = 0; i < workers; i++)
    {
      struct hs_params params = { .loop = loop,
                                  .address = address,
                                  .port = PORT,
                                  .connection_limit = CONNECTIONS,
                                  .body_limit_bytes = BODY_LIMIT_BYTES,
                                  .receive_timeout_ms = RECEIVE_TIMEOUT_MS,
                                  .handler = on_request };

      worker_address (address, sizeof address, i);
      if (hs_create (&server, &params) != HS_OK)
        exit (1);
    }
  if (write (ready_fd, "r", 1) != 1)
    exit (1);
  ev_run (loop, 0);
}

/* --- The calls --- */

static void
on_answer (void *ctx, const struct wp_answer *answer)
{
  struct bench *bench = ctx;

  if (answer->result != WP_DONE && bench->child != 0)
    bench->failed++;
  if (--bench->open == 0)
    ev_break (bench->loop, EVBREAK_ALL);
}

static void
call_all (struct bench *bench, bool start)
{
  static const struct wp_renew renewal = { .term = 3,
                                           .acked_outcome_number = 57,
                                           .lease_deadline_ms = 486000,
                                           .wait_ms = 1900 };
  char text[1000];
  struct wp_start command = { .task = "5c0e7a21d94b36f8.0.1.17",
                              .run = 2,
                              .job_text = text,
                              .deadline_ms = 486000,
                              .term = 3 };
  uint32_t i;

  memset (text, 'x', sizeof text - 1);
  text[sizeof text - 1] = '\0';
  bench->open = bench->workers;
  for (i = 0; i < bench->workers; i++)
    {
      char address[64];
      char host[32];
      struct wp_target target = { .address = address, .worker = "w" };

      worker_address (host, sizeof host, i);
      g_snprintf (address, sizeof address, "%s:%d", host, PORT);
      if (start)
        bench->port.start (bench->port.ctx, &target, &command, CALL_TIMEOUT_MS,
                           on_answer, bench);
      else
        bench->port.renew (bench->port.ctx, &target, &renewal, CALL_TIMEOUT_MS,
                           on_answer, bench);
    }
  ev_run (bench->loop, 0);
}

static void
measure (struct bench *bench, const char *name, bool start, uint32_t rounds)
{
  int64_t before_us = clk_cpu_us ();
  int64_t calls = (int64_t)bench->workers * rounds;
  uint32_t i;

  for (i = 0; i < rounds; i++)
    call_all (bench, start);
  printf ("%s workers=%u calls=%" G_GINT64_FORMAT
          " cpu_us_per_call=%.1f failed=%u\n",
          name, bench->workers, calls,
          (double)(clk_cpu_us () - before_us) / (double)calls, bench->failed);
}

static bool
start_workers (struct bench *bench)
{
  int ready[2];
  char byte;

  if (pipe (ready) != 0)
    return false;
  bench->child = fork ();
  if (bench->child == 0)
    {
      serve_workers (bench->workers, ready[1]);
      exit (0);
    }
  return read (ready[0], &byte, 1) == 1;
}

static void
stop_workers (struct bench *bench)
{
  kill (bench->child, SIGTERM);
  waitpid (bench->child, NULL, 0);
  bench->child = 0;
}

/* All workers close their connections at once; the next calls fail.  */
static void
measure_departure (struct bench *bench)
{
  struct loop_load *load = ll_create (bench->loop);
  struct ll_sample sample;

  stop_workers (bench);
  call_all (bench, false);
  sample = ll_take (load);
  printf ("departure workers=%u longest_ms=%" G_GINT64_FORMAT "\n",
          bench->workers, sample.longest_us / 1000);
  ll_free (load);
}

int
main (int argc, char **argv)
{
  struct rlimit descriptors;
  struct bench bench
      = { .workers = argc > 1 ? (uint32_t)atoi (argv[1]) : 100 };
  uint32_t rounds = argc > 2 ? (uint32_t)atoi (argv[2]) : 20;
  struct pf_workers *workers;

  getrlimit (RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = MIN (descriptors.rlim_max, DESCRIPTORS);
  setrlimit (RLIMIT_NOFILE, &descriptors);
  if (!start_workers (&bench))
    return 1;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  bench.loop = ev_default_loop (0);
  workers = pf_workers_create (bench.loop, 2 * bench.workers);
  bench.port = pf_workers_port (workers);
  measure (&bench, "first_poll", false, 1);
  measure (&bench, "poll", false, rounds);
  measure (&bench, "start", true, rounds);
  measure_departure (&bench);
  pf_workers_free (workers);
  curl_global_cleanup ();
  return bench.failed == 0 ? 0 : 1;
}
