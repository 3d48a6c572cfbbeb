/* Clocks in milliseconds.  Prefix: clk_.  */

#ifndef FT_CLOCK_H
#define FT_CLOCK_H

#include <stdint.h>

/*! clk_monotonic_ms () :
 *  For deadlines and leases: goes on while the process is stopped, and is
 *  not changed by setting the date.
 *  @ctx : not used; the form fits the callbacks of the pure parts. */
int64_t clk_monotonic_ms (void *ctx);

/*! clk_cpu_us () :
 *  Processor time of this process, to measure parts of it. */
int64_t clk_cpu_us (void);

/*! clk_unix_ms () :
 *  For people and for the log only. */
int64_t clk_unix_ms (void);

#endif
