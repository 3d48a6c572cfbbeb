/* Searches of one round: what found nothing is not looked for again by jobs
   that ask for no less.  */

#include "place/place_inner.h"

enum
{
  FAILED_LIMIT = 64 /* searches remembered in one round */
};

/* Whether a search that found nothing asked for no more than SEARCH.  */
static bool
asked_no_more (const struct place_search *failed,
               const struct place_search *search)
{
  return failed->view == search->view && failed->tasks <= search->tasks
         && failed->span <= search->span
         && (failed->centre == NULL || failed->centre == search->centre)
         && failed->end_ms <= search->end_ms
         && place_covers (&search->each, &failed->each);
}

static bool
failed_in_round (const struct place *place, const struct place_search *search)
{
  guint i;

  for (i = 0; i < place->failed->len; i++)
    if (asked_no_more (&g_array_index (place->failed, struct place_search, i),
                       search))
      return true;
  return false;
}

/* The earliest end for which the same workers are kept for others: so that
   searches of jobs of different length can be compared.  */
static int64_t
least_end_ms (const struct place *place, int64_t end_ms)
{
  int64_t least_ms = INT64_MIN;
  guint i;

  for (i = 0; i < place->reservations->len; i++)
    {
      const struct place_job_state *owner = place->reservations->pdata[i];

      if (owner->reservation->start_ms < end_ms)
        least_ms = MAX (least_ms, owner->reservation->start_ms + 1);
    }
  return least_ms;
}

/* Remembers a search that found nothing, in place of those that asked for no
   less.  */
static void
note_failed (struct place *place, const struct place_search *search)
{
  guint i;

  for (i = place->failed->len; i-- > 0;)
    if (asked_no_more (search,
                       &g_array_index (place->failed, struct place_search, i)))
      g_array_remove_index_fast (place->failed, i);
  if (place->failed->len < FAILED_LIMIT)
    g_array_append_val (place->failed, *search);
}

bool
place_fit_once (struct place *place, const struct place_search *wanted,
                struct place_spot *spots)
{
  const struct place_job_state *job = wanted->job;
  struct place_search least = *wanted;
  struct place_search unreserved = *wanted;
  bool reserved = job != NULL && job->reservation != NULL;
  bool alone = reserved || (job != NULL && job->failed_count > 0);

  least.end_ms = least_end_ms (place, wanted->end_ms);
  unreserved.end_ms = INT64_MIN;
  if (failed_in_round (place, reserved ? &unreserved : &least))
    return false;
  if (place_fit (place, &least, spots))
    return true;
  if (alone)
    return false;
  /* Where reservations are not the reason, no job of any length fits.  */
  if (least.end_ms == INT64_MIN || !place_fit (place, &unreserved, spots))
    note_failed (place, &unreserved);
  else
    note_failed (place, &least);
  return false;
}
