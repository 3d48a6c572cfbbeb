/* What became of a job, by the logs of several hosts.  Prefix: ex_.  */

#ifndef FT_EXPLAIN_H
#define FT_EXPLAIN_H

#include <jansson.h>

#include "log_file.h"

/* A share of the job's time.  */
enum ex_span
{
  EX_ACCEPTING, /* from the first call to its storing */
  EX_PLANNER,   /* until a planner knew of it */
  EX_ROOM,      /* with nothing running */
  EX_WASTED,    /* in runs that did not end done */
  EX_WORK,      /* in runs that did */
  EX_SPANS
};

enum ex_fate
{
  EX_UNSEEN,   /* no line tells of it */
  EX_REFUSED,  /* it did not run */
  EX_UNKNOWN,  /* whether it was stored is not known */
  EX_ACCEPTED, /* no end is told */
  EX_COMPLETED,
  EX_FAILED,
  EX_CANCELLED
};

struct ex_story
{
  enum ex_fate fate;
  GPtrArray *lines; /* struct lf_line, in the order of cause */
  int64_t began_ms; /* by the common clock */
  int64_t ended_ms;
  int64_t spans_ms[EX_SPANS];
  char *cause; /* one sentence */
};

/*! ex_tell () :
 *  @files : struct lf_file, aligned; they must outlive the story.
 *  @return : to be freed by ex_free (). */
struct ex_story *ex_tell (GPtrArray *files, const char *id);
void ex_free (struct ex_story *story);

/*! ex_print (), ex_json () :
 *  The story for people, and as JSON. */
void ex_print (const struct ex_story *story, const char *id);
json_t *ex_json (const struct ex_story *story, const char *id);

#endif
