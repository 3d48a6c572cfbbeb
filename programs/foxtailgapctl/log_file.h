/* Parser of the hosts' log files, whose lines are key=value pairs, and
   alignment of the hosts' clocks.  Prefix: lf_.  */

#ifndef FT_LOG_FILE_H
#define FT_LOG_FILE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct lf_line
{
  const struct lf_file *file;
  size_t number;      /* line number in the file, from 1 */
  int64_t time_ms;    /* by the clock of its host, since 1970 */
  int64_t aligned_ms; /* by the clock of the first file's host; set by
                         lf_align_clocks () */
  GHashTable *fields; /* key -> value, both text */
};

struct lf_file
{
  char *host;         /* name of the host that wrote the log */
  GPtrArray *lines;   /* struct lf_line, in the order written */
  bool clock_aligned; /* an event shared with the first file was found */
};

/*! lf_parse () :
 *  @name : path of the file; its last component is used as the host's name
 *          if no line of the log gives the name.
 *  @return : a file, to be freed by lf_free (); lines that cannot be parsed
 *            are left out. */
struct lf_file *lf_parse (const char *name, const char *text);
void lf_free (void *data);

/*! lf_field () :
 *  @return : the value of a field; "" if the line does not have it. */
const char *lf_field (const struct lf_line *line, const char *key);

/*! lf_has_message () :
 *  @return : whether the line's message (field "msg") is MESSAGE. */
bool lf_has_message (const struct lf_line *line, const char *message);

/*! lf_align_clocks () :
 *  Sets aligned_ms of all lines and clock_aligned of all files.  Hosts log
 *  the same new configurations and planner terms at nearly the same moment.
 *  The differences of their clocks at these moments are measured, and each
 *  line uses those nearest to it, because a wall clock may jump.
 *  @files : struct lf_file; lines of a file that shares no such event with
 *           the first one keep the time of their own host. */
void lf_align_clocks (GPtrArray *files);

#endif
