/* Report of how fast the teams' objectives use their error budgets (burn
   rates), merged from the answers of all entry hosts.  Prefix: br_.  */

#ifndef FT_BURN_REPORT_H
#define FT_BURN_REPORT_H

#include <jansson.h>
#include <stdbool.h>

#include "burn/burn.h"

/* One objective, as it applies to jobs or to requests.  */
struct br_row
{
  char *team;
  char *kind; /* of the jobs; for requests, the name of the service */
  /* true: jobs, counted from the folded state, so that every host counts the
     same; false: requests, counted by the host that answered them.  */
  bool counts_jobs;
  uint32_t latency_ms;       /* target */
  uint32_t success_permille; /* target share of good jobs or requests */
  struct bn_counts counts[BN_WINDOWS]; /* by enum bn_window */
};

struct br_report;

struct br_report *br_create (void);
void br_free (struct br_report *report);

/*! br_add_answer () :
 *  Adds one host's answer.  Requests are summed over the hosts.  Every host
 *  counts the same jobs, so job counts come only from the answer with the
 *  highest offset of the folded state.
 *  @return : false if the answer does not have the expected fields. */
bool br_add_answer (struct br_report *report, const json_t *answer);

/*! br_print (), br_json (), br_svg () :
 *  br_print () writes a table to standard output; br_json () returns a new
 *  reference; br_svg () returns a plot of the burn rates over one hour as
 *  SVG text, to be freed by g_free (). */
void br_print (const struct br_report *report);
json_t *br_json (const struct br_report *report);
char *br_svg (const struct br_report *report);

#endif
