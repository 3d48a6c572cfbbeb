/* Faults of the log that a test sets by control requests.  Prefix: lf_.  */

#ifndef FT_LOG_FAULTS_H
#define FT_LOG_FAULTS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct lf_faults
{
  bool outage;            /* nothing is read or appended */
  bool silent;            /* an outage gives no answers, rather than errors */
  uint32_t slow_ms;       /* delay of each answer */
  uint32_t drop_answers;  /* number of next appends without an answer */
  uint32_t drop_percent;  /* share of appends without an answer, at random */
  uint32_t error_answers; /* number of next appends answered by an error */
};

/* How an append is answered whose record has been stored.  */
enum lf_answer
{
  LF_ANSWER_NORMAL, /* with the record's offset */
  LF_ANSWER_LOST,   /* the connection is closed without an answer */
  LF_ANSWER_ERROR   /* with an error, although the record is stored */
};

/*! lf_apply_command () :
 *  Sets the faults that a control request names; the others stay. */
void lf_apply_command (struct lf_faults *faults, const json_t *command);

/*! lf_choose_answer () :
 *  Counts the append against drop_answers or error_answers.
 *  @random : decides on drop_percent.
 *  @return : how the append is answered. */
enum lf_answer lf_choose_answer (struct lf_faults *faults, GRand *random);

#endif
