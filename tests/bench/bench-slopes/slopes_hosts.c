/* Slopes of the host list by the number of its hosts.  */

#include <string.h>

#include "member/host_list.h"
#include "slopes.h"

enum
{
  REPEATS = 5
};

/* A host list in the form of the answers of its stand-in.  */
static char *
list_text (unsigned int hosts)
{
  GString *text = g_string_new ("{\"version\":1,\"hosts\":[");
  unsigned int i;

  for (i = 0; i < hosts; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"worker-%04u\",\"kind\":\"worker\","
        "\"address\":\"10.0.%u.%u\",\"port\":7000,\"data_centre\":\"bole\","
        "\"rack\":\"rack-%03u\",\"state\":\"live\",\"cpus_milli\":128000,"
        "\"memory_mb\":262144,\"accelerators\":8}",
        i == 0 ? "" : ",", i, (i / 250) % 250, i % 250, i / 8);
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

void
sl_hosts (void)
{
  static const unsigned int counts[] = { 50, 400, 1600, 3300 };
  struct hl_list *list;
  double heap_bytes;
  double start_us;
  char *text;
  size_t i;
  int r;

  for (i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      text = list_text (counts[i]);
      sl_point ("hosts.list_bytes_by_hosts", counts[i], (double)strlen (text));
      list = NULL;
      heap_bytes = sl_heap_bytes ();
      start_us = sl_cpu_us ();
      for (r = 0; r < REPEATS; r++)
        {
          hl_unref (list);
          g_assert (hl_parse (&list, text, strlen (text)) == HL_OK);
        }
      sl_point ("hosts.parse_cpu_us_by_hosts", counts[i],
                (sl_cpu_us () - start_us) / REPEATS);
      sl_point ("hosts.heap_bytes_by_hosts", counts[i],
                sl_heap_bytes () - heap_bytes);
      hl_unref (list);
      g_free (text);
    }
}
