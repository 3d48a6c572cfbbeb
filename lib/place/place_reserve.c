/* Reservations: workers kept for large jobs that wait.  Others may use them
   meanwhile if they are expected to end in time.  Expectations may be wrong:
   work that stays longer than expected is evicted when the reserved job
   could start without it.  */

#include "place/place_inner.h"

enum
{
  BISECTIONS = 12,
  SLIP_MS = 60000,   /* a later start than first expected: look anew */
  RENEW_MS = 30000,  /* between looks at a reservation */
  OVERRUN_FACTOR = 2 /* of the expected run time */
};

/* Workers that together take a job, and when.  */
struct choice
{
  GPtrArray *workers; /* of the group looked at */
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
    ((struct place_worker_state *)reservation->workers->pdata[i])->reservation
        = NULL;
  g_ptr_array_free (reservation->workers, TRUE);
  g_free (reservation);
  job->reservation = NULL;
  g_ptr_array_remove (place->reservations, job);
}

/* ===== When a group of workers has room ======================= */

/* What is expected to be free on a worker at a time.  */
static struct place_amount
free_at (const struct place *place, const struct place_worker_state *worker,
         int64_t at_ms)
{
  struct place_amount free = place_view_of (worker, PLACE_VIEW_FREE);
  guint i;

  for (i = 0; i < worker->jobs->len; i++)
    {
      const struct place_job_state *job = worker->jobs->pdata[i];
      struct place_amount amount;

      if (job->phase != PLACE_EVICTING
          && place_expected_end_ms (place, job) > at_ms)
        continue;
      amount = place_amount_on (job, worker);
      place_add (&free, &amount);
    }
  return free;
}

static uint32_t
room_at (const struct place *place, const struct place_job_state *job,
         const struct place_worker_state *worker, int64_t at_ms)
{
  struct place_amount free;
  uint32_t i;

  if (!place_usable (worker)
      || (worker->reservation != NULL && worker->reservation != job))
    return 0;
  for (i = 0; i < job->failed_count; i++)
    if (job->failed[i] == worker)
      return 0;
  if (!place_covers (&worker->capacity, &job->each))
    return 0;
  free = free_at (place, worker, at_ms);
  return place_goes_into (&free, &job->each, job->shape.tasks);
}

static bool
group_has_room (const struct place *place, const struct place_job_state *job,
                const GPtrArray *workers, int64_t at_ms)
{
  uint32_t room = 0;
  guint i;

  for (i = 0; i < workers->len && room < job->shape.tasks; i++)
    room += room_at (place, job, workers->pdata[i], at_ms);
  return room >= job->shape.tasks;
}

/* The latest time at which anything on WORKERS is expected to end.  */
static int64_t
last_end (const struct place *place, const GPtrArray *workers)
{
  int64_t last = place_now (place);
  guint i;
  guint j;

  for (i = 0; i < workers->len; i++)
    {
      const struct place_worker_state *worker = workers->pdata[i];

      for (j = 0; j < worker->jobs->len; j++)
        last = MAX (last,
                    place_expected_end_ms (place, worker->jobs->pdata[j]));
    }
  return last;
}

/* The earliest time, before BEFORE_MS, at which WORKERS take the job;
   INT64_MAX for never.  */
static int64_t
group_start (const struct place *place, const struct place_job_state *job,
             const GPtrArray *workers, int64_t before_ms)
{
  int64_t low = place_now (place);
  int64_t high = MIN (last_end (place, workers), before_ms - 1);
  int n;

  if (high < low || !group_has_room (place, job, workers, high))
    return INT64_MAX;
  for (n = 0; n < BISECTIONS && low < high; n++)
    {
      int64_t middle = low + (high - low) / 2;

      if (group_has_room (place, job, workers, middle))
        high = middle;
      else
        low = middle + 1;
    }
  return high;
}

static void
consider (const struct place *place, const struct place_job_state *job,
          GPtrArray *workers, struct choice *best)
{
  int64_t before = best->found ? best->start_ms : INT64_MAX;
  int64_t start = group_start (place, job, workers, before);

  if (start == INT64_MAX)
    return;
  best->found = true;
  best->start_ms = start;
  g_ptr_array_set_size (best->workers, 0);
  g_ptr_array_extend (best->workers, workers, NULL, NULL);
}

static void
add_rack (GPtrArray *group, const struct place_rack *rack)
{
  g_ptr_array_extend (group, rack->workers, NULL, NULL);
}

static void
consider_rack (const struct place *place, const struct place_job_state *job,
               const struct place_rack *rack, struct choice *best)
{
  g_autoptr (GPtrArray) group = g_ptr_array_new ();
  guint i;

  if (job->shape.span == PLACE_SPAN_RACK)
    {
      add_rack (group, rack);
      consider (place, job, group, best);
      return;
    }
  for (i = 0; i < rack->workers->len; i++)
    {
      g_ptr_array_set_size (group, 0);
      g_ptr_array_add (group, rack->workers->pdata[i]);
      consider (place, job, group, best);
    }
}

static void
consider_racks (const struct place *place, const struct place_job_state *job,
                const GPtrArray *racks, struct choice *best)
{
  g_autoptr (GPtrArray) group = g_ptr_array_new ();
  guint i;

  for (i = 0; i < racks->len; i++)
    {
      if (job->shape.span >= PLACE_SPAN_RACK)
        consider_rack (place, job, racks->pdata[i], best);
      else
        add_rack (group, racks->pdata[i]);
    }
  if (group->len > 0)
    consider (place, job, group, best);
}

static void
choose (const struct place *place, const struct place_job_state *job,
        struct choice *best)
{
  guint i;

  if (job->centre != NULL)
    consider_racks (place, job, job->centre->racks, best);
  else if (job->shape.span == PLACE_SPAN_ANY)
    consider_racks (place, job, place->racks, best);
  else
    for (i = 0; i < place->centre_list->len; i++)
      consider_racks (
          place, job,
          ((struct place_centre *)place->centre_list->pdata[i])->racks, best);
}

/* ===== Reservations =========================================== */

struct ranked
{
  struct place_worker_state *worker;
  uint32_t room;
};

static int
compare_ranked (const void *a, const void *b)
{
  const struct ranked *left = a;
  const struct ranked *right = b;

  if (left->room != right->room)
    return left->room > right->room ? -1 : 1;
  return left->worker->number < right->worker->number ? -1 : 1;
}

/* Keeps the workers with the most room until all tasks have a place.  */
static void
keep_workers (const struct place *place, struct place_job_state *job,
              const struct choice *choice)
{
  g_autoptr (GArray) ranked
      = g_array_new (FALSE, FALSE, sizeof (struct ranked));
  const struct ranked *list;
  uint32_t room = 0;
  guint i;

  for (i = 0; i < choice->workers->len; i++)
    {
      struct ranked one = { .worker = choice->workers->pdata[i] };

      one.room = room_at (place, job, one.worker, choice->start_ms);
      if (one.room > 0)
        g_array_append_val (ranked, one);
    }
  g_array_sort (ranked, compare_ranked);
  list = (const struct ranked *)ranked->data;
  for (i = 0; i < ranked->len && room < job->shape.tasks; i++)
    {
      room += list[i].room;
      list[i].worker->reservation = job;
      g_ptr_array_add (job->reservation->workers, list[i].worker);
    }
}

static void
reserve (struct place *place, struct place_job_state *job, int64_t first_ms)
{
  struct choice choice = { .workers = g_ptr_array_new () };

  choose (place, job, &choice);
  if (choice.found)
    {
      job->reservation = g_new0 (struct place_reservation, 1);
      job->reservation->workers = g_ptr_array_new ();
      job->reservation->start_ms = choice.start_ms;
      job->reservation->first_ms = MIN (first_ms, choice.start_ms);
      job->reservation->renewed_ms = place_now (place);
      job->wait = "waits for workers that are reserved for it";
      g_ptr_array_add (place->reservations, job);
      keep_workers (place, job, &choice);
    }
  g_ptr_array_free (choice.workers, TRUE);
}

void
place_reservation_make (struct place *place, struct place_job_state *job)
{
  if (job->reservation != NULL)
    {
      job->wait = "waits for workers that are reserved for it";
      return;
    }
  if (place->reservations->len >= PLACE_RESERVATION_LIMIT
      || place->looked_ahead
      || place_now (place) < job->no_reservation_until_ms)
    return;
  place->looked_ahead = true;
  reserve (place, job, INT64_MAX);
  if (job->reservation == NULL)
    job->no_reservation_until_ms = place_now (place) + RENEW_MS;
}

static bool
reservation_lost (const struct place_job_state *job)
{
  guint i;

  for (i = 0; i < job->reservation->workers->len; i++)
    if (!place_usable (job->reservation->workers->pdata[i]))
      return true;
  return false;
}

/* Looks at what is expected now; chooses other workers where the start has
   slipped.  */
static void
renew (struct place *place, struct place_job_state *job)
{
  struct place_reservation *reservation = job->reservation;
  int64_t first_ms = reservation->first_ms;
  int64_t now = place_now (place);
  int64_t start;

  if (!reservation_lost (job))
    {
      if (place->looked_ahead || now < reservation->renewed_ms + RENEW_MS)
        return;
      place->looked_ahead = true;
      reservation->renewed_ms = now;
      start = group_start (place, job, reservation->workers, INT64_MAX);
      if (start <= reservation->first_ms + SLIP_MS)
        {
          reservation->start_ms = start;
          return;
        }
    }
  place_reservation_drop (place, job);
  reserve (place, job, first_ms);
}

/* Whether a job may be evicted for the one that holds the reservation.  */
static bool
gives_way (const struct place *place, const struct place_job_state *victim,
           const struct place_job_state *job)
{
  int64_t now = place_now (place);
  int64_t ran = now - victim->started_ms;

  if (!victim->borrowed || victim->cancelled || victim->phase != PLACE_RUNNING)
    return false;
  if (victim->backfill)
    return true;
  return now >= job->reservation->first_ms
         && ran > (int64_t)victim->expected_ms * OVERRUN_FACTOR;
}

static struct place_amount
free_without (const struct place *place,
              const struct place_worker_state *worker,
              const struct place_job_state *job)
{
  struct place_amount free = place_view_of (worker, PLACE_VIEW_FREE);
  guint i;

  for (i = 0; i < worker->jobs->len; i++)
    {
      const struct place_job_state *other = worker->jobs->pdata[i];
      struct place_amount amount;

      if (other->phase != PLACE_EVICTING && !gives_way (place, other, job))
        continue;
      amount = place_amount_on (other, worker);
      place_add (&free, &amount);
    }
  return free;
}

static uint32_t
tasks_without (const struct place *place, const struct place_job_state *job,
               struct place_spot *spots)
{
  uint32_t done = 0;
  guint i;

  for (i = 0; i < job->reservation->workers->len; i++)
    {
      struct place_worker_state *worker = job->reservation->workers->pdata[i];
      struct place_amount free = free_without (place, worker, job);
      uint32_t room
          = place_goes_into (&free, &job->each, job->shape.tasks - done);

      while (room-- > 0)
        spots[done++] = (struct place_spot){ .worker = worker };
    }
  return done;
}

/* Evicts the cheapest of those that give way until nothing is over.  */
static void
clear_worker (struct place *place, struct place_worker_state *worker,
              const struct place_job_state *job)
{
  struct place_amount none = { 0 };

  for (;;)
    {
      struct place_amount free = place_view_of (worker, PLACE_VIEW_FREE);
      struct place_job_state *victim = NULL;
      guint i;

      place_add (&free, &worker->evicting);
      if (place_covers (&free, &none))
        return;
      for (i = 0; i < worker->jobs->len; i++)
        {
          struct place_job_state *other = worker->jobs->pdata[i];

          if (gives_way (place, other, job)
              && (victim == NULL
                  || place_loss (place, other) < place_loss (place, victim)))
            victim = other;
        }
      if (victim == NULL)
        return;
      place_evict (place, victim, job);
    }
}

/* Claims the reserved workers if only work that gives way is on them.  */
static bool
claim_reserved (struct place *place, struct place_job_state *job)
{
  struct place_spot spots[PLACE_TASK_LIMIT];
  uint32_t i;

  if (place_paused (place, job) || place_over_quota (job)
      || tasks_without (place, job, spots) < job->shape.tasks)
    return false;
  job->borrowed = true;
  place_spots_set (job, spots);
  place_queue_remove (job);
  place_claim (place, job);
  for (i = 0; i < job->spot_count; i++)
    clear_worker (place, job->spots[i].worker, job);
  place_reservation_drop (place, job);
  job->wait = "waits until others have left the workers reserved for it";
  return true;
}

void
place_reservations_round (struct place *place)
{
  guint i;

  for (i = 0; i < place->reservations->len; i++)
    {
      struct place_job_state *job = place->reservations->pdata[i];
      guint before = place->reservations->len;

      if (claim_reserved (place, job))
        i--;
      else
        {
          renew (place, job);
          if (place->reservations->len < before)
            i--;
        }
    }
}

int64_t
place_reservations_next_ms (const struct place *place)
{
  int64_t next = INT64_MAX;
  guint i;

  for (i = 0; i < place->reservations->len; i++)
    {
      const struct place_job_state *job = place->reservations->pdata[i];

      next = MIN (next, job->reservation->renewed_ms + RENEW_MS);
    }
  return next;
}
