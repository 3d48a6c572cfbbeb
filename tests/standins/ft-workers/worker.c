/* One worker: its leases, tasks and events.  */

#include "worker.h"

#include <glib.h>
#include <string.h>

#include "lease.h"
#include "standins/common/standin.h"

enum
{
  EVENT_SEQS_PER_MS = 1000, /* sequence numbers, see wk_up () */
  PERCENT = 100
};

/* How an attempt ended on this worker.  */
enum end_kind
{
  END_NOT_STARTED = 0, /* also: the worker does not know the attempt */
  END_INTERRUPTED,     /* started, then stopped or lapsed */
  END_FINISHED         /* all its tasks ran to their end */
};

struct wk_worker
{
  struct wk_params params;
  uint64_t boot;
  uint64_t term;
  GHashTable *leases; /* "JOB/ATTEMPT" to struct le_lease * */
  GHashTable *ended;  /* "JOB/ATTEMPT" of ended attempts to enum end_kind */
  struct el_list *events;
  struct wk_faults faults;
};

static void
lease_free (gpointer lease)
{
  le_free (lease);
}

struct wk_worker *
wk_create (const struct wk_params *params)
{
  struct wk_worker *worker = g_new0 (struct wk_worker, 1);

  worker->params = *params;
  worker->params.name = g_strdup (params->name);
  worker->leases
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, lease_free);
  worker->ended
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->events = el_create ();
  wk_up (worker);
  return worker;
}

void
wk_free (struct wk_worker *worker)
{
  if (worker == NULL)
    return;
  g_hash_table_destroy (worker->leases);
  g_hash_table_destroy (worker->ended);
  el_free (worker->events);
  g_free ((char *)worker->params.name);
  g_free (worker);
}

static char *
attempt_key (const char *job, uint32_t attempt)
{
  return g_strdup_printf ("%s/%u", job, attempt);
}

static struct le_lease *
find_lease (const struct wk_worker *worker, const struct wk_attempt_id *id)
{
  char *key = attempt_key (id->job, id->attempt);
  struct le_lease *lease = g_hash_table_lookup (worker->leases, key);

  g_free (key);
  return lease;
}

/* --- History --- */

static void
record_task_event (const struct wk_worker *worker,
                   const struct le_lease *lease, const struct tk_task *task,
                   const char *what, json_t *more)
{
  json_t *fields = json_pack ("{s:s,s:I,s:I}", "job", lease->job, "attempt",
                              (json_int_t)lease->attempt, "task",
                              (json_int_t)task->number);

  if (more != NULL)
    json_object_update (fields, more);
  json_decref (more);
  hf_write (worker->params.history, worker->params.name, what, fields);
}

/* Writes an event to the history for each task of the lease that has not
   ended.  */
static void
record_lease_event (const struct wk_worker *worker,
                    const struct le_lease *lease, const char *what)
{
  const struct le_task *task;
  json_t *more;
  guint i;

  for (i = 0; i < lease->tasks->len; i++)
    {
      task = g_ptr_array_index (lease->tasks, i);
      if (task->task.state == TK_ENDED)
        continue;
      more = NULL;
      if (strcmp (what, "lease") == 0)
        more = json_pack ("{s:I,s:I}", "accelerators",
                          (json_int_t)task->task.accelerator_mask, "term",
                          (json_int_t)lease->term);
      record_task_event (worker, lease, &task->task, what, more);
    }
}

void
wk_record_refusal (const struct wk_worker *worker,
                   const struct wk_attempt_id *id, const char *call,
                   const char *why)
{
  hf_write (worker->params.history, worker->params.name, "refuse",
            json_pack ("{s:s,s:s,s:I,s:s}", "call", call, "job", id->job,
                       "attempt", (json_int_t)id->attempt, "why", why));
}

/* --- Terms --- */

int
wk_check_term (struct wk_worker *worker, uint64_t term)
{
  if (term < worker->term)
    return WK_ERR_STALE_TERM;
  worker->term = term;
  return WK_OK;
}

void
wk_record_term (struct wk_worker *worker, uint64_t term)
{
  worker->term = MAX (worker->term, term);
}

uint64_t
wk_term (const struct wk_worker *worker)
{
  return worker->term;
}

uint64_t
wk_boot (const struct wk_worker *worker)
{
  return worker->boot;
}

/* --- Ends --- */

/* Removes a lease and records how the attempt ended on this worker.  */
static void
end_lease (struct wk_worker *worker, struct le_lease *lease)
{
  char *key = attempt_key (lease->job, lease->attempt);
  enum end_kind kind = END_NOT_STARTED;

  if (lease->started)
    kind = le_all_ended (lease) ? END_FINISHED : END_INTERRUPTED;
  g_hash_table_insert (worker->ended, g_strdup (key), GINT_TO_POINTER (kind));
  g_hash_table_remove (worker->leases, key);
  g_free (key);
}

static enum end_kind
find_end_kind (const struct wk_worker *worker, const struct wk_attempt_id *id)
{
  char *key = attempt_key (id->job, id->attempt);
  gpointer kind = g_hash_table_lookup (worker->ended, key);

  g_free (key);
  return (enum end_kind)GPOINTER_TO_INT (kind);
}

static void
add_event (struct wk_worker *worker, const struct le_task *task,
           struct el_event *event)
{
  event->job = task->lease->job;
  event->attempt = task->lease->attempt;
  event->task = task->task.number;
  el_add (worker->events, event);
}

static void
on_task_ended (void *ctx, bool ok)
{
  struct le_task *task = ctx;
  struct le_lease *lease = task->lease;
  struct wk_worker *worker = lease->owner;
  struct el_event event = { .ok = ok, .detail = ok ? "" : "the task failed" };
  char *output;
  char *digest;

  if (ok && lease->payload.output == NULL)
    output = g_strdup_printf ("task %u on %s done", task->task.number,
                              worker->params.name);
  else
    output = g_strdup (ok ? lease->payload.output : "");
  digest = hf_digest (output, strlen (output));
  record_task_event (worker, lease, &task->task, "end",
                     json_pack ("{s:b,s:s}", "ok", (int)ok, "output", digest));
  g_free (digest);
  event.output = output;
  add_event (worker, task, &event);
  g_free (output);
  if (le_all_ended (lease))
    end_lease (worker, lease);
}

static void
on_lapse (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct le_lease *lease = watcher->data;
  struct wk_worker *worker = lease->owner;
  struct el_event event = { .lapsed = true,
                            .detail = "the lease was not renewed in time",
                            .output = "" };
  const struct le_task *task;
  guint i;

  (void)loop;
  (void)events;
  record_lease_event (worker, lease, "lapse");
  for (i = 0; i < lease->tasks->len; i++)
    {
      task = g_ptr_array_index (lease->tasks, i);
      if (task->task.state != TK_ENDED)
        add_event (worker, task, &event);
    }
  end_lease (worker, lease);
}

void
wk_stop (struct wk_worker *worker, const struct wk_attempt_id *id,
         struct wk_stop_result *stopped)
{
  struct le_lease *lease = find_lease (worker, id);
  enum end_kind kind;

  stopped->progress_ms = 0;
  if (lease != NULL)
    {
      stopped->started = lease->started;
      stopped->progress_ms = le_progress_ms (lease);
      record_lease_event (worker, lease, "stop");
      end_lease (worker, lease);
      return;
    }
  kind = find_end_kind (worker, id);
  stopped->started = kind != END_NOT_STARTED;
  g_hash_table_insert (worker->ended, attempt_key (id->job, id->attempt),
                       GINT_TO_POINTER (kind));
}

/* --- Leases --- */

static bool
fits_free_resources (const struct wk_worker *worker,
                     const struct le_lease *added)
{
  const struct wk_params *params = &worker->params;
  struct le_resources held = { 0 };
  struct le_resources wanted = { 0 };
  GHashTableIter iter;
  gpointer lease;

  g_hash_table_iter_init (&iter, worker->leases);
  while (g_hash_table_iter_next (&iter, NULL, &lease))
    le_add_held_resources (lease, &held);
  le_add_held_resources (added, &wanted);
  return (held.accelerator_mask & wanted.accelerator_mask) == 0
         && wanted.accelerator_mask >> params->accelerator_count == 0
         && held.cpus_milli + wanted.cpus_milli <= params->cpus_milli
         && held.memory_mb + wanted.memory_mb <= params->memory_mb;
}

/* Sets host, term and time to live of a lease, a new one or one that is
   extended.  */
static void
grant_lease (struct wk_worker *worker, struct le_lease *lease,
             const char *host, uint32_t ttl_ms)
{
  g_free (lease->host);
  lease->host = g_strdup (host);
  lease->term = worker->term;
  le_set_ttl (lease, ttl_ms);
}

static int
add_lease (struct wk_worker *worker, struct le_lease *lease)
{
  char *key = attempt_key (lease->job, lease->attempt);

  if (g_hash_table_contains (worker->ended, key))
    {
      g_free (key);
      return WK_ERR_ENDED;
    }
  if (!fits_free_resources (worker, lease))
    {
      g_free (key);
      return WK_ERR_BUSY;
    }
  lease->owner = worker;
  ev_init (&lease->lapse_timer, on_lapse);
  lease->lapse_timer.data = lease;
  g_hash_table_insert (worker->leases, key, lease);
  return WK_OK;
}

int
wk_lease (struct wk_worker *worker, const struct wk_attempt_id *id,
          const char *host, uint32_t ttl_ms, const json_t *tasks)
{
  struct le_lease *held = find_lease (worker, id);
  struct le_lease *lease
      = le_create (worker->params.loop, id->job, id->attempt, tasks);
  int error = WK_OK;

  if (lease == NULL)
    return WK_ERR_INVALID;
  if (held != NULL)
    {
      if (le_has_same_tasks (held, lease))
        grant_lease (worker, held, host, ttl_ms);
      else
        error = WK_ERR_BUSY;
      le_free (lease);
      return error;
    }
  error = add_lease (worker, lease);
  if (error != WK_OK)
    {
      le_free (lease);
      return error;
    }
  grant_lease (worker, lease, host, ttl_ms);
  record_lease_event (worker, lease, "lease");
  return WK_OK;
}

bool
wk_renew (struct wk_worker *worker, const struct wk_attempt_id *id,
          uint32_t ttl_ms)
{
  struct le_lease *lease = find_lease (worker, id);

  if (lease == NULL)
    return false;
  le_set_ttl (lease, ttl_ms);
  return true;
}

/* --- Tasks --- */

/* Decides whether a task fails at random, by fail_percent.  */
static bool
fails_at_random (const struct wk_worker *worker)
{
  return worker->faults.fail_percent > 0
         && g_rand_int_range (worker->params.random, 0, PERCENT)
                < (gint32)worker->faults.fail_percent;
}

int
wk_start (struct wk_worker *worker, const struct wk_attempt_id *id,
          struct tk_payload *payload)
{
  struct le_lease *lease = find_lease (worker, id);
  struct le_task *task;
  guint i;

  if (lease == NULL)
    return find_end_kind (worker, id) == END_FINISHED ? WK_OK
                                                      : WK_ERR_NO_LEASE;
  if (lease->started)
    return WK_OK;
  if (worker->faults.refuse_start)
    return WK_ERR_REFUSED;
  lease->started = true;
  lease->payload = *payload;
  payload->output = NULL;
  record_lease_event (worker, lease, "start");
  for (i = 0; i < lease->tasks->len; i++)
    {
      task = g_ptr_array_index (lease->tasks, i);
      task->task.on_ended = on_task_ended;
      task->task.ctx = task;
      task->task.fails = fails_at_random (worker);
      tk_start (&task->task, &lease->payload, worker->faults.fail_all);
    }
  return WK_OK;
}

int
wk_checkpoint (const struct wk_worker *worker, const struct wk_attempt_id *id,
               uint64_t *progress_ms)
{
  const struct le_lease *lease = find_lease (worker, id);

  if (lease == NULL)
    return WK_ERR_NO_LEASE;
  *progress_ms = le_progress_ms (lease);
  return WK_OK;
}

int
wk_throttle (struct wk_worker *worker, const struct wk_attempt_id *id,
             uint32_t percent)
{
  struct le_lease *lease = find_lease (worker, id);
  struct le_task *task;
  guint i;

  if (lease == NULL)
    return WK_ERR_NO_LEASE;
  for (i = 0; i < lease->tasks->len; i++)
    {
      task = g_ptr_array_index (lease->tasks, i);
      tk_throttle (&task->task, percent);
    }
  return WK_OK;
}

const struct tk_payload *
wk_payload (const struct wk_worker *worker, const struct wk_attempt_id *id)
{
  const struct le_lease *lease = find_lease (worker, id);

  return lease != NULL && lease->started ? &lease->payload : NULL;
}

/* --- Failures --- */

void
wk_down (struct wk_worker *worker)
{
  hf_write (worker->params.history, worker->params.name, "down",
            json_object ());
  g_hash_table_remove_all (worker->leases);
  g_hash_table_remove_all (worker->ended);
  el_remove_through (worker->events, UINT64_MAX);
  worker->term = 0;
}

/* Sequence numbers of events never decrease, even over a restart of the
   process: each boot starts them at a value that grows with the time.  */
void
wk_up (struct wk_worker *worker)
{
  worker->boot = MAX (worker->boot + 1, (uint64_t)sn_now_ms ());
  el_raise_last_seq (worker->events, worker->boot * EVENT_SEQS_PER_MS);
  hf_write (worker->params.history, worker->params.name, "up",
            json_pack ("{s:I}", "boot", (json_int_t)worker->boot));
}

struct wk_faults *
wk_faults (struct wk_worker *worker)
{
  return &worker->faults;
}

/* --- For answers --- */

struct el_list *
wk_events (struct wk_worker *worker)
{
  return worker->events;
}

const struct wk_params *
wk_params (const struct wk_worker *worker)
{
  return &worker->params;
}

void
wk_for_each_lease (const struct wk_worker *worker, wk_visit visit, void *ctx)
{
  GHashTableIter iter;
  gpointer lease;

  g_hash_table_iter_init (&iter, worker->leases);
  while (g_hash_table_iter_next (&iter, NULL, &lease))
    visit (ctx, lease);
}
