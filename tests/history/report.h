/* Counts of events and checked items, and the violations.  Prefix: re_.  */

#ifndef FT_REPORT_H
#define FT_REPORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum re_check_kind
{
  RE_CHECK_AT_MOST_ONCE, /* non-repeatable requests and jobs */
  RE_CHECK_NOT_RUN,      /* requests and jobs reported as not run */
  RE_CHECK_ANSWERS,      /* answers and outputs that callers received */
  RE_CHECK_JOBS,         /* jobs reported as finished have an attempt of which
                            every task succeeded */
  RE_CHECK_GANGS,        /* started attempts: no part of a gang runs without
                            the rest for longer than the bound */
  RE_CHECK_LEASES,       /* leases on workers */
  RE_CHECK_LEAVING,      /* upstreams listed as leaving */
  RE_CHECK_COUNT
};

struct re_report;

struct re_report *re_create (void);
void re_free (struct re_report *report);

/*! re_count_event () :
 *  Counts one event of a kind, the member "what" of its line. */
void re_count_event (struct re_report *report, const char *kind);

/*! re_event_count () :
 *  @return : the number of events of a kind. */
uint64_t re_event_count (const struct re_report *report, const char *kind);

/*! re_count_checked () :
 *  Counts one item, such as a lease, that a check has examined. */
void re_count_checked (struct re_report *report, enum re_check_kind check);

/*! re_add_violation () :
 *  Prints a violation to standard output at once, and counts it. */
void re_add_violation (struct re_report *report, enum re_check_kind check,
                       const char *format, ...) G_GNUC_PRINTF (3, 4);

/*! re_print () :
 *  Prints the number of events of each kind, of items of each check, and of
 *  violations. */
void re_print (const struct re_report *report);

uint64_t re_violation_count (const struct re_report *report);

/*! re_is_empty () :
 *  @return : whether no check has examined any item. */
bool re_is_empty (const struct re_report *report);

#endif
