#include "relay/retry_policy.h"

/* Limit of all attempts, including those that the server did not run: they too take time and connections. */
#define MAX_SENDS 5

/* With less time left, another attempt cannot finish before the deadline. */
#define MIN_TIME_LEFT_MS 15

bool
failure_proves_not_run (FailurePoint point)
{
  return point == FAIL_BEFORE_CONNECT || point == FAIL_CONNECT || point == FAIL_REJECTED;
}

ErrKind
retry_policy_check (const RetryInput *in)
{
  bool may_have_run = !failure_proves_not_run (in->point);

  if (in->response_started && !in->resumable)
    return ERR_OUTCOME_UNKNOWN;
  if (may_have_run && !in->repeatable)
    return ERR_OUTCOME_UNKNOWN;
  if (in->sends >= MAX_SENDS || (may_have_run && in->runs >= in->max_runs))
    return ERR_RETRIES_EXHAUSTED;
  if (in->time_left_ms < MIN_TIME_LEFT_MS)
    return ERR_DEADLINE_EXCEEDED;
  return ERR_NONE;
}
