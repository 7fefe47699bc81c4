/** @file
 * Whether a failed attempt may be followed by another one, by what is known of the failed one. No
 * state. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "backend/failure.h"
#include "core/err.h"

typedef struct
{
  FailurePoint point;
  bool repeatable;       /* the request may run more than once */
  bool resumable;        /* a stream may go on at another server */
  bool response_started; /* the client has part of the answer */
  int runs;              /* attempts that may have run, the failed one included */
  int max_runs;
  int sends; /* attempts in all */
  int64_t time_left_ms;
} RetryInput;

/** @return true if a failure there proves that the server did not run the request. */
bool failure_proves_not_run (FailurePoint point);

/** @return ERR_NONE if the request may be sent again, or why it may not: ERR_OUTCOME_UNKNOWN (it may
 * have run and must not run twice), ERR_RETRIES_EXHAUSTED or ERR_DEADLINE_EXCEEDED. */
ErrKind retry_policy_check (const RetryInput *facts);
