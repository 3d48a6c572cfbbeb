/* Structured logs through GLib: one line of key=value pairs for each event,
   with the time, the level and the reporting part of the program first.
   Prefix: lg_.  */

#ifndef FT_LOGGING_H
#define FT_LOGGING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*! lg_init () :
 *  Installs the GLib log writer; lines go to standard error.  GLib accepts one
 *  writer for each process, so call this or lg_init_bounded () once. */
void lg_init (void);

/*! lg_init_bounded () :
 *  Like lg_init (), but writes to FD without ever blocking: a line that FD
 *  does not accept is dropped.  At most LINES_PER_S lines with the same
 *  message are written in a second.  Dropped lines are counted; the next
 *  line that is written is followed by one that reports their number.
 *  @fd : set to non-blocking mode; remains owned by the caller. */
void lg_init_bounded (int fd, uint32_t lines_per_s);

/*! lg_dropped_lines () :
 *  @return : number of lines dropped since the process started. */
uint64_t lg_dropped_lines (void);

/*! lg_set_level () :
 *  Sets the least severe level that is written; may be called at any time.
 *  @level : "debug", "info", "warning" or "error".
 *  @return : false for any other text; the level then stays as it was. */
bool lg_set_level (const char *level);

/*! lg_write () :
 *  Writes one line; call it through the macros below.  MESSAGE is followed by
 *  pairs of a key and a text, and by NULL at the end. */
void lg_write (GLogLevelFlags level, const char *part, const char *message,
               ...) G_GNUC_NULL_TERMINATED;

/* PART names the reporting part of the program, as the value of the log key
   "part"; MESSAGE is a short sentence.  */
#define lg_debug(part, ...) lg_write (G_LOG_LEVEL_DEBUG, part, __VA_ARGS__)
#define lg_info(part, ...) lg_write (G_LOG_LEVEL_INFO, part, __VA_ARGS__)
#define lg_warning(part, ...) lg_write (G_LOG_LEVEL_WARNING, part, __VA_ARGS__)
#define lg_error(part, ...) lg_write (G_LOG_LEVEL_CRITICAL, part, __VA_ARGS__)

/*! lg_number () :
 *  Formats a number for a log line.
 *  @return : VALUE as text in a static buffer, which a later call reuses. */
const char *lg_number (long long value);

#endif
