/* Task ends on a worker that the scheduler has not acknowledged yet; the
   worker's API calls them events.  The lines of a history file are events of
   another kind.  Prefix: el_.  */

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
  bool ok;            /* the task succeeded */
  bool lapsed;        /* the task ended because its lease lapsed */
  const char *detail; /* reason of a failure, for people */
  const char *output; /* of the task; empty if it did not succeed */
};

struct el_list *el_create (void);
void el_free (struct el_list *list); /* accepts NULL */

/*! el_add () :
 *  Appends a copy of the event, with the next sequence number. */
void el_add (struct el_list *list, const struct el_event *event);

/*! el_raise_last_seq () :
 *  Makes the next event's sequence number greater than SEQ.  Each event has a
 *  greater number than all events before it. */
void el_raise_last_seq (struct el_list *list, uint64_t seq);

/*! el_remove_through () :
 *  Removes events whose sequence number is SEQ or less. */
void el_remove_through (struct el_list *list, uint64_t seq);

/*! el_has_event () :
 *  @return : whether the list has an event of this attempt. */
bool el_has_event (const struct el_list *list, const char *job,
                   uint32_t attempt);

/*! el_json () :
 *  @return : JSON array of the oldest events, with at most 256 KiB of output
 *  in total but always with at least one event if there is any; owned by the
 *  caller. */
json_t *el_json (const struct el_list *list);

#endif
