/* Jobs, attempts and tasks as a history records them.  Prefix: jt_.  */

#ifndef FT_JOB_TABLE_H
#define FT_JOB_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "events.h"
#include "report.h"

/* Time of an event that the history does not contain.  */
#define JT_NEVER_MS INT64_MAX

struct jt_task
{
  char *worker;       /* that the task was last leased to or started on */
  int64_t started_ms; /* JT_NEVER_MS: not started */
  int64_t ended_ms;   /* JT_NEVER_MS: not ended */
  bool succeeded;     /* ran to its end without failing */
  char *output;       /* digest of the output; NULL: not known */
};

struct jt_attempt
{
  struct jt_job *job;
  int64_t number;
  GHashTable *tasks; /* int64_t * (task number) to struct jt_task * */
};

struct jt_job
{
  char *name;
  int64_t task_count; /* as submitted; 0: not known */
  bool not_repeatable;
  /* From the events "told": what the job's caller was told.  */
  bool reported_not_run;
  bool reported_finished;
  /* Arrays of digests, in order of the tasks' numbers: json_t *, borrowed
     from the history.  */
  GPtrArray *reported_outputs;
  GHashTable *attempts; /* int64_t * (number) to struct jt_attempt * */
};

struct jt_table
{
  GHashTable *jobs; /* char * to struct jt_job * */
};

/*! jt_create () :
 *  Collects the jobs of a history, which must outlive the table.  A task that
 *  is started twice in one attempt is added to REPORT as a violation.
 *  @return : to be freed by jt_free (). */
struct jt_table *jt_create (const struct hi_history *history,
                            struct re_report *report);
void jt_free (struct jt_table *table);

/*! jt_expected_task_count () :
 *  @return : the task count of the attempt's gang: the submitted count, or the
 *  number of tasks that the history names if that is greater. */
int64_t jt_expected_task_count (const struct jt_attempt *attempt);

#endif
