/* What differs between two environment documents, by meaning: the order of
   entries, comments and defaults written out make no difference.
   Prefix: ed_.  */

#ifndef FT_ENVIRONMENT_DIFF_H
#define FT_ENVIRONMENT_DIFF_H

#include <stddef.h>
#include <stdint.h>

#include "config/environment.h"

struct ed_change
{
  char *item;   /* "team routes", "service ...", "objective ...", "rules" */
  char *field;  /* NULL: the whole item was added or removed */
  char *before; /* NULL: added */
  char *after;  /* NULL: removed */
};

struct ed_changes
{
  struct ed_change *items;
  size_t count;
};

/* What a team's guarantees add up to.  */
struct ed_totals
{
  uint64_t accelerators;
  uint64_t cpus_milli;
  uint64_t memory_mb;
};

/*! ed_diff () :
 *  @return : the changes from BEFORE to AFTER, owned by the caller. */
struct ed_changes ed_diff (const struct env_document *before,
                           const struct env_document *after);

/*! ed_clear () : */
void ed_clear (struct ed_changes *changes);

/*! ed_totals () :
 *  TEAM may be NULL: zeros. */
struct ed_totals ed_totals (const struct env_team *team);

#endif
