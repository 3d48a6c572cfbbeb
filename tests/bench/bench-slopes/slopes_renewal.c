/* Slopes of one lease renewal by the number of leases that it names.  */

#include <string.h>

#include "lease/lease.h"
#include "slopes.h"

enum
{
  LEASES_LIMIT = 64,
  REPEATS = 200,
  NAME_SIZE_BYTES = 40
};

/* An answer in the form of the stand-in of a worker.  */
static char *
answer_text (const struct ls_attempt *jobs, unsigned int leases)
{
  GString *text = g_string_new ("{\"boot\":1,\"term\":7,\"unknown\":[],"
                                "\"leases\":[");
  unsigned int i;

  for (i = 0; i < leases; i++)
    g_string_append_printf (text, "%s[\"%s\",1]", i == 0 ? "" : ",",
                            jobs[i].job);
  g_string_append (text, "],\"events\":[],\"usage\":[");
  for (i = 0; i < leases; i++)
    g_string_append_printf (text,
                            "%s{\"job\":\"%s\",\"attempt\":1,\"task\":0,"
                            "\"cpus_milli\":1000,\"memory_mb\":1024,"
                            "\"progress_ms\":123456}",
                            i == 0 ? "" : ",", jobs[i].job);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static void
measure_renewal (unsigned int leases)
{
  char names[LEASES_LIMIT][NAME_SIZE_BYTES];
  struct ls_attempt jobs[LEASES_LIMIT];
  struct ls_request request = { .kind = LS_RENEW,
                                .term = 7,
                                .host = "entry-0001",
                                .ttl_ms = 10000,
                                .renewed_attempts = jobs,
                                .renewed_attempt_count = leases };
  struct ls_answer answer;
  double start_us;
  char *body = NULL;
  char *text;
  unsigned int i;

  for (i = 0; i < leases; i++)
    {
      g_snprintf (names[i], NAME_SIZE_BYTES, "%032x", i);
      jobs[i] = (struct ls_attempt){ .job = names[i], .attempt = 1 };
    }
  text = answer_text (jobs, leases);
  start_us = sl_cpu_us ();
  for (i = 0; i < REPEATS; i++)
    {
      free (body);
      body = ls_encode (&request);
      ls_decode (&answer, LS_RENEW, 200, text, strlen (text));
      ls_answer_clear (&answer);
    }
  sl_point ("renewal.codec_cpu_us_by_leases", leases,
            (sl_cpu_us () - start_us) / REPEATS);
  sl_point ("renewal.body_bytes_by_leases", leases,
            (double)(strlen (body) + strlen (text)));
  free (body);
  g_free (text);
}

void
sl_renewal (void)
{
  static const unsigned int leases[] = { 0, 1, 4, 14, 64 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (leases); i++)
    measure_renewal (leases[i]);
}
