#include "sched/interfere.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* What is not confirmed any more fades by 1/e in this time: long enough for
   several runs to show a pair, and not much longer than the runs that are
   placed by it.  */
#define FADE_MS 60000.0
/* Variance of ln (slowdown) while nothing is known of a pair.  */
#define PRIOR_VARIANCE 0.25
/* ln of the slowdown that a known pair surely has, and the standard deviations
   that it is known by, and that it then stays known by.  */
#define LEAST_SLOWDOWN_LN 0.05
#define KNOWN_DEVIATIONS 3.5
#define STAYS_KNOWN_DEVIATIONS 1.0
/* Shares that differ by less are the same.  */
#define SAME_SHARE 0.05
/* Error of a percentage that is reported in whole percents, for the difference
   of two.  */
#define PERCENT_ERROR 0.6
/* Variance of ln (tail), which covers half a second.  */
#define TAIL_VARIANCE 0.01
#define NOISE_MIN 0.01
#define NOISE_MAX 1.0
#define NOISE_GAIN 0.05

enum
{
  SAMPLE_MIN_MS = 400,
  SAMPLE_MIN_PERCENTS = 5,
  COMPARABLE_MS = 5000, /* two samples further apart are not compared */
  ACROSS_INTERVAL_MS
  = 2000,          /* between two comparisons of a task with others */
  WORKERS_MIN = 3, /* that have to show a pair, or else this many changes of
                      the neighbours of one task: */
  TURNS_MIN = 4,
  LATELY_MS = 30000, /* they count for this time, and up to twice as long */
  WORKS = 256,       /* of which a last sample is kept */
  NAMES = 512,       /* of kinds */
  KNOWN_SLOTS = 1024,
  UPDATE_INTERVAL_MS = 250
};

/* What is compared: the error of each has its own size.  */
enum comparison
{
  WITH_ITSELF,
  WITH_ITSELF_SERVING,
  WITH_OTHER,
  WITH_OTHER_SERVING,
  COMPARISONS
};

/* What one task of a kind does to one of another.  */
struct pair
{
  uint64_t subject;
  uint64_t neighbour;
  double slowdown_ln;
  double variance;
  int64_t faded_ms; /* both are as of this moment */
  /* Lately, and in the time before; one bit for each worker, by its index.  */
  uint64_t workers;
  uint64_t earlier_workers;
  uint32_t turns;
  uint32_t earlier_turns;
  int64_t lately_since_ms;
  bool known;
  uint64_t comparison; /* the last that it was part of */
};

struct kind_name
{
  uint64_t kind;
  char name[ITF_NAME_MAX_BYTES];
};

/* How slow a task was while its neighbours stayed the same.  */
struct sample
{
  uint64_t work;
  size_t worker;
  double slowness_ln;
  double variance;
  int64_t at_ms; /* 0: there is none */
  uint32_t neighbour_count;
  struct itf_neighbour neighbours[ITF_NEIGHBOURS_MAX];
};

/* A task that is followed.  */
struct trace
{
  struct sample last;
  size_t worker;
  int64_t since_ms; /* the neighbours have stayed the same */
  int64_t percent;  /* at that time */
  int64_t seen_ms;
  int64_t compared_ms; /* with other tasks */
  uint32_t neighbour_count;
  struct itf_neighbour neighbours[ITF_NEIGHBOURS_MAX];
};

struct itf_table
{
  struct pair pairs[ITF_PAIRS_MAX];
  uint32_t pair_count;
  /* The known pairs, by a hash of both kinds; the first free slot after it
     ends a search.  */
  const struct pair *known[KNOWN_SLOTS];
  uint32_t known_count;
  uint64_t known_kinds; /* a bit for each kind in them, by its hash */
  int64_t updated_ms;
  uint64_t comparisons; /* so far */
  struct kind_name names[NAMES];
  GHashTable *traces; /* uint64_t -> struct trace */
  int64_t swept_ms;
  struct sample works[WORKS];
  double noise[COMPARISONS]; /* variance of an error */
  struct itf_change changes[ITF_CHANGES_MAX];
  uint32_t change_count;
};

struct itf_table *
itf_create (void)
{
  struct itf_table *table = g_new0 (struct itf_table, 1);

  table->traces
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  table->noise[WITH_ITSELF] = 0.02;
  table->noise[WITH_ITSELF_SERVING] = 0.05;
  /* Workers may differ by factors, and so may the loads of serving tasks.  */
  table->noise[WITH_OTHER] = 0.3;
  table->noise[WITH_OTHER_SERVING] = 0.3;
  return table;
}

void
itf_free (struct itf_table *table)
{
  if (table == NULL)
    return;
  g_hash_table_destroy (table->traces);
  g_free (table);
}

/* FNV-1a.  */
uint64_t
itf_kind (bool is_image, const char *name)
{
  uint64_t hash = 14695981039346656037U ^ (is_image ? 1 : 0);

  for (; *name != '\0'; name++)
    hash = (hash ^ (uint8_t)*name) * 1099511628211U;
  return hash == 0 ? 1 : hash;
}

/* The top bits are the best ones.  */
static uint64_t
spread (uint64_t number)
{
  return number * 11400714819323198485U;
}

static struct kind_name *
name_slot (struct itf_table *table, uint64_t kind)
{
  return &table->names[spread (kind) >> 55];
}

void
itf_name_kind (struct itf_table *table, uint64_t kind, const char *name)
{
  struct kind_name *slot = name_slot (table, kind);

  if (slot->kind == kind)
    return;
  slot->kind = kind;
  g_strlcpy (slot->name, name, sizeof slot->name);
}

/* Kinds share slots, so that the name may have been lost.  */
static const char *
name_of (struct itf_table *table, uint64_t kind)
{
  const struct kind_name *slot = name_slot (table, kind);

  return slot->kind == kind ? slot->name : "?";
}

/* --- Pairs --- */

static void
fade (struct pair *pair, int64_t now_ms)
{
  double keep = exp (-(double)(now_ms - pair->faded_ms) / FADE_MS);
  bool recent;

  if (now_ms <= pair->faded_ms)
    return;
  pair->faded_ms = now_ms;
  pair->slowdown_ln *= keep;
  pair->variance
      = pair->variance * keep * keep + PRIOR_VARIANCE * (1.0 - keep * keep);
  if (now_ms - pair->lately_since_ms < LATELY_MS)
    return;
  recent = now_ms - pair->lately_since_ms < 2 * (int64_t)LATELY_MS;
  pair->earlier_workers = recent ? pair->workers : 0;
  pair->earlier_turns = recent ? pair->turns : 0;
  pair->workers = 0;
  pair->turns = 0;
  pair->lately_since_ms = now_ms;
}

static uint32_t
worker_count (const struct pair *pair)
{
  return (uint32_t)__builtin_popcountll (pair->workers
                                         | pair->earlier_workers);
}

static bool
is_sure (const struct pair *pair)
{
  double deviations = pair->known ? STAYS_KNOWN_DEVIATIONS : KNOWN_DEVIATIONS;

  if (!pair->known && worker_count (pair) < WORKERS_MIN
      && pair->turns + pair->earlier_turns < TURNS_MIN)
    return false;
  return pair->slowdown_ln - deviations * sqrt (pair->variance)
         > LEAST_SLOWDOWN_LN;
}

static void
add_change (struct itf_table *table, const struct pair *pair)
{
  struct itf_change *change;

  if (table->change_count == ITF_CHANGES_MAX)
    return;
  change = &table->changes[table->change_count++];
  *change = (struct itf_change){ .known = pair->known,
                                 .slowdown_ln = pair->slowdown_ln,
                                 .workers = worker_count (pair) };
  g_strlcpy (change->subject, name_of (table, pair->subject),
             sizeof change->subject);
  g_strlcpy (change->neighbour, name_of (table, pair->neighbour),
             sizeof change->neighbour);
}

/* The one of which the least is known, known pairs last, and none of the
   present comparison.  */
static struct pair *
least_useful (struct itf_table *table, int64_t now_ms)
{
  struct pair *least = NULL;
  uint32_t i;

  for (i = 0; i < table->pair_count; i++)
    {
      struct pair *pair = &table->pairs[i];

      if (pair->comparison == table->comparisons)
        continue;
      fade (pair, now_ms);
      if (least == NULL || pair->known < least->known
          || (pair->known == least->known && pair->variance > least->variance))
        least = pair;
    }
  return least;
}

/* Until the next update.  */
static void
forget_known (struct itf_table *table)
{
  memset (table->known, 0, sizeof table->known);
  table->known_count = 0;
  table->known_kinds = 0;
  table->updated_ms = 0;
}

static struct pair *
find_or_add_pair (struct itf_table *table, uint64_t subject,
                  uint64_t neighbour, int64_t now_ms)
{
  struct pair *pair;
  uint32_t i;

  for (i = 0; i < table->pair_count; i++)
    if (table->pairs[i].subject == subject
        && table->pairs[i].neighbour == neighbour)
      {
        pair = &table->pairs[i];
        pair->comparison = table->comparisons;
        fade (pair, now_ms);
        return pair;
      }
  if (table->pair_count < ITF_PAIRS_MAX)
    pair = &table->pairs[table->pair_count++];
  else
    pair = least_useful (table, now_ms);
  if (pair->known)
    {
      pair->known = false;
      add_change (table, pair);
      forget_known (table);
    }
  *pair = (struct pair){ .subject = subject,
                         .neighbour = neighbour,
                         .variance = PRIOR_VARIANCE,
                         .faded_ms = now_ms,
                         .lately_since_ms = now_ms,
                         .comparison = table->comparisons };
  return pair;
}

static uint64_t
kind_bit (uint64_t kind)
{
  return UINT64_C (1) << (spread (kind) >> 58);
}

static uint32_t
first_slot (uint64_t subject, uint64_t neighbour)
{
  return spread (subject ^ spread (neighbour)) >> 54;
}

static void
add_known (struct itf_table *table, const struct pair *pair)
{
  uint32_t slot = first_slot (pair->subject, pair->neighbour);

  while (table->known[slot] != NULL)
    slot = (slot + 1) % KNOWN_SLOTS;
  table->known[slot] = pair;
  table->known_count++;
  table->known_kinds |= kind_bit (pair->subject) | kind_bit (pair->neighbour);
}

void
itf_update (struct itf_table *table, int64_t now_ms)
{
  uint32_t i;

  if (table->updated_ms != 0
      && now_ms - table->updated_ms < UPDATE_INTERVAL_MS)
    return;
  forget_known (table);
  table->updated_ms = now_ms;
  for (i = 0; i < table->pair_count; i++)
    {
      struct pair *pair = &table->pairs[i];
      bool sure;

      fade (pair, now_ms);
      sure = is_sure (pair);
      if (sure != pair->known)
        {
          pair->known = sure;
          add_change (table, pair);
        }
      if (sure)
        add_known (table, pair);
    }
}

uint32_t
itf_known_count (const struct itf_table *table)
{
  return table->known_count;
}

bool
itf_is_in_known (const struct itf_table *table, uint64_t kind)
{
  return (table->known_kinds & kind_bit (kind)) != 0;
}

uint32_t
itf_pair_count (const struct itf_table *table)
{
  return table->pair_count;
}

double
itf_slowdown_ln (const struct itf_table *table, uint64_t subject,
                 uint64_t neighbour)
{
  uint32_t slot = first_slot (subject, neighbour);
  const struct pair *pair;

  if (!itf_is_in_known (table, subject) || !itf_is_in_known (table, neighbour))
    return 0;
  for (; (pair = table->known[slot]) != NULL; slot = (slot + 1) % KNOWN_SLOTS)
    if (pair->subject == subject && pair->neighbour == neighbour)
      return pair->slowdown_ln;
  return 0;
}

bool
itf_take_change (struct itf_table *table, struct itf_change *change)
{
  if (table->change_count == 0)
    return false;
  *change = table->changes[0];
  table->change_count--;
  memmove (table->changes, table->changes + 1,
           table->change_count * sizeof table->changes[0]);
  return true;
}

/* --- Comparison of two samples --- */

/* How the neighbours of two samples differ.  */
struct difference
{
  uint64_t neighbour;
  double share;
  struct pair *pair;
  bool is_fixed; /* it is not corrected */
};

/* The tasks of KIND beside SAMPLE.  */
static struct itf_neighbour
beside (const struct sample *sample, uint64_t kind)
{
  uint32_t i;

  for (i = 0; i < sample->neighbour_count; i++)
    if (sample->neighbours[i].kind == kind)
      return sample->neighbours[i];
  return (struct itf_neighbour){ .kind = kind };
}

/* Adds the difference of a kind, if there is any.
   @return : false if it is one of the pace alone.  */
static bool
add_difference (const struct itf_neighbour *before,
                const struct itf_neighbour *after, struct difference *found,
                uint32_t *count)
{
  double share = after->share - before->share;

  if (fabs (share) < SAME_SHARE)
    return true;
  found[(*count)++]
      = (struct difference){ .neighbour = after->kind, .share = share };
  return after->count != before->count;
}

static bool
find_differences (const struct sample *before, const struct sample *after,
                  struct difference *found, uint32_t *count)
{
  uint32_t i;

  *count = 0;
  for (i = 0; i < after->neighbour_count; i++)
    {
      const struct itf_neighbour *there = &after->neighbours[i];
      struct itf_neighbour here = beside (before, there->kind);

      if (!add_difference (&here, there, found, count))
        return false;
    }
  for (i = 0; i < before->neighbour_count; i++)
    {
      const struct itf_neighbour *here = &before->neighbours[i];
      struct itf_neighbour there = beside (after, here->kind);

      if (there.count == 0 && !add_difference (here, &there, found, count))
        return false;
    }
  return true;
}

/* The larger the share, the more the worker shows of the pair.  */
static uint64_t
worker_bit (const struct difference *difference, const struct sample *before,
            const struct sample *after)
{
  size_t worker = difference->share > 0 ? after->worker : before->worker;

  return UINT64_C (1) << (spread (worker) >> 58);
}

/* Without a difference, what has changed is an error.  */
static void
learn_noise (double *noise, double change_ln, double variance)
{
  double excess = change_ln * change_ln - variance;

  *noise
      = CLAMP (*noise + (excess - *noise) * NOISE_GAIN, NOISE_MIN, NOISE_MAX);
}

/* What the pairs do not account for, and its variance.  */
struct surprise
{
  double change_ln;
  double variance;
};

static struct surprise
surprise_of (const struct difference *differences, uint32_t count,
             double change_ln, double variance)
{
  struct surprise surprise = { .change_ln = change_ln, .variance = variance };
  double limit;
  uint32_t i;

  for (i = 0; i < count; i++)
    {
      const struct difference *difference = &differences[i];
      const struct pair *pair = difference->pair;

      surprise.change_ln -= pair->slowdown_ln * difference->share;
      if (!difference->is_fixed)
        surprise.variance
            += pair->variance * difference->share * difference->share;
    }
  /* One run that stands still is no evidence of any size.  */
  limit = 2.0 * sqrt (surprise.variance);
  surprise.change_ln = CLAMP (surprise.change_ln, -limit, limit);
  return surprise;
}

/* A Kalman filter for the pairs, as if they were independent: each takes its
   part of the surprise by its variance.  Nothing runs faster for its
   neighbours: a pair that would say so stays at 0, and the others take its
   part.  */
static void
correct_pairs (struct difference *differences, uint32_t count,
               double change_ln, double variance)
{
  struct surprise surprise
      = surprise_of (differences, count, change_ln, variance);
  uint32_t i;

  for (i = 0; i < count; i++)
    differences[i].is_fixed = differences[i].pair->slowdown_ln <= 0
                              && surprise.change_ln * differences[i].share < 0;
  surprise = surprise_of (differences, count, change_ln, variance);
  for (i = 0; i < count; i++)
    {
      struct pair *pair = differences[i].pair;
      double share = differences[i].share;
      double gain = pair->variance * share / surprise.variance;

      if (differences[i].is_fixed)
        continue;
      pair->slowdown_ln
          = MAX (pair->slowdown_ln + gain * surprise.change_ln, 0);
      pair->variance *= 1.0 - gain * share;
    }
}

static void
compare (struct itf_table *table, uint64_t subject,
         const struct sample *before, const struct sample *after,
         enum comparison comparison)
{
  struct difference differences[2 * ITF_NEIGHBOURS_MAX];
  bool with_other
      = comparison == WITH_OTHER || comparison == WITH_OTHER_SERVING;
  double change_ln = after->slowness_ln - before->slowness_ln;
  double variance = before->variance + after->variance;
  uint32_t count;
  uint32_t i;

  table->comparisons++;
  if (!find_differences (before, after, differences, &count))
    return;
  if (count == 0)
    {
      learn_noise (&table->noise[comparison], change_ln, variance);
      return;
    }
  for (i = 0; i < count; i++)
    {
      struct pair *pair = find_or_add_pair (
          table, subject, differences[i].neighbour, after->at_ms);
      uint64_t bit = worker_bit (&differences[i], before, after);

      differences[i].pair = pair;
      /* What slows down a worker by itself is seen there again and again.  */
      if (with_other && (pair->workers & bit) != 0)
        return;
    }
  for (i = 0; i < count; i++)
    {
      differences[i].pair->workers
          |= worker_bit (&differences[i], before, after);
      if (!with_other)
        differences[i].pair->turns++;
    }
  correct_pairs (differences, count, change_ln,
                 variance + table->noise[comparison]);
}

/* --- Looks --- */

static bool
same_neighbours (const struct trace *trace, const struct itf_look *look)
{
  uint32_t i;
  uint32_t k;

  if (trace->neighbour_count != look->neighbour_count)
    return false;
  for (i = 0; i < look->neighbour_count; i++)
    {
      for (k = 0; k < trace->neighbour_count; k++)
        if (trace->neighbours[k].kind == look->neighbours[i].kind)
          break;
      if (k == trace->neighbour_count
          || trace->neighbours[k].count != look->neighbours[i].count
          || fabs (trace->neighbours[k].share - look->neighbours[i].share)
                 >= SAME_SHARE)
        return false;
    }
  return true;
}

static void
begin (struct trace *trace, const struct itf_look *look, int64_t now_ms)
{
  trace->worker = look->worker;
  trace->since_ms = now_ms;
  trace->percent = look->percent;
  trace->neighbour_count = look->neighbour_count;
  memcpy (trace->neighbours, look->neighbours, sizeof trace->neighbours);
}

static gboolean
is_stale (void *key, void *value, void *ctx)
{
  (void)key;
  return *(int64_t *)ctx - ((struct trace *)value)->seen_ms > COMPARABLE_MS;
}

/* @return : the trace; NULL: too many tasks are followed.  */
static struct trace *
find_or_add_trace (struct itf_table *table, const struct itf_look *look,
                   int64_t now_ms)
{
  struct trace *trace = g_hash_table_lookup (table->traces, &look->task);

  if (trace == NULL && g_hash_table_size (table->traces) >= ITF_TASKS_MAX
      && now_ms - table->swept_ms > COMPARABLE_MS)
    {
      g_hash_table_foreach_remove (table->traces, is_stale, &now_ms);
      table->swept_ms = now_ms;
    }
  if (trace == NULL && g_hash_table_size (table->traces) < ITF_TASKS_MAX)
    {
      trace = g_new0 (struct trace, 1);
      begin (trace, look, now_ms);
      g_hash_table_insert (table->traces,
                           g_memdup2 (&look->task, sizeof look->task), trace);
    }
  return trace;
}

/* @return : whether the time since TRACE began is enough for SAMPLE.  */
static bool
take_sample (const struct trace *trace, const struct itf_look *look,
             int64_t now_ms, struct sample *sample)
{
  int64_t over_ms = now_ms - trace->since_ms;
  int64_t percents = look->percent - trace->percent;

  if (over_ms < SAMPLE_MIN_MS)
    return false;
  *sample = (struct sample){ .work = look->work,
                             .worker = look->worker,
                             .at_ms = now_ms,
                             .neighbour_count = look->neighbour_count };
  memcpy (sample->neighbours, look->neighbours, sizeof sample->neighbours);
  if (look->tail_ms > 0)
    {
      sample->slowness_ln = log ((double)look->tail_ms);
      sample->variance = TAIL_VARIANCE;
      return true;
    }
  /* At 0 percent it may wait for its gang, or restore its checkpoint.  */
  if (trace->percent <= 0 || percents < SAMPLE_MIN_PERCENTS)
    return false;
  /* It may have been over for a while.  */
  if (look->percent >= 100 && !look->is_over)
    return false;
  sample->slowness_ln
      = log ((double)over_ms / (double)percents * look->worker_speed);
  sample->variance
      = PERCENT_ERROR * PERCENT_ERROR / (double)(percents * percents);
  return true;
}

static bool
may_compare (const struct sample *before, const struct sample *after)
{
  return before->at_ms != 0 && before->work == after->work
         && after->at_ms - before->at_ms <= COMPARABLE_MS;
}

static void
learn (struct itf_table *table, const struct itf_look *look,
       struct trace *trace, const struct sample *sample)
{
  struct sample *other = &table->works[spread (sample->work) >> 56];
  bool serves = look->tail_ms > 0;

  if (may_compare (&trace->last, sample)
      && trace->last.worker == sample->worker)
    compare (table, look->subject, &trace->last, sample,
             serves ? WITH_ITSELF_SERVING : WITH_ITSELF);
  if (may_compare (other, sample) && other->worker != sample->worker
      && (trace->compared_ms == 0
          || sample->at_ms - trace->compared_ms >= ACROSS_INTERVAL_MS))
    {
      trace->compared_ms = sample->at_ms;
      compare (table, look->subject, other, sample,
               serves ? WITH_OTHER_SERVING : WITH_OTHER);
    }
  trace->last = *sample;
  *other = *sample;
}

void
itf_observe (struct itf_table *table, const struct itf_look *look,
             int64_t now_ms)
{
  struct trace *trace = find_or_add_trace (table, look, now_ms);
  struct sample sample;

  if (trace == NULL)
    return;
  trace->seen_ms = now_ms;
  if (trace->worker != look->worker || !same_neighbours (trace, look)
      || look->is_paced || look->percent < trace->percent
      || (trace->percent <= 0 && look->tail_ms == 0))
    {
      begin (trace, look, now_ms);
      return;
    }
  if (!take_sample (trace, look, now_ms, &sample))
    return;
  learn (table, look, trace, &sample);
  begin (trace, look, now_ms);
}

void
itf_forget (struct itf_table *table, uint64_t task)
{
  g_hash_table_remove (table->traces, &task);
}

void
itf_forget_tasks (struct itf_table *table)
{
  g_hash_table_remove_all (table->traces);
}
