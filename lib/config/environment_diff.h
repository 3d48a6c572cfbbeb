/* Compares two environment documents by their values: the order of entries,
   comments, and defaults that are written out make no difference.
   Prefix: ed_.  */

#ifndef FT_ENVIRONMENT_DIFF_H
#define FT_ENVIRONMENT_DIFF_H

#include <stddef.h>
#include <stdint.h>

#include "config/environment.h"

struct ed_change
{
  char *item;   /* "team NAME", "service NAME", "objective of TEAM for KIND",
                   "rules" or "environment" */
  char *field;  /* NULL: the item itself was added or removed */
  char *before; /* NULL: added */
  char *after;  /* NULL: removed */
};

struct ed_changes
{
  struct ed_change *items;
  size_t count;
};

/* Sum of a team's guarantees.  */
struct ed_totals
{
  uint64_t accelerators;
  uint64_t cpus_milli;
  uint64_t memory_mb;
};

/*! ed_diff () :
 *  @return : the changes from BEFORE to AFTER, to be freed by ed_clear (). */
struct ed_changes ed_diff (const struct env_document *before,
                           const struct env_document *after);

/*! ed_clear () :
 *  Frees the items and empties CHANGES. */
void ed_clear (struct ed_changes *changes);

/*! ed_totals () :
 *  @team : may be NULL.
 *  @return : the sums over all guarantees; zeros if TEAM is NULL. */
struct ed_totals ed_totals (const struct env_team *team);

#endif
