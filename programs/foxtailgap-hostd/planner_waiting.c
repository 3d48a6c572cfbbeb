/* The planner's log of what waits: of which jobs nothing runs, and why; see
   lib/sched/waiting.c for the reasons of the core.  Bounded in time and lines,
   since most jobs wait while more work is accepted than fits.  */

#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "planner_private.h"

static const char PART[] = "planner";

enum
{
  SURVEY_INTERVAL_MS = 1000,
  /* A step is logged once it has stood for this, and again if the reason has
     changed or after the interval.  */
  LOG_MIN_MS = 2000,
  LOG_INTERVAL_MS = 5000,
  LOG_LINES_MAX = 8, /* of one survey */
  /* Each examination takes about 30 us with 350 workers, of a whole core.  */
  EXAMINED_MAX = 16
};

/* --- The planner's own reasons --- */

static bool
has_start (const GArray *starts, const struct jb_task *task)
{
  guint i;

  for (i = 0; i < starts->len; i++)
    {
      const struct pl_pending_start *start
          = &g_array_index (starts, struct pl_pending_start, i);

      if (start->task == task && start->run == task->run)
        return true;
    }
  return false;
}

static enum sd_wait
refine_start (const struct planner *planner, const struct jb_task *task)
{
  if (!task->start_unsent)
    return SD_WAIT_START_UNANSWERED;
  if (has_start (planner->starts, task)
      || (planner->sending != NULL
          && has_start (planner->sending->starts, task)))
    return SD_WAIT_START_UNSTORED;
  return SD_WAIT_START_UNSENT;
}

static bool
holds_rounds (const struct planner *planner, int64_t now_ms)
{
  return planner->no_round_why == NULL && planner->round_held_ms > 0
         && now_ms - planner->round_held_ms < SD_WAITING_MIN_MS;
}

/* The reasons of the core are those of its last round.  */
static enum sd_wait
refine (const struct planner *planner, const struct sd_waiting *waiting,
        int64_t now_ms)
{
  bool unknown = waiting->why == SD_WAIT_UNKNOWN && !waiting->examined;

  if (waiting->why == SD_WAIT_START && waiting->task != NULL)
    return refine_start (planner, waiting->task);
  if (waiting->why < SD_WAIT_NEXT_ROUND && !unknown)
    return waiting->why;
  if (!holds_rounds (planner, now_ms))
    return SD_WAIT_NO_ROUNDS;
  if (planner->placing == SD_PLACE_NONE)
    return SD_WAIT_START_BACKLOG;
  if (waiting->why != SD_WAIT_NEXT_ROUND)
    return waiting->why;
  if (planner->placing == SD_PLACE_URGENT && waiting->step->job->priority > 0)
    return SD_WAIT_START_BACKLOG;
  return planner->round_ended_early ? SD_WAIT_ROUND_ENDED : waiting->why;
}

/* What is worth knowing of the planner's own reasons; only for what is logged,
   for it may take a search.  */
static void
describe (struct planner *planner, struct sd_waiting *waiting, int64_t now_ms)
{
  char *text = NULL;

  if (waiting->why == SD_WAIT_START_UNSTORED && planner->sending != NULL)
    text = g_strdup_printf (
        "; %u appends have no answer, the last one since %" G_GINT64_FORMAT
        " ms",
        planner->appends_in_flight, now_ms - planner->sending->sent_ms);
  else if (waiting->why == SD_WAIT_START_UNSENT)
    text = g_strdup_printf ("; waits for %s",
                            wk_why_unsent (planner->workers, waiting->task));
  else if (waiting->why == SD_WAIT_NO_ROUNDS)
    {
      waiting->detail[0] = '\0';
      text = g_strdup_printf (
          "waits for %s; last round %" G_GINT64_FORMAT " ms ago",
          planner->no_round_why == NULL ? "time" : planner->no_round_why,
          planner->round_held_ms == 0 ? -1 : now_ms - planner->round_held_ms);
    }
  else if (waiting->why == SD_WAIT_START_BACKLOG)
    {
      waiting->detail[0] = '\0';
      text = g_strdup_printf (
          "%u starts wait, urgent ones for %" G_GINT64_FORMAT
          " ms of the link, all for %" G_GINT64_FORMAT " ms",
          wk_waiting_starts (planner->workers),
          wk_backlog_ms (planner->workers, true),
          wk_backlog_ms (planner->workers, false));
    }
  if (text != NULL)
    g_strlcat (waiting->detail, text, sizeof waiting->detail);
  g_free (text);
}

/* --- Counters --- */

static void
count_waiting (struct planner *planner, const uint32_t *jobs,
               int64_t elapsed_ms)
{
  char name[96];
  int why;

  for (why = 0; why < SD_WAIT_COUNT; why++)
    {
      if (jobs[why] != planner->waiting_jobs[why])
        {
          g_snprintf (name, sizeof name, "foxtailgap_waiting_jobs{why=\"%s\"}",
                      sd_wait_name (why));
          mt_set (planner->params.metrics, name, jobs[why]);
        }
      if (jobs[why] > 0)
        {
          g_snprintf (name, sizeof name,
                      "foxtailgap_wait_ms_total{why=\"%s\"}",
                      sd_wait_name (why));
          mt_add (planner->params.metrics, name,
                  (uint64_t)(jobs[why] * elapsed_ms));
        }
      planner->waiting_jobs[why] = jobs[why];
    }
}

void
pl_forget_waiting (struct planner *planner)
{
  const uint32_t none[SD_WAIT_COUNT] = { 0 };

  count_waiting (planner, none, 0);
  planner->waiting_surveyed_ms = 0;
  planner->no_round_why = NULL;
  planner->round_held_ms = 0;
  planner->placing = SD_PLACE_ALL;
  planner->round_ended_early = false;
}

/* --- Log --- */

static bool
has_new_reason (const struct sd_waiting *waiting)
{
  return waiting->step->standing.logged_why != (uint32_t)waiting->why;
}

/* That a due time has not come is logged once only.  */
static bool
is_to_be_logged (const struct sd_waiting *waiting, int64_t now_ms)
{
  const struct jb_standing *standing = &waiting->step->standing;

  if (now_ms - standing->since_ms < LOG_MIN_MS)
    return false;
  if (has_new_reason (waiting))
    return true;
  return waiting->why != SD_WAIT_NOT_DUE
         && now_ms - standing->logged_ms >= LOG_INTERVAL_MS;
}

/* New reasons first, of these the longest waits.  */
static int
compare_lines (const void *a, const void *b)
{
  const struct sd_waiting *left = *(struct sd_waiting *const *)a;
  const struct sd_waiting *right = *(struct sd_waiting *const *)b;
  int64_t left_ms = left->step->standing.since_ms;
  int64_t right_ms = right->step->standing.since_ms;

  if (has_new_reason (left) != has_new_reason (right))
    return has_new_reason (left) ? -1 : 1;
  return (left_ms > right_ms) - (left_ms < right_ms);
}

static void
log_waiting (struct planner *planner, struct sd_waiting *waiting,
             int64_t now_ms)
{
  struct jb_step *step = waiting->step;

  describe (planner, waiting, now_ms);
  lg_info (PART, "A job waits.", "job", step->job->id, "occurrence",
           lg_number (step->occurrence), "step", lg_number (step->index),
           "tasks", lg_number (waiting->tasks), "why",
           sd_wait_name (waiting->why), "detail", waiting->detail, "waited_ms",
           lg_number (now_ms - step->standing.since_ms), NULL);
  step->standing.logged_why = waiting->why;
  step->standing.logged_ms = now_ms;
}

static void
log_some (struct planner *planner, GArray *found, int64_t now_ms)
{
  GPtrArray *lines = g_ptr_array_new ();
  uint32_t unexamined = 0;
  guint i;

  for (i = 0; i < found->len; i++)
    {
      struct sd_waiting *waiting
          = &g_array_index (found, struct sd_waiting, i);

      if (!is_to_be_logged (waiting, now_ms))
        continue;
      if (waiting->examined || waiting->why == SD_WAIT_NO_ROUNDS)
        g_ptr_array_add (lines, waiting);
      else
        unexamined++;
    }
  g_ptr_array_sort (lines, compare_lines);
  for (i = 0; i < lines->len && i < LOG_LINES_MAX; i++)
    log_waiting (planner, g_ptr_array_index (lines, i), now_ms);
  if (lines->len + unexamined > i)
    lg_info (PART, "More jobs wait than are logged.", "steps",
             lg_number (found->len), "left_out",
             lg_number (lines->len + unexamined - i), NULL);
  g_ptr_array_free (lines, TRUE);
}

void
pl_survey_waiting (struct planner *planner, int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - planner->waiting_surveyed_ms;
  uint32_t jobs[SD_WAIT_COUNT] = { 0 };
  const struct jb_job *last_job = NULL;
  enum ll_part outer;
  GArray *found;
  guint i;

  if (elapsed_ms < SURVEY_INTERVAL_MS)
    return;
  if (planner->waiting_surveyed_ms == 0)
    elapsed_ms = 0;
  planner->waiting_surveyed_ms = now_ms;
  outer = ll_enter (LL_ROUNDS);
  found = sd_survey_waiting (planner->sched, EXAMINED_MAX, now_ms,
                             clk_unix_ms ());
  for (i = 0; i < found->len; i++)
    {
      struct sd_waiting *waiting
          = &g_array_index (found, struct sd_waiting, i);

      waiting->why = refine (planner, waiting, now_ms);
      if (waiting->step->job != last_job)
        jobs[waiting->why]++;
      last_job = waiting->step->job;
    }
  count_waiting (planner, jobs, elapsed_ms);
  log_some (planner, found, now_ms);
  g_array_free (found, TRUE);
  ll_leave (outer);
}
