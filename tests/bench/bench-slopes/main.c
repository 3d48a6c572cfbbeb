/* bench-slopes: measures in one process the bytes and the processor time of
   each job, task, team, worker, key claim and record.  With --document TEAMS
   it only prints an environment document.  */

#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "slopes.h"

static const double US_PER_S = 1e6;
static const double NS_PER_US = 1e3;

void
sl_point (const char *name, double x, double y)
{
  printf ("%s %.0f %.3f\n", name, x, y);
  fflush (stdout);
}

double
sl_cpu_us (void)
{
  struct timespec used;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &used);
  return ((double)used.tv_sec * US_PER_S) + ((double)used.tv_nsec / NS_PER_US);
}

double
sl_heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)(info.uordblks + info.hblkhd);
}

char *
sl_document (unsigned int teams)
{
  GString *text = g_string_new ("environment: bench\n\nteams:\n");
  unsigned int i;

  for (i = 0; i < teams; i++)
    g_string_append_printf (
        text,
        "  - name: team-%04u\n"
        "    weight: 2\n"
        "    may_borrow: true\n"
        "    request_slots: 1\n"
        "    quota: {accelerators: 320}\n"
        "    guarantees:\n"
        "      - {count: 2, tasks: 1, accelerators: 4, cpus_milli: 30000,"
        " memory_mb: 55000, span: worker}\n"
        "      - {count: 1, tasks: 2, accelerators: 2, cpus_milli: 15000,"
        " memory_mb: 20000, span: rack}\n",
        i);
  g_string_append (text, "\nobjectives:\n");
  for (i = 0; i < teams; i++)
    g_string_append_printf (text,
                            "  - {team: team-%04u, kind: plan, latency_ms: "
                            "1200000, success_permille: 995}\n",
                            i);
  g_string_append (text, "\nrules:\n"
                         "  checkpoint_grace_ms: 5000\n"
                         "  attempt_limit: 3\n"
                         "  quarantine_failures: 3\n"
                         "  quarantine_ms: 60000\n"
                         "  gang_start_timeout_ms: 10000\n"
                         "  job_queue_limit: 10000\n");
  return g_string_free (text, FALSE);
}

int
main (int argc, char **argv)
{
  if (argc > 2 && g_str_equal (argv[1], "--document"))
    {
      char *text
          = sl_document ((unsigned int)g_ascii_strtoull (argv[2], NULL, 10));

      fputs (text, stdout);
      g_free (text);
      return 0;
    }
  sl_state ();
  sl_config ();
  sl_hosts ();
  sl_renewal ();
  sl_peers ();
  sl_place ();
  return 0;
}
