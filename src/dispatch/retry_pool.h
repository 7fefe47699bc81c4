/** @file
 * Limits how often requests are sent again. All hosts together may send a service a share of its
 * requests again, and a fixed number more, in each window; a host takes its own share and its part of
 * the fixed number. Lock "dispatch". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#define RETRY_POOL_SLICES 20

typedef struct
{
  double ratio;
  int64_t window_ms;
  double allowance; /* of all hosts together */
} RetryLimits;

typedef struct
{
  int64_t slice; /* number of the newest slice */
  uint32_t requests[RETRY_POOL_SLICES];
  uint32_t repeats[RETRY_POOL_SLICES];
} RetryPool;

/** Counts a request's first send. */
void retry_pool_request (RetryPool *pool, const RetryLimits *limits, int64_t now_ms);

/** Takes one repeat. @return false if the window has no room for it. */
bool retry_pool_take (RetryPool *pool, const RetryLimits *limits, int hosts, int64_t now_ms);
