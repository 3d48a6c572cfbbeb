/* bench-slopes: points of the capacity measurements that one process can take.
   Each point is printed as one line, NAME X Y: the value Y was measured at X.
   scripts/bench-capacity-fit.py reads these lines.  Prefix: sl_.  */

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
   configuration, the host list, lease renewals, heartbeats, the placement
   core.  */
void sl_state (void);
void sl_config (void);
void sl_hosts (void);
void sl_renewal (void);
void sl_peers (void);
void sl_place (void);

#endif
