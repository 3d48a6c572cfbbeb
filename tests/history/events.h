/* The events of one or more history files.  Prefix: hi_.

   A history file has one JSON object on each line.  Each object has t_ms
   (milliseconds since 1970), who (the host, service or test that recorded it)
   and what (the kind of event); its other members depend on the kind.  */

#ifndef FT_EVENTS_H
#define FT_EVENTS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

enum hi_error
{
  HI_OK = 0,
  HI_ERR_OPEN = -1, /* a file cannot be opened */
};

/* One line of a history file.  */
struct hi_event
{
  int64_t t_ms;     /* since 1970 */
  const char *who;  /* host, service or test; borrowed from LINE */
  const char *what; /* kind of event; borrowed from LINE */
  json_t *line;     /* all members, also those above */
};

struct hi_history
{
  GPtrArray *events;  /* struct hi_event * */
  uint64_t malformed; /* lines that are not valid events */
  int64_t end_ms;     /* latest time of an event */
};

struct hi_history *hi_create (void);
void hi_free (struct hi_history *history);

/*! hi_read () :
 *  Appends the events of a file; counts malformed lines.
 *  @return : HI_OK, or HI_ERR_OPEN after the reason was printed. */
int hi_read (struct hi_history *history, const char *path);

/*! hi_sort () :
 *  Sorts the events by time.  Events of the same time stay in the order in
 *  which they were read. */
void hi_sort (struct hi_history *history);

/*! hi_get () :
 *  @index : below history->events->len.
 *  @return : the event, owned by the history. */
const struct hi_event *hi_get (const struct hi_history *history, guint index);

/*! hi_text (), hi_number () :
 *  @return : the event's member NAME, a text owned by the event or an integer;
 *  NULL or -1 if the member is absent or of another type. */
const char *hi_text (const struct hi_event *event, const char *name);
int64_t hi_number (const struct hi_event *event, const char *name);

#endif
