/* bench-slopes: measures how cost (processor time, memory, bytes) grows with a
   size, such as the number of teams.  A slope is the growth of the cost per
   unit of that size.  This program prints only the measured points, each as
   one line, NAME X Y: the cost Y was measured at the size X;
   scripts/bench-capacity-fit.py fits the slopes.  Prefix: sl_.  */

#ifndef FT_SLOPES_H
#define FT_SLOPES_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/*! sl_point () :
 *  Prints one measured point. */
void sl_point (const char *name, double x, double y);

/*! sl_cpu_us () :
 *  @return : processor time of this process so far. */
double sl_cpu_us (void);

/*! sl_heap_bytes () :
 *  @return : bytes in use that malloc () has handed out. */
double sl_heap_bytes (void);

/*! sl_document () :
 *  @return : an environment document of TEAMS teams, to be freed by
 *            g_free (). */
char *sl_document (unsigned int teams);

/* Each measures one subject and prints its points: the folded state, the
   configuration, the host list, lease renewals, the heartbeats between entry
   hosts (peers), the placement core.  */
void sl_state (void);
void sl_config (void);
void sl_hosts (void);
void sl_renewal (void);
void sl_peers (void);
void sl_place (void);

#endif
