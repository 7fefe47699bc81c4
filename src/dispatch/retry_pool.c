#include "dispatch/retry_pool.h"

#include <string.h>

/* Part of the limits that is used: hosts that came or left lately are counted late. */
#define USED_SHARE 0.8

static void
advance (RetryPool *p, const RetryLimits *limits, int64_t now_ms)
{
  int64_t slice = now_ms / (limits->window_ms / (RETRY_POOL_SLICES - 1));
  int64_t steps = slice - p->slice;

  if (steps <= 0)
    return;
  if (steps >= RETRY_POOL_SLICES)
    {
      memset (p->requests, 0, sizeof p->requests);
      memset (p->repeats, 0, sizeof p->repeats);
    }
  else
    for (int64_t i = p->slice + 1; i <= slice; i++)
      {
        p->requests[i % RETRY_POOL_SLICES] = 0;
        p->repeats[i % RETRY_POOL_SLICES] = 0;
      }
  p->slice = slice;
}

static uint32_t
sum (const uint32_t *slices)
{
  uint32_t n = 0;

  for (int i = 0; i < RETRY_POOL_SLICES; i++)
    n += slices[i];
  return n;
}

void
retry_pool_request (RetryPool *p, const RetryLimits *limits, int64_t now_ms)
{
  advance (p, limits, now_ms);
  p->requests[p->slice % RETRY_POOL_SLICES]++;
}

bool
retry_pool_take (RetryPool *p, const RetryLimits *limits, int hosts, int64_t now_ms)
{
  double room;

  advance (p, limits, now_ms);
  room = USED_SHARE
         * (limits->ratio * sum (p->requests) + limits->allowance / (hosts > 0 ? hosts : 1));
  if (sum (p->repeats) + 1 > room)
    return false;
  p->repeats[p->slice % RETRY_POOL_SLICES]++;
  return true;
}
