/* Burn rates of service-level objectives: how fast each objective's error
   budget is used, over several windows.  Pure and of bounded memory; the
   counts of several hosts can be added.  Prefix: bn_.

   An objective says that SUCCESS_PERMILLE of a team's requests or jobs of one
   kind succeed within LATENCY_MS.  The others are its error budget.  At a burn
   rate of 1 the budget is used up exactly at the end of the period for which
   it is meant.  An alarm
   needs a high rate in a long and in a short window, so that it ends soon
   after the failures end.  */

#ifndef FT_BURN_H
#define FT_BURN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum bn_window
{
  BN_WINDOW_5_MIN = 0,
  BN_WINDOW_30_MIN,
  BN_WINDOW_1_H,
  BN_WINDOW_6_H,
  BN_WINDOWS /* number of windows */
};

enum bn_alarm
{
  BN_ALARM_NONE = 0,
  BN_ALARM_SLOW, /* 6 h and 30 min: the budget is used up within days */
  BN_ALARM_FAST  /* 1 h and 5 min: the budget is used up within hours */
};

/* Requests or jobs that ended in one window.  */
struct bn_counts
{
  uint64_t good; /* succeeded within the latency of the objective */
  uint64_t bad;  /* failed, or took longer */
};

struct bn_objective
{
  const char *team;
  const char *kind; /* the kind of a job, or the name of a service */
  uint32_t latency_ms;
  uint32_t success_permille;
};

/* The objectives, and the counts of each.  */
struct bn_meters;

struct bn_meters *bn_create (void);
void bn_free (struct bn_meters *meters);

/*! bn_configure () :
 *  Replaces the objectives.  The counts of an objective whose team and kind
 *  are in the new list too are kept. */
void bn_configure (struct bn_meters *meters,
                   const struct bn_objective *objectives, size_t count);

/*! bn_count_outcome () :
 *  Counts one request or job that has ended; without an objective for it,
 *  nothing is counted.
 *  @unix_ms : when it ended.
 *  @ok : whether it succeeded, whatever its latency. */
void bn_count_outcome (struct bn_meters *meters, const char *team,
                       const char *kind, int64_t unix_ms, uint64_t latency_ms,
                       bool ok);

/*! bn_each_objective () :
 *  Calls CALLBACK for each objective, in order of "TEAM/KIND". */
void bn_each_objective (
    const struct bn_meters *meters, int64_t now_unix_ms,
    void (*callback) (void *ctx, const struct bn_objective *objective,
                      const struct bn_counts counts[BN_WINDOWS]),
    void *ctx);

/*! bn_rate () :
 *  @return : the burn rate of one window; 0 without any counts. */
double bn_rate (const struct bn_counts *counts, uint32_t success_permille);

enum bn_alarm bn_alarm (const struct bn_counts counts[BN_WINDOWS],
                        uint32_t success_permille);

/*! bn_window_minutes (), bn_alarm_name () :
 *  @return : the length of a window; the name of an alarm, "-" for none. */
uint32_t bn_window_minutes (enum bn_window window);
const char *bn_alarm_name (enum bn_alarm alarm);

#endif
