#include "dispatch/retry_budget.h"

#include <string.h>

/* Fraction of the limits that is used, because the known number of hosts is too low for a while after
 * hosts have joined. */
#define USED_SHARE 0.8

static int64_t
slice_ms (const RetryLimits *limits)
{
  return limits->window_ms / (RETRY_BUDGET_SLICES - 1);
}

/* One slice more than the window, for retries that were on the way when their process ended. */
void
retry_limits_hold_back (RetryLimits *limits, int64_t started_ms)
{
  limits->not_before_ms = started_ms + limits->window_ms + slice_ms (limits);
}

/* The newest slice is incomplete: the other ones cover the window. */
static void
advance (RetryBudget *b, const RetryLimits *limits, int64_t now_ms)
{
  int64_t slice = now_ms / slice_ms (limits);
  int64_t steps = slice - b->slice;

  if (steps <= 0)
    return;
  if (steps >= RETRY_BUDGET_SLICES)
    {
      memset (b->requests, 0, sizeof b->requests);
      memset (b->retries, 0, sizeof b->retries);
    }
  else
    for (int64_t i = b->slice + 1; i <= slice; i++)
      {
        b->requests[i % RETRY_BUDGET_SLICES] = 0;
        b->retries[i % RETRY_BUDGET_SLICES] = 0;
      }
  b->slice = slice;
}

static uint32_t
sum (const uint32_t *slices)
{
  uint32_t n = 0;

  for (int i = 0; i < RETRY_BUDGET_SLICES; i++)
    n += slices[i];
  return n;
}

void
retry_budget_count_request (RetryBudget *b, const RetryLimits *limits, int64_t now_ms)
{
  advance (b, limits, now_ms);
  b->requests[b->slice % RETRY_BUDGET_SLICES]++;
}

const char *
retry_budget_take (RetryBudget *b, const RetryLimits *limits, int hosts, int64_t now_ms)
{
  double room;

  if (now_ms < limits->not_before_ms)
    return "an earlier process of this host may have used them";
  advance (b, limits, now_ms);
  room = USED_SHARE
         * (limits->ratio * sum (b->requests) + limits->allowance / (hosts > 0 ? hosts : 1));
  if (sum (b->retries) + 1 > room)
    return "they have no room";
  b->retries[b->slice % RETRY_BUDGET_SLICES]++;
  return NULL;
}
