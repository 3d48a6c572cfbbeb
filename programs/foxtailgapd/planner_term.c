/* The planner term: acquired through the log, and used only while this process
   knows that it has not been paused.  */

#include "common/logging.h"
#include "planner.h"

int64_t
planner_now_ms (void)
{
  return g_get_monotonic_time () / G_TIME_SPAN_MILLISECOND;
}

/* Whether the newest planner_check_pause () is so long ago that the process
   counts as paused since.  */
static bool
pause_detected (const struct planner_task *task, int64_t now_ms)
{
  uint32_t limit_ms = task->daemon->settings->planner_timeout_ms / 2;

  return now_ms - task->last_pause_check_ms > limit_ms;
}

bool
planner_may_act (const struct planner_task *task)
{
  return task->own_term != 0 && !pause_detected (task, planner_now_ms ());
}

bool
planner_check_pause (struct planner_task *task)
{
  int64_t now_ms = planner_now_ms ();
  bool was_paused
      = task->last_pause_check_ms != 0 && pause_detected (task, now_ms);

  task->last_pause_check_ms = now_ms;
  if (was_paused && task->own_term != 0)
    planner_suspend (task, "the process was paused");
  if (was_paused)
    task->acquiring_term = 0;
  return task->own_term != 0;
}

static const char *
own_host_name (const struct planner_task *task)
{
  return task->daemon->settings->host;
}

/* ===== Acquiring the term ===================================== */

static void
acquire_term (struct planner_task *task, int64_t now_ms, const char *why)
{
  struct planner_append *append = g_new0 (struct planner_append, 1);

  append->kind = PLANNER_APPEND_TERM;
  task->acquiring_term = task->term + 1;
  task->acquire_sent_ms = now_ms;
  lg_info (PLANNER_PART, "This host tries to acquire the planner term.",
           "term", lg_number ((long long)task->acquiring_term), "why", why,
           NULL);
  planner_append (
      task, planner_record_term (task->acquiring_term, own_host_name (task)),
      0, append);
}

void
planner_suspend (struct planner_task *task, const char *why)
{
  if (task->own_term == 0)
    return;
  lg_warning (PLANNER_PART, "Stops acting until a new term is won.", "term",
              lg_number ((long long)task->own_term), "why", why, NULL);
  mt_add (task->daemon->metrics, "foxtailgap_planner_suspended_total", 1);
  task->own_term = 0;
  planner_stop_planning (task);
}

void
planner_on_term_appended (struct planner_task *task,
                          const struct msg_appended *answer)
{
  if (answer->result == MSG_APPEND_FOLDED
      && answer->verdict == ST_VERDICT_VALID)
    return;
  lg_info (PLANNER_PART, "The planner term was not acquired.", "verdict",
           answer->result == MSG_APPEND_FOLDED
               ? st_verdict_name (answer->verdict)
               : "not in the log",
           NULL);
  if (answer->result != MSG_APPEND_UNKNOWN)
    task->acquiring_term = 0;
}

static void
on_term_acquired (struct planner_task *task)
{
  task->own_term = task->term;
  task->acquiring_term = 0;
  lg_info (PLANNER_PART, "This host holds the planner term.", "term",
           lg_number ((long long)task->term), NULL);
  planner_start_planning (task);
}

static void
on_term_lost (struct planner_task *task)
{
  lg_info (PLANNER_PART,
           "Planning stops: another host holds the planner term.", "term",
           lg_number ((long long)task->term), "holder", task->holder, NULL);
  task->own_term = 0;
  planner_stop_planning (task);
}

void
planner_on_term (struct planner_task *task, const struct msg_term *term)
{
  bool mine
      = term->held_here && g_strcmp0 (term->holder, own_host_name (task)) == 0;

  if (term->term < task->term)
    return;
  task->term = term->term;
  g_free (task->holder);
  task->holder = g_strdup (term->holder == NULL ? "" : term->holder);
  task->holder_absent_since_ms = 0;
  mt_set (task->daemon->metrics, "foxtailgap_planner_term",
          (int64_t)task->term);
  if (task->own_term != 0 && (task->own_term != term->term || !mine))
    on_term_lost (task);
  if (task->acquiring_term != 0 && task->acquiring_term == term->term && mine)
    on_term_acquired (task);
  else if (task->acquiring_term != 0 && task->acquiring_term <= term->term)
    task->acquiring_term = 0;
}

/* ===== When to acquire the term =============================== */

static bool
holder_is_live (const struct planner_task *task)
{
  size_t i;

  if (task->members == NULL)
    return false;
  for (i = 0; i < task->members->member_count; i++)
    if (g_str_equal (task->members->members[i].host, task->holder))
      return true;
  return false;
}

/* Whether this host sees fewer than half of the entry hosts on the host list.
 */
static bool
is_in_minority (const struct planner_task *task)
{
  size_t live_count = task->members == NULL ? 1 : task->members->member_count;
  size_t listed_count = 0;
  size_t i;

  for (i = 0; i < task->hosts->host_count; i++)
    if (task->hosts->hosts[i].kind == HL_ENTRY
        && !task->hosts->hosts[i].leaving)
      listed_count++;
  return 2 * live_count < listed_count;
}

/* How long the holder may be absent before this host tries to acquire the
   term.  The delay grows with the rank of the host, its index among the live
   entry hosts sorted by name, so that usually only one host tries.  A host
   that is cut off from its peers, but not from the log, waits much longer, so
   that one of the peers acquires the term.  */
static uint32_t
acquire_delay_ms (const struct planner_task *task)
{
  const struct settings *settings = task->daemon->settings;
  uint32_t stagger_ms = MAX (settings->heartbeat_ms, 2 * PLANNER_TICK_MS);
  uint32_t rank = task->members == NULL ? 0 : (uint32_t)task->members->self;
  uint32_t wait_ms
      = task->holder[0] == '\0' ? 0 : settings->planner_timeout_ms;

  if (is_in_minority (task))
    wait_ms = PLANNER_MINORITY_FACTOR * settings->planner_timeout_ms;
  return wait_ms + (rank * stagger_ms);
}

void
planner_tick_term (struct planner_task *task, int64_t now_ms)
{
  if (task->own_term != 0 || task->resigned || task->hosts == NULL
      || !task->log_up || !task->caught_up)
    return;
  if (now_ms - task->acquire_sent_ms < PLANNER_ACQUIRE_INTERVAL_MS)
    return;
  if (task->acquiring_term != 0
      && now_ms - task->acquire_sent_ms < PLANNER_APPEND_DEADLINE_MS)
    return;
  if (g_str_equal (task->holder, own_host_name (task)))
    {
      /* An earlier process of this host or this process before a pause held
         the term, or another host has handed it over.  */
      acquire_term (task, now_ms, "the term is this host's to renew");
      return;
    }
  if (task->holder[0] != '\0' && holder_is_live (task))
    {
      task->holder_absent_since_ms = 0;
      return;
    }
  if (task->holder_absent_since_ms == 0)
    task->holder_absent_since_ms = now_ms;
  if (now_ms - task->holder_absent_since_ms >= acquire_delay_ms (task))
    acquire_term (task, now_ms, "no live host holds it");
}

/* The next live host in the order of names; NULL if there is none.  */
static const char *
successor (const struct planner_task *task)
{
  const struct msg_members *members = task->members;

  if (members == NULL || members->member_count < 2)
    return NULL;
  return members->members[(members->self + 1) % members->member_count].host;
}

/* Appends a record that gives the next term to the successor.  The successor
   sees itself as holder and acquires a term of its own at once.  */
void
planner_resign (struct planner_task *task)
{
  const char *host = successor (task);
  struct msg_append *message;

  task->resigned = true;
  if (task->own_term == 0 || host == NULL)
    return;
  lg_info (PLANNER_PART,
           "The planner term is handed over before the shutdown.", "to", host,
           NULL);
  message = planner_record_term (task->own_term + 1, host);
  message->timeout_ms = PLANNER_APPEND_DEADLINE_MS;
  mb_post (task->daemon->state, MSG_APPEND, message);
  task->own_term = 0;
  planner_stop_planning (task);
}
