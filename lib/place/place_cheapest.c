/* Chooses the workers for a reclaim: of all that could hold the guarantee,
   those where evictions lose the least.  */

#include <math.h>

#include "place/place_inner.h"

enum
{
  LOOK_LIMIT = 512 /* workers weighed for one reclaim */
};

/* A worker that takes ROOM slots of the unit.  */
struct bid
{
  struct place_worker_state *worker;
  uint32_t room;
  double loss; /* for each slot */
};

/* Where a unit would go, and what that would lose.  */
struct offer
{
  struct place_spot spots[PLACE_TASK_LIMIT];
  double loss;
};

static double
loss_on (struct place *place, struct place_worker_state *worker,
         const struct place_unit *unit, uint32_t slots)
{
  struct place_amount need = place_times (&unit->each, slots);

  return place_evict_loss (place, worker, &need);
}

/* What is lost if the unit stays where it was; infinite if JOB may not run
   there.  */
static double
loss_of_spots (struct place *place, const struct place_unit *unit,
               const struct place_job_state *job,
               const struct place_spot *spots)
{
  double loss = 0;
  uint32_t i;
  uint32_t run;

  for (i = 0; i < unit->shape.tasks; i += run)
    {
      double one;

      if (place_barred (job, spots[i].worker))
        return INFINITY;
      for (run = 1; i + run < unit->shape.tasks
                    && spots[i + run].worker == spots[i].worker;)
        run++;
      one = loss_on (place, spots[i].worker, unit, run);
      if (one < 0)
        return INFINITY;
      loss += one;
    }
  return loss;
}

static int
compare_bids (const void *a, const void *b)
{
  const struct bid *left = a;
  const struct bid *right = b;

  if (left->loss != right->loss)
    return left->loss < right->loss ? -1 : 1;
  return left->worker->number < right->worker->number ? -1 : 1;
}

static void
add_bid (struct place *place, const struct place_unit *unit,
         const struct place_job_state *job, struct place_worker_state *worker,
         GArray *bids)
{
  struct place_search search = place_unit_search (unit, PLACE_VIEW_FIRM);
  struct bid bid = { .worker = worker };

  if (place_barred (job, worker))
    return;
  bid.room = place_room (place, &search, worker);
  if (bid.room == 0)
    return;
  bid.loss = loss_on (place, worker, unit, bid.room);
  if (bid.loss < 0)
    return;
  bid.loss /= bid.room;
  g_array_append_val (bids, bid);
}

/* Takes the cheapest bids until the unit has a place.  */
static void
accept_bids (const struct place_unit *unit, GArray *bids, struct offer *best)
{
  const struct bid *list = (const struct bid *)bids->data;
  struct place_spot spots[PLACE_TASK_LIMIT];
  uint32_t done = 0;
  double loss = 0;
  uint32_t i;
  guint b;

  g_array_sort (bids, compare_bids);
  for (b = 0; b < bids->len && done < unit->shape.tasks; b++)
    for (i = 0; i < list[b].room && done < unit->shape.tasks; i++)
      {
        spots[done++] = (struct place_spot){ .worker = list[b].worker };
        loss += list[b].loss;
      }
  if (done < unit->shape.tasks || loss >= best->loss)
    return;
  for (i = 0; i < done; i++)
    best->spots[i] = spots[i];
  best->loss = loss;
}

/* The bids of a rack together, or of each of its workers alone.  */
static void
offer_rack (struct place *place, const struct place_unit *unit,
            const struct place_job_state *job, const struct place_rack *rack,
            GArray *bids, struct offer *best)
{
  guint i;

  g_array_set_size (bids, 0);
  for (i = 0; i < rack->workers->len; i++)
    {
      add_bid (place, unit, job, rack->workers->pdata[i], bids);
      if (unit->shape.span != PLACE_SPAN_WORKER)
        continue;
      accept_bids (unit, bids, best);
      g_array_set_size (bids, 0);
    }
  if (bids->len > 0)
    accept_bids (unit, bids, best);
}

void
place_unit_move_cheapest (struct place *place, struct place_unit *unit,
                          const struct place_job_state *job)
{
  g_autoptr (GArray) bids = NULL;
  struct offer best = { .loss = INFINITY };
  guint looked = 0;
  uint32_t i;
  guint r;

  if (unit->shape.span < PLACE_SPAN_RACK)
    return;
  bids = g_array_new (FALSE, FALSE, sizeof (struct bid));
  for (i = 0; i < unit->shape.tasks; i++)
    best.spots[i].worker = unit->slots[i].worker;
  place_unit_unbind (unit);
  best.loss = loss_of_spots (place, unit, job, best.spots);
  for (r = 0; r < place->racks->len && looked < LOOK_LIMIT; r++)
    {
      const struct place_rack *rack = place->racks->pdata[r];

      if (job->centre != NULL && rack->centre != job->centre)
        continue;
      looked += rack->workers->len;
      offer_rack (place, unit, job, rack, bids, &best);
    }
  place_unit_bind (unit, best.spots);
}
