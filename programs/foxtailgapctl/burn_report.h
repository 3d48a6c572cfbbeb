/* The report on service-level burn, from the answers of all entry hosts.
   Prefix: br_.  */

#ifndef FT_BURN_REPORT_H
#define FT_BURN_REPORT_H

#include <jansson.h>
#include <stdbool.h>

#include "burn/burn.h"

struct br_row
{
  char *team;
  char *kind;
  bool jobs; /* counted from the folded state, else by the answering host */
  uint32_t latency_ms;
  uint32_t success_permille;
  struct bn_counts counts[BN_WINDOWS];
};

struct br_report;

struct br_report *br_create (void);
void br_free (struct br_report *report);

/*! br_add () :
 *  Adds one host's answer: requests are summed over the hosts; of jobs,
 *  which each host counts alike, the answer that is folded furthest counts.
 *  @return : false if the answer is not understood. */
bool br_add (struct br_report *report, const json_t *answer);

/*! br_print (), br_json (), br_svg () :
 *  A table on standard output; JSON; a plot of the burn rates, to be freed
 *  by g_free (). */
void br_print (const struct br_report *report);
json_t *br_json (const struct br_report *report);
char *br_svg (const struct br_report *report);

#endif
