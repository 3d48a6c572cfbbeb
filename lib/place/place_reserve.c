/* Reservations: workers kept for large jobs that wait.  Other jobs may use
   these workers (backfill) if they are expected to end before the job with the
   reservation is expected to start.  Expected run times may be wrong: a job
   that runs much longer than expected is evicted once the job with the
   reservation could start without it.  */

#include "place/place_internal.h"

enum
{
  START_TIME_BISECTIONS = 12, /* error: 1/4096 of the time searched */
  /* Other workers are searched once the start is expected this much later
     than at the earliest estimate.  */
  START_SLIP_LIMIT_MS = 60000,
  RENEW_INTERVAL_MS = 30000, /* between updates of a reservation */
  OVERRUN_FACTOR = 2 /* a job that borrows may run for this multiple of its
                         expected run time */
};

/* The group of workers on which a job can start the earliest, and when.  */
struct start_option
{
  GPtrArray *workers;
  int64_t start_ms;
  bool found;
};

void
place_reservation_drop (struct place *place, struct place_job_state *job)
{
  struct place_reservation *reservation = job->reservation;
  guint i;

  if (reservation == NULL)
    return;
  for (i = 0; i < reservation->workers->len; i++)
    ((struct place_worker_state *)reservation->workers->pdata[i])->reserved_for
        = NULL;
  g_ptr_array_free (reservation->workers, TRUE);
  g_free (reservation);
  job->reservation = NULL;
  g_ptr_array_remove (place->reservations, job);
}

/* ===== Earliest start on a group of workers =================== */

/* The resources that are expected to be free on a worker at AT_MS.  */
static struct place_resource_vector
free_resources_at (const struct place *place,
                   const struct place_worker_state *worker, int64_t at_ms)
{
  struct place_resource_vector free
      = place_available_resources (worker, PLACE_FREE_NOW);
  guint i;

  for (i = 0; i < worker->jobs->len; i++)
    {
      const struct place_job_state *job = worker->jobs->pdata[i];
      struct place_resource_vector amount;

      if (job->phase != PLACE_JOB_STOPPING
          && place_expected_end_ms (place, job) > at_ms)
        continue;
      amount = place_job_resources_on (job, worker);
      place_resources_add (&free, &amount);
    }
  return free;
}

/* How many tasks of JOB are expected to fit on a worker at AT_MS.  */
static uint32_t
worker_fit_count_at (const struct place *place,
                     const struct place_job_state *job,
                     const struct place_worker_state *worker, int64_t at_ms)
{
  struct place_resource_vector free;
  uint32_t i;

  if (!place_worker_usable (worker)
      || (worker->reserved_for != NULL && worker->reserved_for != job))
    return 0;
  for (i = 0; i < job->avoided_worker_count; i++)
    if (job->avoided_workers[i] == worker)
      return 0;
  if (!place_resources_cover (&worker->capacity, &job->per_task))
    return 0;
  free = free_resources_at (place, worker, at_ms);
  return place_resources_fit_count (&free, &job->per_task, job->shape.tasks);
}

static bool
group_fits_at (const struct place *place, const struct place_job_state *job,
               const GPtrArray *workers, int64_t at_ms)
{
  uint32_t fit_count = 0;
  guint i;

  for (i = 0; i < workers->len && fit_count < job->shape.tasks; i++)
    fit_count += worker_fit_count_at (place, job, workers->pdata[i], at_ms);
  return fit_count >= job->shape.tasks;
}

/* The time at which the last job on WORKERS is expected to end; now, if
   nothing runs there.  */
static int64_t
last_expected_end_ms (const struct place *place, const GPtrArray *workers)
{
  int64_t last_ms = place_now (place);
  guint i;
  guint j;

  for (i = 0; i < workers->len; i++)
    {
      const struct place_worker_state *worker = workers->pdata[i];

      for (j = 0; j < worker->jobs->len; j++)
        last_ms = MAX (last_ms,
                       place_expected_end_ms (place, worker->jobs->pdata[j]));
    }
  return last_ms;
}

/* The earliest time before BEFORE_MS at which the job is expected to fit on
   WORKERS, or INT64_MAX if there is none.  */
static int64_t
earliest_start_ms (const struct place *place,
                   const struct place_job_state *job, const GPtrArray *workers,
                   int64_t before_ms)
{
  int64_t low_ms = place_now (place);
  int64_t high_ms = MIN (last_expected_end_ms (place, workers), before_ms - 1);
  int n;

  if (high_ms < low_ms || !group_fits_at (place, job, workers, high_ms))
    return INT64_MAX;
  for (n = 0; n < START_TIME_BISECTIONS && low_ms < high_ms; n++)
    {
      int64_t middle_ms = low_ms + (high_ms - low_ms) / 2;

      if (group_fits_at (place, job, workers, middle_ms))
        high_ms = middle_ms;
      else
        low_ms = middle_ms + 1;
    }
  return high_ms;
}

/* Keeps WORKERS as BEST if the job can start there earlier.  */
static void
consider_group (const struct place *place, const struct place_job_state *job,
                GPtrArray *workers, struct start_option *best)
{
  int64_t before_ms = best->found ? best->start_ms : INT64_MAX;
  int64_t start_ms = earliest_start_ms (place, job, workers, before_ms);

  if (start_ms == INT64_MAX)
    return;
  best->found = true;
  best->start_ms = start_ms;
  g_ptr_array_set_size (best->workers, 0);
  g_ptr_array_extend (best->workers, workers, NULL, NULL);
}

static void
add_rack_workers (GPtrArray *group, const struct place_rack *rack)
{
  g_ptr_array_extend (group, rack->workers, NULL, NULL);
}

static void
consider_rack (const struct place *place, const struct place_job_state *job,
               const struct place_rack *rack, struct start_option *best)
{
  g_autoptr (GPtrArray) group = g_ptr_array_new ();
  guint i;

  if (job->shape.span == PLACE_SPAN_RACK)
    {
      add_rack_workers (group, rack);
      consider_group (place, job, group, best);
      return;
    }
  for (i = 0; i < rack->workers->len; i++)
    {
      g_ptr_array_set_size (group, 0);
      g_ptr_array_add (group, rack->workers->pdata[i]);
      consider_group (place, job, group, best);
    }
}

static void
consider_racks (const struct place *place, const struct place_job_state *job,
                const GPtrArray *racks, struct start_option *best)
{
  g_autoptr (GPtrArray) group = g_ptr_array_new ();
  guint i;

  for (i = 0; i < racks->len; i++)
    {
      if (job->shape.span >= PLACE_SPAN_RACK)
        consider_rack (place, job, racks->pdata[i], best);
      else
        add_rack_workers (group, racks->pdata[i]);
    }
  if (group->len > 0)
    consider_group (place, job, group, best);
}

static void
find_earliest_group (const struct place *place,
                     const struct place_job_state *job,
                     struct start_option *best)
{
  guint i;

  if (job->data_centre != NULL)
    consider_racks (place, job, job->data_centre->racks, best);
  else if (job->shape.span == PLACE_SPAN_ANY)
    consider_racks (place, job, place->racks, best);
  else
    for (i = 0; i < place->data_centre_list->len; i++)
      consider_racks (
          place, job,
          ((struct place_data_centre *)place->data_centre_list->pdata[i])
              ->racks,
          best);
}

/* ===== Reservations =========================================== */

struct ranked_worker
{
  struct place_worker_state *worker;
  uint32_t fit_count;
};

static int
compare_by_fit_count (const void *a, const void *b)
{
  const struct ranked_worker *left = a;
  const struct ranked_worker *right = b;

  if (left->fit_count != right->fit_count)
    return left->fit_count > right->fit_count ? -1 : 1;
  return left->worker->number < right->worker->number ? -1 : 1;
}

/* Reserves the workers on which the most tasks fit, until all tasks fit.  */
static void
reserve_workers (const struct place *place, struct place_job_state *job,
                 const struct start_option *earliest)
{
  g_autoptr (GArray) ranked
      = g_array_new (FALSE, FALSE, sizeof (struct ranked_worker));
  const struct ranked_worker *list;
  uint32_t fit_count = 0;
  guint i;

  for (i = 0; i < earliest->workers->len; i++)
    {
      struct ranked_worker one = { .worker = earliest->workers->pdata[i] };

      one.fit_count
          = worker_fit_count_at (place, job, one.worker, earliest->start_ms);
      if (one.fit_count > 0)
        g_array_append_val (ranked, one);
    }
  g_array_sort (ranked, compare_by_fit_count);
  list = (const struct ranked_worker *)ranked->data;
  for (i = 0; i < ranked->len && fit_count < job->shape.tasks; i++)
    {
      fit_count += list[i].fit_count;
      list[i].worker->reserved_for = job;
      g_ptr_array_add (job->reservation->workers, list[i].worker);
    }
}

static void
create_reservation (struct place *place, struct place_job_state *job,
                    int64_t first_ms)
{
  struct start_option earliest = { .workers = g_ptr_array_new () };

  find_earliest_group (place, job, &earliest);
  if (earliest.found)
    {
      job->reservation = g_new0 (struct place_reservation, 1);
      job->reservation->workers = g_ptr_array_new ();
      job->reservation->expected_start_ms = earliest.start_ms;
      job->reservation->earliest_estimate_ms
          = MIN (first_ms, earliest.start_ms);
      job->reservation->checked_ms = place_now (place);
      job->wait_reason = "waits for workers that are reserved for it";
      g_ptr_array_add (place->reservations, job);
      reserve_workers (place, job, &earliest);
    }
  g_ptr_array_free (earliest.workers, TRUE);
}

void
place_reservation_make (struct place *place, struct place_job_state *job)
{
  if (job->reservation != NULL)
    {
      job->wait_reason = "waits for workers that are reserved for it";
      return;
    }
  if (place->reservations->len >= PLACE_RESERVATION_LIMIT
      || place->reservation_examined
      || place_now (place) < job->no_reservation_until_ms)
    return;
  place->reservation_examined = true;
  create_reservation (place, job, INT64_MAX);
  if (job->reservation == NULL)
    job->no_reservation_until_ms = place_now (place) + RENEW_INTERVAL_MS;
}

static bool
reservation_has_unusable_worker (const struct place_job_state *job)
{
  guint i;

  for (i = 0; i < job->reservation->workers->len; i++)
    if (!place_worker_usable (job->reservation->workers->pdata[i]))
      return true;
  return false;
}

/* Updates the expected start of a reservation.  Reserves other workers if the
   start has slipped too far or a worker has become unusable.  */
static void
renew_reservation (struct place *place, struct place_job_state *job)
{
  struct place_reservation *reservation = job->reservation;
  int64_t first_ms = reservation->earliest_estimate_ms;
  int64_t now_ms = place_now (place);
  int64_t start_ms;

  if (!reservation_has_unusable_worker (job))
    {
      if (place->reservation_examined
          || now_ms < reservation->checked_ms + RENEW_INTERVAL_MS)
        return;
      place->reservation_examined = true;
      reservation->checked_ms = now_ms;
      start_ms
          = earliest_start_ms (place, job, reservation->workers, INT64_MAX);
      if (start_ms <= reservation->earliest_estimate_ms + START_SLIP_LIMIT_MS)
        {
          reservation->expected_start_ms = start_ms;
          return;
        }
    }
  place_reservation_drop (place, job);
  create_reservation (place, job, first_ms);
}

/* Whether VICTIM may be evicted for JOB, which holds a reservation: if it is a
   backfill job, or if it runs much longer than expected and the earliest start
   that was ever expected for JOB has passed.  */
static bool
may_be_evicted_for (const struct place *place,
                    const struct place_job_state *victim,
                    const struct place_job_state *job)
{
  int64_t now_ms = place_now (place);
  int64_t ran_ms = now_ms - victim->started_ms;

  if (!victim->borrows || victim->cancelled
      || victim->phase != PLACE_JOB_RUNNING)
    return false;
  if (victim->backfill)
    return true;
  return now_ms >= job->reservation->earliest_estimate_ms
         && ran_ms > (int64_t)victim->expected_run_ms * OVERRUN_FACTOR;
}

/* The free resources of a worker after all evictions that JOB may cause.  */
static struct place_resource_vector
free_after_evictions (const struct place *place,
                      const struct place_worker_state *worker,
                      const struct place_job_state *job)
{
  struct place_resource_vector free
      = place_available_resources (worker, PLACE_FREE_NOW);
  guint i;

  for (i = 0; i < worker->jobs->len; i++)
    {
      const struct place_job_state *other = worker->jobs->pdata[i];
      struct place_resource_vector amount;

      if (other->phase != PLACE_JOB_STOPPING
          && !may_be_evicted_for (place, other, job))
        continue;
      amount = place_job_resources_on (other, worker);
      place_resources_add (&free, &amount);
    }
  return free;
}

/* Assigns tasks of JOB to its reserved workers as if all jobs that may be
   evicted for it had stopped.  Returns the number of tasks assigned.  */
static uint32_t
assign_after_evictions (const struct place *place,
                        const struct place_job_state *job,
                        struct place_location *locations)
{
  uint32_t done = 0;
  guint i;

  for (i = 0; i < job->reservation->workers->len; i++)
    {
      struct place_worker_state *worker = job->reservation->workers->pdata[i];
      struct place_resource_vector free
          = free_after_evictions (place, worker, job);
      uint32_t fit_count = place_resources_fit_count (&free, &job->per_task,
                                                      job->shape.tasks - done);

      while (fit_count-- > 0)
        locations[done++] = (struct place_location){ .worker = worker };
    }
  return done;
}

/* Evicts jobs that may be evicted for JOB, those of the least loss first,
   until the worker is no longer overcommitted.  */
static void
evict_from_worker (struct place *place, struct place_worker_state *worker,
                   const struct place_job_state *job)
{
  struct place_resource_vector none = { 0 };

  for (;;)
    {
      struct place_resource_vector free
          = place_available_resources (worker, PLACE_FREE_NOW);
      struct place_job_state *victim = NULL;
      guint i;

      place_resources_add (&free, &worker->evicting);
      if (place_resources_cover (&free, &none))
        return;
      for (i = 0; i < worker->jobs->len; i++)
        {
          struct place_job_state *other = worker->jobs->pdata[i];

          if (may_be_evicted_for (place, other, job)
              && (victim == NULL
                  || place_eviction_loss (place, other)
                         < place_eviction_loss (place, victim)))
            victim = other;
        }
      if (victim == NULL)
        return;
      place_evict (place, victim, job);
    }
}

/* Claims the reserved workers for JOB if it fits there beside the jobs that
   may not be evicted for it.  */
static bool
claim_reserved_workers (struct place *place, struct place_job_state *job)
{
  struct place_location locations[PLACE_TASK_LIMIT];
  uint32_t i;

  if (place_job_paused (place, job) || place_exceeds_quota (job)
      || assign_after_evictions (place, job, locations) < job->shape.tasks)
    return false;
  job->borrows = true;
  place_locations_set (job, locations);
  place_queue_remove (job);
  place_claim_workers (place, job);
  for (i = 0; i < job->location_count; i++)
    evict_from_worker (place, job->locations[i].worker, job);
  place_reservation_drop (place, job);
  job->wait_reason
      = "waits until others have left the workers reserved for it";
  return true;
}

void
place_reservations_update (struct place *place)
{
  guint i;

  for (i = 0; i < place->reservations->len; i++)
    {
      struct place_job_state *job = place->reservations->pdata[i];
      guint before = place->reservations->len;

      if (claim_reserved_workers (place, job))
        i--;
      else
        {
          renew_reservation (place, job);
          if (place->reservations->len < before)
            i--;
        }
    }
}

int64_t
place_reservations_next_ms (const struct place *place)
{
  int64_t next_ms = INT64_MAX;
  guint i;

  for (i = 0; i < place->reservations->len; i++)
    {
      const struct place_job_state *job = place->reservations->pdata[i];

      next_ms
          = MIN (next_ms, job->reservation->checked_ms + RENEW_INTERVAL_MS);
    }
  return next_ms;
}
