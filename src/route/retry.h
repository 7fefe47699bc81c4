/** @file
 * Whether a failed attempt is repeated, and what the caller is told if it is not. No state but the
 * retry budget; no clock of its own. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/err.h"
#include "core/rng.h"
#include "backend/failure.h"

/** Limits retries to a share of the requests, so that a failing pool is not loaded several times
 * over. One per pool, under the route lock. */
typedef struct
{
  double tokens;
  double max_tokens;
  double earned_per_request;
} RetryBudget;

void retry_budget_init (RetryBudget *budget, double max_tokens, double earned_per_request);

/** Counts a first attempt. */
void retry_budget_earn (RetryBudget *budget);

typedef struct
{
  FailurePoint point;
  bool idempotent;
  bool caller_got_bytes; /* part of the answer has gone to the caller */
  int attempts;          /* made so far, the failed one included */
  bool earlier_not_run;  /* no attempt before the failed one can have run; else it is unknown */
  int64_t now_ms;
  int64_t deadline_ms;
} RetryQuery;

typedef struct
{
  bool retry;
  int64_t delay_ms;   /* before the next attempt */
  ErrKind kind;       /* if not retried: the answer */
  Outcome outcome;    /* if not retried: what is known */
  const char *reason; /* counter label: why it is or is not retried */
} RetryDecision;

/** Takes one token from @p budget if it says to retry. A non-idempotent request is repeated only
 * after attempts that provably did not run. */
RetryDecision retry_decide (RetryBudget *budget, const RetryQuery *query, Rng *rng);
