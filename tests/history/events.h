/* The events of one or more history files, in order of time.  Prefix: hi_.  */

#ifndef FT_EVENTS_H
#define FT_EVENTS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum hi_error
{
  HI_OK = 0,
  HI_ERR_OPEN = -1,
};

struct hi_event
{
  int64_t t_ms;
  const char *who;
  const char *what;
  json_t *line; /* all members */
};

struct hi_history
{
  GPtrArray *events; /* struct hi_event * */
  uint64_t malformed;
  int64_t end_ms; /* time of the last event */
};

struct hi_history *hi_create (void);
void hi_free (struct hi_history *history);

/*! hi_read () :
 *  Adds a file's lines. */
int hi_read (struct hi_history *history, const char *path);

/*! hi_sort () :
 *  Puts the events in order of time; those of the same time stay in the order
 *  in which they were read. */
void hi_sort (struct hi_history *history);

/*! hi_get () :
 *  @return : the event of that index. */
const struct hi_event *hi_get (const struct hi_history *history, guint index);

/*! hi_text (), hi_number () :
 *  @return : a member; NULL or -1 if it is absent or of another type. */
const char *hi_text (const struct hi_event *event, const char *name);
int64_t hi_number (const struct hi_event *event, const char *name);

#endif
