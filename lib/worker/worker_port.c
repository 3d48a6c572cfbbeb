/* Names of the results of the worker port.  */

#include "worker/worker_port.h"

const char *
wp_result_name (enum wp_result result)
{
  switch (result)
    {
    case WP_DONE:
      return "done";
    case WP_NO_ANSWER:
      return "silent";
    case WP_FENCED:
      return "fenced";
    case WP_STALE_RUN:
      return "old";
    case WP_DEADLINE_PASSED:
      return "late";
    case WP_NO_RESOURCES:
      return "room";
    case WP_UNHEALTHY:
      return "unwell";
    case WP_WRONG_WORKER:
      return "other";
    case WP_MALFORMED_COMMAND:
      return "invalid";
    case WP_TICKET_INVALID:
      return "ticket";
    case WP_NOT_SENT:
      return "unsent";
    case WP_SEND_LATE:
      return "send-late";
    }
  return "?";
}
