/* Events of a worker that the scheduler has not noted yet.  Prefix: el_.  */

#ifndef FT_EVENT_LIST_H
#define FT_EVENT_LIST_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct el_list;

/* The end of one task.  */
struct el_event
{
  const char *job;
  uint32_t attempt;
  uint32_t task;
  bool ok;
  bool lapsed;
  const char *detail;
  const char *output;
};

struct el_list *el_create (void);
void el_free (struct el_list *list); /* accepts NULL */

/*! el_add () :
 *  Gives the event the next number. */
void el_add (struct el_list *list, const struct el_event *event);

/*! el_set_number () :
 *  The next event has a number above SEQ, and above all earlier ones. */
void el_set_number (struct el_list *list, uint64_t seq);

/*! el_forget () :
 *  Forgets events up to a number. */
void el_forget (struct el_list *list, uint64_t seq);

/*! el_has () :
 *  @return : whether an event of this attempt is kept. */
bool el_has (const struct el_list *list, const char *job, uint32_t attempt);

/*! el_json () :
 *  @return : the oldest events, with 256 KiB of output but at least one of
 *  them; owned by the caller. */
json_t *el_json (const struct el_list *list);

#endif
