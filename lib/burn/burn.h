/* Service-level burn: how fast each objective's error budget is used, over
   several windows.  Pure and of bounded memory; counts of several hosts can
   be added.  Prefix: bn_.

   An objective says that SUCCESS_PERMILLE of a team's requests or jobs of one
   kind end well within LATENCY_MS.  A burn rate of 1 uses up the budget just
   in time; alarms follow the usual pairs of a long and a short window.  */

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
  BN_WINDOWS
};

enum bn_alarm
{
  BN_ALARM_NONE = 0,
  BN_ALARM_SLOW, /* 6 h and 30 min: the budget goes within days */
  BN_ALARM_FAST  /* 1 h and 5 min: the budget goes within hours */
};

struct bn_counts
{
  uint64_t good;
  uint64_t bad;
};

struct bn_objective
{
  const char *team;
  const char *kind; /* of a job, or a service's name */
  uint32_t latency_ms;
  uint32_t success_permille;
};

struct bn_book;

struct bn_book *bn_create (void);
void bn_free (struct bn_book *book);

/*! bn_configure () :
 *  Replaces the objectives; counts of those that stay are kept. */
void bn_configure (struct bn_book *book, const struct bn_objective *objectives,
                   size_t count);

/*! bn_count () :
 *  Counts one end.
 *  @unix_ms : when it ended.
 *  @ok : whether it ended well, whatever its latency. */
void bn_count (struct bn_book *book, const char *team, const char *kind,
               int64_t unix_ms, uint64_t latency_ms, bool ok);

/*! bn_each () :
 *  Calls back for each objective, in order of team and kind. */
void bn_each (const struct bn_book *book, int64_t now_unix_ms,
              void (*callback) (void *ctx,
                                const struct bn_objective *objective,
                                const struct bn_counts counts[BN_WINDOWS]),
              void *ctx);

/*! bn_rate () :
 *  @return : the burn rate of one window; 0 without any counts. */
double bn_rate (const struct bn_counts *counts, uint32_t success_permille);

enum bn_alarm bn_alarm (const struct bn_counts counts[BN_WINDOWS],
                        uint32_t success_permille);

/*! bn_window_minutes (), bn_alarm_name () : */
uint32_t bn_window_minutes (enum bn_window window);
const char *bn_alarm_name (enum bn_alarm alarm);

#endif
