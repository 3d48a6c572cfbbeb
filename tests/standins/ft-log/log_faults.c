/* Faults of the log that a test sets by control requests.  */

#include "log_faults.h"

#include <string.h>

#include "standins/common/json_answer.h"

enum
{
  PERCENT = 100
};

void
lf_apply_command (struct lf_faults *faults, const json_t *command)
{
  const char *mode
      = ja_text (command, "mode", faults->silent ? "silent" : "error");

  faults->silent = strcmp (mode, "silent") == 0;
  faults->outage = ja_flag (command, "outage", faults->outage);
  faults->slow_ms = (uint32_t)ja_number (command, "slow_ms", faults->slow_ms);
  faults->drop_answers
      = (uint32_t)ja_number (command, "drop_answers", faults->drop_answers);
  faults->drop_percent
      = (uint32_t)ja_number (command, "drop_percent", faults->drop_percent);
  faults->error_answers
      = (uint32_t)ja_number (command, "error_answers", faults->error_answers);
}

enum lf_answer
lf_choose_answer (struct lf_faults *faults, GRand *random)
{
  if (faults->drop_answers > 0)
    {
      faults->drop_answers--;
      return LF_ANSWER_LOST;
    }
  if (faults->error_answers > 0)
    {
      faults->error_answers--;
      return LF_ANSWER_ERROR;
    }
  if (faults->drop_percent > 0
      && g_rand_int_range (random, 0, PERCENT) < (gint32)faults->drop_percent)
    return LF_ANSWER_LOST;
  return LF_ANSWER_NORMAL;
}
