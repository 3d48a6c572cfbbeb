/* Names of the results of the worker port.  */

#include "worker/worker_port.h"

const char *
wp_result_name (enum wp_result result)
{
  switch (result)
    {
    case WP_DONE:
      return "done";
    case WP_SILENT:
      return "silent";
    case WP_FENCED:
      return "fenced";
    case WP_OLD:
      return "old";
    case WP_LATE:
      return "late";
    case WP_ROOM:
      return "room";
    case WP_UNWELL:
      return "unwell";
    case WP_OTHER:
      return "other";
    case WP_INVALID:
      return "invalid";
    case WP_TICKET:
      return "ticket";
    }
  return "?";
}
