/* Answers queries about the planner's decisions.  */

#include <jansson.h>
#include <stdlib.h>

#include "planner.h"

static json_t *
explain_job (const struct planner_task *task, const char *job)
{
  char text[PLACE_TEXT_SIZE_BYTES] = "The job is not known to the planner.";

  place_explain (task->place, job, text);
  return json_pack ("{s:s, s:s}", "job", job, "text", text);
}

static json_t *
show_placement (const struct planner_task *task)
{
  struct place_stats stats;

  place_stats (task->place, &stats);
  return json_pack (
      "{s:s, s:I, s:i, s:i, s:i, s:i, s:i, s:i, s:f}", "host",
      task->daemon->settings->host, "term", (json_int_t)task->own_term,
      "queued", (int)stats.queued, "running", (int)stats.running,
      "accelerators", (int)stats.accelerators, "accelerators_free",
      (int)stats.accelerators_free, "accelerators_borrowed",
      (int)stats.accelerators_borrowed, "largest_block",
      (int)stats.largest_block, "fragmentation", stats.fragmentation);
}

void
planner_on_query (struct planner_task *task, struct msg_planner_query *query)
{
  json_t *value;
  char *text;

  if (task->place != NULL)
    {
      value = query->job != NULL ? explain_job (task, query->job)
                                 : show_placement (task);
      text = json_dumps (value, JSON_COMPACT);
      query->answer = g_strdup (text);
      free (text);
      json_decref (value);
    }
  mb_post (query->reply, MSG_PLANNER_QUERY, query);
}
