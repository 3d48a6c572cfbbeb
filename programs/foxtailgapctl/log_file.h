/* Log files of hosts: lines of key=value, read back.  Prefix: lf_.  */

#ifndef FT_LOG_FILE_H
#define FT_LOG_FILE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct lf_line
{
  const struct lf_file *file;
  size_t number;     /* in its file, from 1 */
  int64_t time_ms;   /* by its host's time of day, since 1970 */
  int64_t common_ms; /* by the first file's; set by lf_align () */
  GHashTable *fields;
};

struct lf_file
{
  char *host;
  GPtrArray *lines; /* struct lf_line, in the order written */
  bool aligned;     /* its clock could be compared with the first file's */
};

/*! lf_parse () :
 *  @name : told as the host if the log does not tell one.
 *  @return : a file, to be freed by lf_free (); lines that cannot be read are
 *            left out. */
struct lf_file *lf_parse (const char *name, const char *text);
void lf_free (void *data);

/*! lf_field () :
 *  @return : a field of the line, "" if it is absent. */
const char *lf_field (const struct lf_line *line, const char *key);

/*! lf_is () :
 *  @return : whether the line has this message. */
bool lf_is (const struct lf_line *line, const char *message);

/*! lf_align () :
 *  Sets common_ms of all lines.  Hosts read the same configurations and terms
 *  at nearly the same moment: what their clocks said then is compared, near
 *  each line, since a time of day may jump.
 *  @files : struct lf_file. */
void lf_align (GPtrArray *files);

#endif
