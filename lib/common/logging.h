/* Structured logs through GLib: one line of key=value for each event, with a
   fixed prefix for each part.  Prefix: lg_.  */

#ifndef FT_LOGGING_H
#define FT_LOGGING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*! lg_init () :
 *  Installs the writer; lines go to standard error. */
void lg_init (void);

/*! lg_init_bounded () :
 *  The same with lines to FD, never waiting for its reader: a line that it
 *  does not take is left out.  Of each message at most LINES_PER_S lines are
 *  written in a second.  What was left out is counted and told in a line of
 *  its own, once lines are taken again. */
void lg_init_bounded (int fd, uint32_t lines_per_s);

/*! lg_left_out () :
 *  @return : lines left out so far, for metrics. */
uint64_t lg_left_out (void);

/*! lg_set_level () :
 *  May be called at any time.
 *  @level : "debug", "info", "warning" or "error".
 *  @return : false for any other. */
bool lg_set_level (const char *level);

/*! lg_write () :
 *  Use the macros below.  After MESSAGE come pairs of a key and a text, and
 *  NULL at the end. */
void lg_write (GLogLevelFlags level, const char *part, const char *message,
               ...) G_GNUC_NULL_TERMINATED;

/* PART is the prefix of the part, MESSAGE a short sentence.  */
#define lg_debug(part, ...) lg_write (G_LOG_LEVEL_DEBUG, part, __VA_ARGS__)
#define lg_info(part, ...) lg_write (G_LOG_LEVEL_INFO, part, __VA_ARGS__)
#define lg_warning(part, ...) lg_write (G_LOG_LEVEL_WARNING, part, __VA_ARGS__)
#define lg_error(part, ...) lg_write (G_LOG_LEVEL_CRITICAL, part, __VA_ARGS__)

/*! lg_number () :
 *  @return : VALUE as text in a small ring of buffers, for one log line. */
const char *lg_number (long long value);

#endif
