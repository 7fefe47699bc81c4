/** @file
 * Decides whether a failed attempt may be retried, from what is known about the failure. Stateless. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "backend/failure.h"
#include "core/err.h"

typedef struct
{
  FailurePoint point;
  bool repeatable;       /* the request may run more than once */
  bool resumable;        /* an interrupted stream may be resumed on another server */
  bool response_started; /* part of the response was sent to the client */
  int runs;              /* attempts that the server may have run, including the failed one */
  int max_runs;
  int sends; /* all attempts, including those that the server did not run */
  int64_t time_left_ms;
} RetryInput;

/** @return true if a failure at this point proves that the server did not run the request. */
bool failure_proves_not_run (FailurePoint point);

/** @return ERR_NONE if the request may be retried. Otherwise the reason why not: ERR_OUTCOME_UNKNOWN (it
 * may have run and must not run twice, or its stream can't be resumed),
 * ERR_RETRIES_EXHAUSTED or ERR_DEADLINE_EXCEEDED. */
ErrKind retry_policy_check (const RetryInput *input);
