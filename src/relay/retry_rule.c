#include "relay/retry_rule.h"

/* Attempts that did not run cost time and connections all the same. */
#define MAX_SENDS 5

/* With less time than this left, another attempt cannot end in time. */
#define LEAST_TIME_MS 15

bool
failure_is_not_run (FailurePoint point)
{
  return point == FAIL_BEFORE_CONNECT || point == FAIL_IN_CONNECT || point == FAIL_REFUSED;
}

ErrKind
retry_rule (const RetryFacts *f)
{
  bool ran = !failure_is_not_run (f->point);

  if (f->begun && !f->resumable)
    return ERR_OUTCOME_UNKNOWN;
  if (ran && !f->repeatable)
    return ERR_OUTCOME_UNKNOWN;
  if (f->sends >= MAX_SENDS || (ran && f->runs >= f->max_runs))
    return ERR_RETRIES_EXHAUSTED;
  if (f->time_left_ms < LEAST_TIME_MS)
    return ERR_DEADLINE_EXCEEDED;
  return ERR_NONE;
}
