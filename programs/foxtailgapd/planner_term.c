/* The planner's term: claimed through the log, held while this process is
   sure that it has not been paused.  */

#include "common/logging.h"
#include "planner.h"

int64_t
planner_now_ms (void)
{
  return g_get_monotonic_time () / G_TIME_SPAN_MILLISECOND;
}

static bool
paused (const struct planner_task *task, int64_t now_ms)
{
  uint32_t limit_ms = task->daemon->settings->planner_timeout_ms / 2;

  return now_ms - task->last_pass_ms > limit_ms;
}

bool
planner_sure (const struct planner_task *task)
{
  return task->own_term != 0 && !paused (task, planner_now_ms ());
}

bool
planner_pass (struct planner_task *task)
{
  int64_t now_ms = planner_now_ms ();
  bool was_paused = task->last_pass_ms != 0 && paused (task, now_ms);

  task->last_pass_ms = now_ms;
  if (was_paused && task->own_term != 0)
    planner_suspend (task, "the process was paused");
  if (was_paused)
    task->claiming = 0;
  return task->own_term != 0;
}

static const char *
own_name (const struct planner_task *task)
{
  return task->daemon->settings->host;
}

/* ===== Claiming =============================================== */

static void
claim (struct planner_task *task, int64_t now_ms, const char *why)
{
  struct planner_append *append = g_new0 (struct planner_append, 1);

  append->kind = PLANNER_APPEND_TERM;
  task->claiming = task->term + 1;
  task->claimed_ms = now_ms;
  lg_info (PLANNER_PART, "Claiming the term.", "term",
           lg_number ((long long)task->claiming), "why", why, NULL);
  planner_append (task, planner_record_term (task->claiming, own_name (task)),
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
  planner_drop (task);
}

void
planner_on_claimed (struct planner_task *task,
                    const struct msg_appended *answer)
{
  if (answer->result == MSG_APPEND_FOLDED && answer->verdict == ST_VALID)
    return;
  lg_info (PLANNER_PART, "The term was not won.", "verdict",
           answer->result == MSG_APPEND_FOLDED
               ? st_verdict_name (answer->verdict)
               : "not in the log",
           NULL);
  if (answer->result != MSG_APPEND_UNKNOWN)
    task->claiming = 0;
}

static void
win (struct planner_task *task)
{
  task->own_term = task->term;
  task->claiming = 0;
  lg_info (PLANNER_PART, "Holds the term.", "term",
           lg_number ((long long)task->term), NULL);
  planner_build (task);
}

static void
lose (struct planner_task *task)
{
  lg_info (PLANNER_PART, "Another host holds the term.", "term",
           lg_number ((long long)task->term), "holder", task->holder, NULL);
  task->own_term = 0;
  planner_drop (task);
}

void
planner_on_term (struct planner_task *task, const struct msg_term *term)
{
  bool mine = term->mine && g_strcmp0 (term->holder, own_name (task)) == 0;

  if (term->term < task->term)
    return;
  task->term = term->term;
  g_free (task->holder);
  task->holder = g_strdup (term->holder == NULL ? "" : term->holder);
  task->absent_since_ms = 0;
  mt_set (task->daemon->metrics, "foxtailgap_planner_term",
          (int64_t)task->term);
  if (task->own_term != 0 && (task->own_term != term->term || !mine))
    lose (task);
  if (task->claiming != 0 && task->claiming == term->term && mine)
    win (task);
  else if (task->claiming != 0 && task->claiming <= term->term)
    task->claiming = 0;
}

/* ===== Whether to claim ======================================= */

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

/* Whether this host sees less than half of the entry hosts on the list.  */
static bool
is_in_minority (const struct planner_task *task)
{
  size_t seen = task->members == NULL ? 1 : task->members->member_count;
  size_t listed = 0;
  size_t i;

  for (i = 0; i < task->hosts->host_count; i++)
    if (task->hosts->hosts[i].kind == HL_ENTRY
        && !task->hosts->hosts[i].leaving)
      listed++;
  return 2 * seen < listed;
}

/* How long the holder may be absent before this host claims the term.  Hosts
   claim one after the other, so that one claim is enough.  A host that is cut
   off from the others, though not from the log, leaves the term to them for
   much longer.  */
static uint32_t
patience_ms (const struct planner_task *task)
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
  if (now_ms - task->claimed_ms < PLANNER_CLAIM_INTERVAL_MS)
    return;
  if (task->claiming != 0
      && now_ms - task->claimed_ms < PLANNER_APPEND_DEADLINE_MS)
    return;
  if (g_str_equal (task->holder, own_name (task)))
    {
      /* Held by an earlier process of this host, before a pause, or handed
         over to this host.  */
      claim (task, now_ms, "the term is this host's to renew");
      return;
    }
  if (task->holder[0] != '\0' && holder_is_live (task))
    {
      task->absent_since_ms = 0;
      return;
    }
  if (task->absent_since_ms == 0)
    task->absent_since_ms = now_ms;
  if (now_ms - task->absent_since_ms >= patience_ms (task))
    claim (task, now_ms, "no live host holds it");
}

/* The next live host by name; NULL if there is none.  */
static const char *
successor (const struct planner_task *task)
{
  const struct msg_members *members = task->members;

  if (members == NULL || members->member_count < 2)
    return NULL;
  return members->members[(members->self + 1) % members->member_count].host;
}

/* The next term is claimed in the name of the successor, which finds itself
   named and claims its own at once.  */
void
planner_resign (struct planner_task *task)
{
  const char *host = successor (task);
  struct msg_append *message;

  task->resigned = true;
  if (task->own_term == 0 || host == NULL)
    return;
  lg_info (PLANNER_PART, "Hands the term over.", "to", host, NULL);
  message = planner_record_term (task->own_term + 1, host);
  message->deadline_ms = PLANNER_APPEND_DEADLINE_MS;
  mb_post (task->daemon->state, MSG_APPEND, message);
  task->own_term = 0;
  planner_drop (task);
}
