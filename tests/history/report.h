/* What has been checked, and the violations.  Prefix: re_.  */

#ifndef FT_REPORT_H
#define FT_REPORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum re_check
{
  RE_AT_MOST_ONCE,
  RE_NOT_RUN,
  RE_ANSWERS,
  RE_JOBS,
  RE_GANGS,
  RE_LEASES,
  RE_LEAVING,
  RE_CHECK_COUNT
};

struct re_report;

struct re_report *re_create (void);
void re_free (struct re_report *report);

/*! re_event () :
 *  Counts one event of a kind. */
void re_event (struct re_report *report, const char *kind);

/*! re_event_count () :
 *  @return : events of a kind. */
uint64_t re_event_count (const struct re_report *report, const char *kind);

/*! re_checked () :
 *  Counts one subject that a check has judged. */
void re_checked (struct re_report *report, enum re_check check);

/*! re_violation () :
 *  Prints a violation. */
void re_violation (struct re_report *report, enum re_check check,
                   const char *format, ...) G_GNUC_PRINTF (3, 4);

/*! re_print () :
 *  Prints how many events and subjects there were, and the violations. */
void re_print (const struct re_report *report);

uint64_t re_violations (const struct re_report *report);

/*! re_empty () :
 *  @return : whether no check has judged anything. */
bool re_empty (const struct re_report *report);

#endif
