/* Faults of the log, as they are commanded.  Prefix: lf_.  */

#ifndef FT_LOG_FAULTS_H
#define FT_LOG_FAULTS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct lf_faults
{
  bool outage;
  bool silent; /* in an outage: no answers */
  uint32_t slow_ms;
  uint32_t drop_answers;  /* of the next appends */
  uint32_t drop_percent;  /* of all appends, at random */
  uint32_t error_answers; /* to the next appends, which take effect */
};

/* How an append that has taken effect is answered.  */
enum lf_answer
{
  LF_ANSWER_OFFSET,
  LF_ANSWER_LOST,
  LF_ANSWER_ERROR
};

/*! lf_obey () :
 *  Changes the faults that the command names. */
void lf_obey (struct lf_faults *faults, const json_t *command);

/*! lf_choose_answer () :
 *  @return : how the next append is answered. */
enum lf_answer lf_choose_answer (struct lf_faults *faults, GRand *random);

#endif
