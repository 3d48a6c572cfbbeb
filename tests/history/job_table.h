/* What a history tells of jobs, their attempts and their tasks.
   Prefix: jt_.  */

#ifndef FT_JOB_TABLE_H
#define FT_JOB_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "events.h"
#include "report.h"

#define JT_NEVER_MS INT64_MAX

struct jt_task
{
  char *worker;
  int64_t started_ms; /* JT_NEVER_MS: not */
  int64_t ended_ms;   /* JT_NEVER_MS: not */
  bool ok;            /* ended by itself, and well */
  char *output;       /* digest; NULL: not known */
};

struct jt_attempt
{
  struct jt_job *job;
  int64_t number;
  GHashTable *tasks; /* number to struct jt_task * */
};

struct jt_job
{
  char *name;
  int64_t task_count; /* as sent; 0: not known */
  bool not_repeatable;
  bool told_not_run;
  bool told_finished;
  GPtrArray *told_outputs; /* json_t *, borrowed: digests by task */
  GHashTable *attempts;    /* number to struct jt_attempt * */
};

struct jt_table
{
  GHashTable *jobs; /* char * to struct jt_job * */
};

/*! jt_create () :
 *  Reads a history.  A task that is started twice is reported. */
struct jt_table *jt_create (const struct hi_history *history,
                            struct re_report *report);
void jt_free (struct jt_table *table);

/*! jt_expected_tasks () :
 *  @return : how many tasks the attempt's gang has, as far as is known. */
int64_t jt_expected_tasks (const struct jt_attempt *attempt);

#endif
