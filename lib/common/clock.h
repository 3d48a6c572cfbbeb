/* Wall, monotonic and processor clocks.  Prefix: clk_.  */

#ifndef FT_CLOCK_H
#define FT_CLOCK_H

#include <stdint.h>

/*! clk_monotonic_ms () :
 *  For deadlines and leases: continues while the process is stopped and while
 *  the machine is suspended, and is not affected by setting the date.
 *  @ctx : not used; lets the function serve as the clock callback of the
 *         modules that read no clock themselves.
 *  @return : milliseconds since boot. */
int64_t clk_monotonic_ms (void *ctx);

/*! clk_cpu_us () :
 *  @return : processor time used by this process, in microseconds. */
int64_t clk_cpu_us (void);

/*! clk_unix_ms () :
 *  For display and for records of the log only: it jumps when the date is set.
 *  @return : milliseconds since the Unix epoch. */
int64_t clk_unix_ms (void);

#endif
