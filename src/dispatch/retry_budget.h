/** @file
 * Limits how often requests are retried. Within each window, all hosts together may send a service
 * a given ratio of its requests as retries, and a fixed allowance more. A host uses the ratio of
 * its own requests and an equal share of the allowance. Lock "dispatch". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#define RETRY_BUDGET_SLICES 20

typedef struct
{
  double ratio;
  int64_t window_ms;
  double allowance; /* of all hosts together */
} RetryLimits;

/** Counts per slice of the sliding window. */
typedef struct
{
  int64_t slice; /* number of the newest slice */
  uint32_t requests[RETRY_BUDGET_SLICES];
  uint32_t retries[RETRY_BUDGET_SLICES];
} RetryBudget;

/** Counts a request, at its first attempt. */
void retry_budget_count_request (RetryBudget *budget, const RetryLimits *limits, int64_t now_ms);

/** Counts a retry if the limits allow it in the current window. @return false if they do not. */
bool retry_budget_take (RetryBudget *budget, const RetryLimits *limits, int hosts, int64_t now_ms);
