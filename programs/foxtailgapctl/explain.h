/* Reconstructs the history of a job from the logs of several hosts: how it
   ended, where its time went, and the main cause.  Prefix: ex_.  */

#ifndef FT_EXPLAIN_H
#define FT_EXPLAIN_H

#include <jansson.h>

#include "explain_waits.h"
#include "log_file.h"

/* A part of the time between submission and end of a job.  The parts may
   leave gaps, e.g. where log lines are missing.  */
enum ex_phase
{
  EX_PHASE_ACCEPTING,   /* from the first submit call until stored */
  EX_PHASE_PLANNER,     /* from stored until a planner received the job */
  EX_PHASE_NOT_RUNNING, /* received, but no task running */
  EX_PHASE_UNSUCCESSFUL_RUNS, /* in runs that did not succeed */
  EX_PHASE_SUCCESSFUL_RUNS,   /* in runs that succeeded */
  EX_PHASE_COUNT
};

enum ex_outcome
{
  EX_OUTCOME_UNSEEN,   /* no line mentions the job */
  EX_OUTCOME_REFUSED,  /* not accepted, so the job did not run */
  EX_OUTCOME_UNKNOWN,  /* the outcome of the submit call is not known; the
                           job may be stored */
  EX_OUTCOME_ACCEPTED, /* stored, but no line shows its end */
  EX_OUTCOME_COMPLETED,
  EX_OUTCOME_FAILED,
  EX_OUTCOME_CANCELLED
};

struct ex_report
{
  enum ex_outcome outcome;
  GPtrArray *lines; /* struct lf_line, ordered by aligned_ms */
  int64_t start_ms; /* by the first file's clock */
  int64_t end_ms;   /* by the first file's clock */
  int64_t phases_ms[EX_PHASE_COUNT];
  GPtrArray *waits; /* struct ex_wait, the longest first */
  char *cause;      /* one clause, for people */
};

/*! ex_explain () :
 *  @files : struct lf_file, after lf_align_clocks (); they must outlive the
 *           report.
 *  @id : of the job.
 *  @return : to be freed by ex_free (). */
struct ex_report *ex_explain (GPtrArray *files, const char *id);
void ex_free (struct ex_report *report);

/*! ex_print (), ex_json () :
 *  ex_print () writes the report for people to standard output; ex_json ()
 *  returns a new reference. */
void ex_print (const struct ex_report *report, const char *id);
json_t *ex_json (const struct ex_report *report, const char *id);

#endif
