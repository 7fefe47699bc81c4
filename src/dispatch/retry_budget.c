#include "dispatch/retry_budget.h"

#include <string.h>

/* Share of the limits that is used: the number of hosts lags behind when hosts join or leave. */
#define USED_SHARE 0.8

static void
advance (RetryBudget *p, const RetryLimits *limits, int64_t now_ms)
{
  int64_t slice = now_ms / (limits->window_ms / (RETRY_BUDGET_SLICES - 1));
  int64_t steps = slice - p->slice;

  if (steps <= 0)
    return;
  if (steps >= RETRY_BUDGET_SLICES)
    {
      memset (p->requests, 0, sizeof p->requests);
      memset (p->retries, 0, sizeof p->retries);
    }
  else
    for (int64_t i = p->slice + 1; i <= slice; i++)
      {
        p->requests[i % RETRY_BUDGET_SLICES] = 0;
        p->retries[i % RETRY_BUDGET_SLICES] = 0;
      }
  p->slice = slice;
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
retry_budget_count_request (RetryBudget *p, const RetryLimits *limits, int64_t now_ms)
{
  advance (p, limits, now_ms);
  p->requests[p->slice % RETRY_BUDGET_SLICES]++;
}

bool
retry_budget_take (RetryBudget *p, const RetryLimits *limits, int hosts, int64_t now_ms)
{
  double room;

  advance (p, limits, now_ms);
  room = USED_SHARE
         * (limits->ratio * sum (p->requests) + limits->allowance / (hosts > 0 ? hosts : 1));
  if (sum (p->retries) + 1 > room)
    return false;
  p->retries[p->slice % RETRY_BUDGET_SLICES]++;
  return true;
}
