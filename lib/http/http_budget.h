/* The memory that callers may hold in a process: what they have sent and what
   they have not read yet.  Pure decisions for the HTTP servers of a process,
   which share one budget; they answer the load of callers that keep no limits
   and of which each one stays below every limit for a single request.  What
   does not fit is taken from the holder that holds most and takes longest, so
   that a short request that has just come is served.  Prefix: hb_.  */

#ifndef FT_HTTP_BUDGET_H
#define FT_HTTP_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* While the budget is short, a longer body is refused before it is sent.
     The longest job within the platform's limits has 55 KB: 64 steps of all
     members and dependencies, and a text of 4,000 bytes, each escaped as 6
     (test_hostd_platform.c).  */
  HB_SHORT_BODY_BYTES = 64 * 1024
};

/* A connection.  Embedded in that of the server.  */
struct hb_holder
{
  GList link;
  void *owner;       /* the connection */
  const void *group; /* the server; limits of connections are its own */
  uint64_t held_bytes;
  int64_t since_ms; /* since when it has to be completed; before
                       that it is not chosen */
  bool in_work;     /* waits for this process, and is not chosen */
};

struct hb_budget
{
  uint64_t limit_bytes;   /* in force */
  uint64_t most_bytes;    /* the limit while the process needs little itself */
  uint64_t ceiling_bytes; /* for all that the process allocates; 0: none */
  uint64_t held_bytes;
  uint64_t untrimmed_bytes; /* most held since the last hb_trim_is_due () */
  GQueue holders;
};

/*! hb_init () :
 *  An empty budget; it owns nothing. */
void hb_init (struct hb_budget *budget, uint64_t limit_bytes);

/*! hb_set_ceiling () :
 *  From now on hb_adjust () lowers the limit. */
void hb_set_ceiling (struct hb_budget *budget, uint64_t ceiling_bytes);

/*! hb_needs_adjustment () :
 *  @return : whether so much is held that hb_adjust () should be called now
 * and then. */
bool hb_needs_adjustment (const struct hb_budget *budget);

/*! hb_adjust () :
 *  Sets the limit to what the rest of the process leaves below the ceiling,
 *  but never below an eighth of what it was at first.
 *  @allocated_bytes : of the process, with what callers hold. */
void hb_adjust (struct hb_budget *budget, uint64_t allocated_bytes);

/*! hb_add (), hb_remove () :
 *  A holder is added with nothing held, its other members set, and is removed
 *  before it is freed.  hb_remove () gives back what it holds. */
void hb_add (struct hb_budget *budget, struct hb_holder *holder);
void hb_remove (struct hb_budget *budget, struct hb_holder *holder);

/*! hb_take (), hb_give () :
 *  Count bytes that a holder holds, or has freed.  hb_take () also counts what
 *  is over the limit: see hb_is_over (). */
void hb_take (struct hb_budget *budget, struct hb_holder *holder,
              uint64_t bytes);
void hb_give (struct hb_budget *budget, struct hb_holder *holder,
              uint64_t bytes);

/*! hb_is_over () :
 *  @return : whether more is held than the limit; then one holder after the
 *            other has to be closed, as hb_choose () says. */
bool hb_is_over (const struct hb_budget *budget);

/*! hb_refuses_early () :
 *  @announced_bytes : of the body, which has not been received.
 *  @return : whether to refuse the request now: the budget is short, and the
 *            body is long. */
bool hb_refuses_early (const struct hb_budget *budget,
                       uint64_t announced_bytes);

/*! hb_choose () :
 *  @group : only holders of this group; NULL: any.
 *  @return : the holder to close: the one with the greatest product of held
 *            bytes and time; NULL if none may be chosen. */
struct hb_holder *hb_choose (const struct hb_budget *budget, const void *group,
                             int64_t now_ms);

/*! hb_spare_connections () :
 *  @return : connections of the limit that are only accepted so that others
 * can be closed for them. */
uint32_t hb_spare_connections (uint32_t connection_limit);

/*! hb_trim_is_due () :
 *  @return : whether so much has been freed that the process should return
 *            free memory to the system. */
bool hb_trim_is_due (struct hb_budget *budget);

#endif
