/* The store's list of workers, which only the planner reads: first as a whole,
   in parts, then the records appended since.  */

#include "common/clock.h"
#include "common/logging.h"
#include "planner_private.h"

static const char PART[] = "planner";

enum
{
  /* Every worker's heartbeat is a record, so the list is not read for each
     record but at this interval.  It is well below the time after which a
     draining worker must get nothing new.  */
  LIST_INTERVAL_MS = 400,
  LIST_TIMEOUT_MS = 1200
};

static void
unlist_worker (struct planner *planner, const char *id)
{
  const struct sd_worker *worker = sd_worker_find (planner->sched, id);

  if (worker != NULL && worker->listed)
    lg_info (PART,
             "A worker is not in the store's list any more; it gets no new "
             "task.",
             "worker", id, NULL);
  sd_worker_unlisted (planner->sched, id);
}

/* The list has been read as a whole: what it does not show has left, also if
   it was listed in an earlier term of this host.  */
static void
unlist_other_workers (struct planner *planner)
{
  const GPtrArray *all = sd_workers (planner->sched);
  guint i;

  for (i = 0; i < all->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (all, i);

      if (worker->listed
          && !g_hash_table_contains (planner->listed, worker->report.id))
        unlist_worker (planner, worker->report.id);
    }
  g_hash_table_remove_all (planner->listed);
}

/* REPORTED_MS: as for sd_worker_listed ().  */
static void
apply_worker_record (struct planner *planner, const struct so_record *record,
                     int64_t reported_ms)
{
  struct sd_worker_report report = { 0 };
  struct sd_worker *worker;

  if (record->value == NULL
      || planner->params.decode_report (&report, record->key, record->value,
                                        record->size_bytes)
             < 0)
    {
      if (record->value != NULL)
        lg_warning (PART,
                    "An entry of the store's list of workers is not usable.",
                    "worker", record->key, "bytes",
                    lg_number ((int64_t)record->size_bytes), NULL);
      unlist_worker (planner, record->key);
      return;
    }
  worker = sd_worker_find (planner->sched, report.id);
  if (worker == NULL || !worker->listed)
    lg_info (PART, "A worker is new in the store's list.", "worker", report.id,
             "address", report.address, "service", report.service, NULL);
  else if (report.draining && !worker->report.draining)
    lg_info (PART, "A worker is draining; it gets no new task.", "worker",
             report.id, "stays_ms", lg_number (report.min_remaining_ms), NULL);
  worker = sd_worker_listed (planner->sched, &report, reported_ms);
  if (!planner->list_loaded)
    g_hash_table_add (planner->listed, g_strdup (worker->report.id));
  wk_worker_reported (planner->workers, worker);
}

static void
apply_worker_records (struct planner *planner,
                      const struct so_read_answer *answer, int64_t reported_ms)
{
  guint i;

  for (i = 0; i < answer->records->len; i++)
    apply_worker_record (planner, g_ptr_array_index (answer->records, i),
                         reported_ms);
  if (answer->records->len > 0)
    pl_schedule_round (planner);
}

static void
on_list_read (void *ctx, const struct so_read_answer *answer)
{
  struct planner *planner = ctx;

  planner->list_reading = false;
  if (planner->role != PL_PLANNER)
    return;
  if (answer->result == SO_EXPIRED)
    {
      pl_reset_worker_list (planner);
      return;
    }
  if (answer->result != SO_DONE)
    {
      planner->list_needed = false; /* it is read again after the pause */
      return;
    }
  /* These records were appended after that earlier read was sent, which had
     all records before them.  */
  apply_worker_records (planner, answer, planner->list_complete_ms);
  planner->list_next = answer->next_offset;
  if (answer->at_end)
    planner->list_complete_ms = planner->list_read_ms;
  if (planner->list_needed)
    pl_read_worker_list_if_due (planner);
}

static void
on_list_newest (void *ctx, const struct so_read_answer *answer)
{
  struct planner *planner = ctx;
  const struct so_record *last;

  planner->list_reading = false;
  if (planner->role != PL_PLANNER)
    return;
  /* More keys after none: there is no key to go on from.  */
  if (answer->result != SO_DONE
      || (answer->more_keys && answer->records->len == 0))
    {
      pl_reset_worker_list (planner);
      return;
    }
  if (planner->list_last_key == NULL)
    {
      planner->list_next = answer->next_offset;
      planner->list_complete_ms = planner->list_read_ms;
    }
  apply_worker_records (planner, answer, 0);
  g_clear_pointer (&planner->list_last_key, g_free);
  if (answer->more_keys)
    {
      last = g_ptr_array_index (answer->records, answer->records->len - 1);
      planner->list_last_key = g_strdup (last->key);
      planner->list_read_ms = 0;
    }
  else
    {
      planner->list_loaded = true;
      unlist_other_workers (planner);
      wk_worker_list_read (planner->workers);
    }
  pl_read_worker_list_if_due (planner);
  pl_schedule_round (planner);
}

void
pl_reset_worker_list (struct planner *planner)
{
  planner->list_loaded = false;
  g_hash_table_remove_all (planner->listed);
  g_clear_pointer (&planner->list_last_key, g_free);
}

void
pl_read_worker_list_if_due (struct planner *planner)
{
  const struct so_port *store = &planner->params.store_port;
  int64_t now_ms = clk_monotonic_ms (NULL);

  if (planner->list_reading
      || (!planner->list_needed
          && now_ms - planner->list_read_ms < LIST_INTERVAL_MS))
    return;
  planner->list_reading = true;
  planner->list_needed = false;
  planner->list_read_ms = now_ms;
  if (planner->list_loaded)
    store->read (store->ctx, planner->params.workers_topic, planner->list_next,
                 0, LIST_TIMEOUT_MS, on_list_read, planner);
  else
    store->read_newest (store->ctx, planner->params.workers_topic,
                        planner->list_last_key, LIST_TIMEOUT_MS,
                        on_list_newest, planner);
}

void
pl_read_worker_list_soon (struct planner *planner)
{
  planner->list_needed = true;
  pl_read_worker_list_if_due (planner);
}
