/* Negative cache of one round: a search that found no workers is not repeated
   for a job that asks for at least as much.  */

#include "place/place_internal.h"

enum
{
  FAILED_SEARCH_LIMIT = 64 /* failed searches kept in one round */
};

/* Whether FAILED asks for no more than SEARCH.  If FAILED found no workers,
   SEARCH finds none either.  */
static bool
asks_no_more (const struct place_search *failed,
              const struct place_search *search)
{
  return failed->free_rule == search->free_rule
         && failed->tasks <= search->tasks && failed->span <= search->span
         && (failed->data_centre == NULL
             || failed->data_centre == search->data_centre)
         && failed->end_ms <= search->end_ms
         && place_resources_cover (&search->per_task, &failed->per_task);
}

static bool
failed_this_round (const struct place *place,
                   const struct place_search *search)
{
  guint i;

  for (i = 0; i < place->failed_worker_searches->len; i++)
    if (asks_no_more (&g_array_index (place->failed_worker_searches,
                                      struct place_search, i),
                      search))
      return true;
  return false;
}

/* The earliest end time that excludes the same reserved workers as END_MS.
   With it, searches for jobs of different run times can be compared.  */
static int64_t
least_equivalent_end_ms (const struct place *place, int64_t end_ms)
{
  int64_t least_ms = INT64_MIN;
  guint i;

  for (i = 0; i < place->reservations->len; i++)
    {
      const struct place_job_state *owner = place->reservations->pdata[i];

      if (owner->reservation->expected_start_ms < end_ms)
        least_ms = MAX (least_ms, owner->reservation->expected_start_ms + 1);
    }
  return least_ms;
}

/* Remembers a search that found no workers.  It replaces remembered searches
   that ask for at least as much.  */
static void
remember_failed (struct place *place, const struct place_search *search)
{
  guint i;

  for (i = place->failed_worker_searches->len; i-- > 0;)
    if (asks_no_more (search, &g_array_index (place->failed_worker_searches,
                                              struct place_search, i)))
      g_array_remove_index_fast (place->failed_worker_searches, i);
  if (place->failed_worker_searches->len < FAILED_SEARCH_LIMIT)
    g_array_append_val (place->failed_worker_searches, *search);
}

bool
place_fit_cached (struct place *place, const struct place_search *wanted,
                  struct place_location *locations)
{
  const struct place_job_state *job = wanted->job;
  struct place_search canonical = *wanted;
  struct place_search ignoring_reservations = *wanted;
  bool reserved = job != NULL && job->reservation != NULL;
  bool search_is_job_specific
      = reserved || (job != NULL && job->avoided_worker_count > 0);

  canonical.end_ms = least_equivalent_end_ms (place, wanted->end_ms);
  ignoring_reservations.end_ms = INT64_MIN;
  if (failed_this_round (place,
                         reserved ? &ignoring_reservations : &canonical))
    return false;
  if (place_fit (place, &canonical, locations))
    return true;
  if (search_is_job_specific)
    return false;
  /* If the search also fails when reservations are ignored, the failure holds
     for a job of any run time.  */
  if (canonical.end_ms == INT64_MIN
      || !place_fit (place, &ignoring_reservations, locations))
    remember_failed (place, &ignoring_reservations);
  else
    remember_failed (place, &canonical);
  return false;
}
