/* The record of learned speeds, for the next planner.  Made for this load: the
   planner is replaced in the midst of a burst of urgent work, and each worker
   has to be polled before its speed is known again, which takes two seconds or
   more.  Three bytes a worker: a hash of its id and its speed; workers whose
   hashes are the same correct each other by what they do.  Written while
   workers are uneven, and only after speeds have changed much.  */

#include <math.h>
#include <string.h>

#include "sched/private.h"

enum
{
  FORMAT = 1, /* the first byte */
  ROW_BYTES = 3,
  WRITE_INTERVAL_MS = 5000,
  /* Written if the speeds of more than one worker in so many have changed by
     more than CHANGED_STEPS.  */
  CHANGED_SHARE = 20,
  CHANGED_STEPS = 8,
  STEPS_MAX = 127
};

/* Steps of a stored speed, per unit of its logarithm.  */
#define STEPS_PER_LN 32.0

static uint16_t
hash_of (const char *id)
{
  uint32_t hash = 2166136261U;

  for (; *id != '\0'; id++)
    hash = (hash ^ (uint8_t)*id) * 16777619U;
  return (uint16_t)(hash ^ (hash >> 16));
}

static void *
key_of (const struct sd_worker *worker)
{
  return GUINT_TO_POINTER (hash_of (worker->report.id));
}

/* The known speed of WORKER, in steps.  */
static bool
steps_of (const struct sd_sched *sched, const struct sd_worker *worker,
          int *steps)
{
  double ln = 0;
  bool known = sp_known_ln (sched->speeds, worker->index, &ln);

  *steps = (int)CLAMP (lround (ln * STEPS_PER_LN), -STEPS_MAX, STEPS_MAX);
  return known;
}

static bool
has_changed (const struct sd_sched *sched, const struct sd_worker *worker)
{
  void *stored;
  int steps;

  if (!worker->listed || !steps_of (sched, worker, &steps))
    return false;
  return !g_hash_table_lookup_extended (sched->stored_speeds, key_of (worker),
                                        NULL, &stored)
         || ABS (steps - GPOINTER_TO_INT (stored)) > CHANGED_STEPS;
}

static bool
is_due (struct sd_sched *sched, int64_t now_ms)
{
  guint changed = 0;
  guint i;

  if (!sd_speeds (sched).uneven
      || now_ms - sched->speeds_stored_ms < WRITE_INTERVAL_MS)
    return false;
  sched->speeds_stored_ms = now_ms;
  for (i = 0; i < sched->workers->len; i++)
    changed += has_changed (sched, g_ptr_array_index (sched->workers, i));
  return changed * CHANGED_SHARE > sched->workers->len;
}

GByteArray *
sd_speeds_record (struct sd_sched *sched, int64_t now_ms)
{
  const uint8_t format = FORMAT;
  GByteArray *bytes;
  guint i;

  if (!is_due (sched, now_ms))
    return NULL;
  bytes = g_byte_array_new ();
  g_byte_array_append (bytes, &format, 1);
  g_hash_table_remove_all (sched->stored_speeds);
  for (i = 0; i < sched->workers->len; i++)
    {
      const struct sd_worker *worker = g_ptr_array_index (sched->workers, i);
      uint16_t hash = hash_of (worker->report.id);
      int steps;

      if (!worker->listed || !steps_of (sched, worker, &steps))
        continue;
      g_byte_array_append (bytes,
                           (const uint8_t[]){ (uint8_t)(hash >> 8),
                                              (uint8_t)hash,
                                              (uint8_t)(steps + STEPS_MAX) },
                           ROW_BYTES);
      g_hash_table_insert (sched->stored_speeds, key_of (worker),
                           GINT_TO_POINTER (steps));
    }
  return bytes;
}

void
sd_speed_recall (struct sd_sched *sched, const struct sd_worker *worker)
{
  void *steps;

  if (g_hash_table_lookup_extended (sched->stored_speeds, key_of (worker),
                                    NULL, &steps))
    sp_recall (sched->speeds, worker->index,
               GPOINTER_TO_INT (steps) / STEPS_PER_LN,
               sched->speeds_stored_ms);
}

bool
sd_speeds_restore (struct sd_sched *sched, const uint8_t *bytes, size_t size,
                   int64_t now_ms)
{
  size_t at;
  guint i;

  if (size < 1 || bytes[0] != FORMAT || (size - 1) % ROW_BYTES != 0)
    return false;
  sched->speeds_stored_ms = now_ms;
  g_hash_table_remove_all (sched->stored_speeds);
  for (at = 1; at < size; at += ROW_BYTES)
    g_hash_table_insert (
        sched->stored_speeds,
        GUINT_TO_POINTER ((guint)bytes[at] << 8 | bytes[at + 1]),
        GINT_TO_POINTER ((int)bytes[at + 2] - STEPS_MAX));
  for (i = 0; i < sched->workers->len; i++)
    sd_speed_recall (sched, g_ptr_array_index (sched->workers, i));
  return true;
}
