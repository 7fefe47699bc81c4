#include "relay/retry_policy.h"

/* Attempts that did not run cost time and connections all the same. */
#define MAX_SENDS 5

/* With less time than this left, another attempt cannot end in time. */
#define MIN_TIME_LEFT_MS 15

bool
failure_proves_not_run (FailurePoint point)
{
  return point == FAIL_BEFORE_CONNECT || point == FAIL_CONNECT || point == FAIL_REJECTED;
}

ErrKind
retry_policy_check (const RetryInput *f)
{
  bool ran = !failure_proves_not_run (f->point);

  if (f->response_started && !f->resumable)
    return ERR_OUTCOME_UNKNOWN;
  if (ran && !f->repeatable)
    return ERR_OUTCOME_UNKNOWN;
  if (f->sends >= MAX_SENDS || (ran && f->runs >= f->max_runs))
    return ERR_RETRIES_EXHAUSTED;
  if (f->time_left_ms < MIN_TIME_LEFT_MS)
    return ERR_DEADLINE_EXCEEDED;
  return ERR_NONE;
}
