/** @file
 * Limits how often requests are retried. Within each window, all hosts together may send a service
 * a given ratio of its requests as retries, and a fixed allowance more. A host uses the ratio of
 * its own requests and an equal share of the allowance. What it has used is known to its process only, so that
 * a new process sends no retries until no window holds one of its predecessor's. Lock "dispatch". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#define RETRY_BUDGET_SLICES 20

typedef struct
{
  double ratio;
  int64_t window_ms;
  double allowance;      /* of all hosts together */
  int64_t not_before_ms; /* no retries until then, see retry_limits_hold_back() */
} RetryLimits;

/** Counts per slice of the sliding window. */
typedef struct
{
  int64_t slice; /* number of the newest slice */
  uint32_t requests[RETRY_BUDGET_SLICES];
  uint32_t retries[RETRY_BUDGET_SLICES];
} RetryBudget;

/** Allows no retries until a window has passed since the start of this process: an earlier process of this host may have
 * used its part of the limits until then. */
void retry_limits_hold_back (RetryLimits *limits, int64_t started_ms);

/** Counts a request, at its first attempt. */
void retry_budget_count_request (RetryBudget *budget, const RetryLimits *limits, int64_t now_ms);

/** Counts a retry if the limits allow it in the current window.
 * @return NULL, or the limit that forbids it, for messages. */
const char *retry_budget_take (RetryBudget *budget, const RetryLimits *limits, int hosts,
                               int64_t now_ms);
