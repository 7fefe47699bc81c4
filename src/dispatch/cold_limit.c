#include "dispatch/cold_limit.h"

/* Of what the server bears, for the hosts that know each other: as many others may not know of them. */
#define SET_SHARE 0.5

/* Of the part of one set of hosts, what they may send at once; the rest is a rate. In any second they send at most both
 * together. */
#define BURST_SHARE 0.4

/* Longer than the interval of a server's records (1.2 s) and the delay of the watch (0.5 s) together. */
#define DOUBT_MS 3000

/* @return the requests that all sharing hosts together may send in any second. */
static double
requests_of_set (const ColdTolerance *t)
{
  return SET_SHARE * (t->requests_per_s * t->overshoot + t->slack);
}

/* @return the number of hosts that share them. Each may send at least one request at once. */
static int
n_sharing (const ColdTolerance *t, int hosts)
{
  double n = BURST_SHARE * requests_of_set (t);

  return n < hosts ? (int)n : hosts;
}

static int64_t
end_ms (const ColdLimit *l)
{
  return l->until_ms > l->doubted_ms ? l->until_ms : l->doubted_ms;
}

bool
cold_limit_is_cold (const ColdLimit *l, int64_t now_ms)
{
  return now_ms < end_ms (l);
}

/* A host that has just started, or learned that the server is cold, has nothing in hand: its last process may have used it. */
static void
begin_if_warm (ColdLimit *l, int64_t now_ms)
{
  if (cold_limit_is_cold (l, now_ms))
    return;
  l->tokens = 0;
  l->refilled_ms = now_ms;
}

void
cold_limit_set (ColdLimit *l, int64_t ms, int64_t now_ms)
{
  if (ms > 0)
    begin_if_warm (l, now_ms);
  l->until_ms = ms > 0 ? now_ms + ms : 0;
}

void
cold_limit_doubt (ColdLimit *l, int64_t now_ms)
{
  begin_if_warm (l, now_ms);
  l->doubted_ms = now_ms + DOUBT_MS;
}

bool
cold_limit_has_room (ColdLimit *l, const ColdTolerance *t, int rank, int hosts, int64_t now_ms)
{
  int n = n_sharing (t, hosts);
  double elapsed_s = (double)(now_ms - l->refilled_ms) / 1000;
  double burst;

  l->limited = t->requests_per_s > 0 && t->overshoot > 0;
  if (!cold_limit_is_cold (l, now_ms) || !l->limited)
    return true;
  l->refilled_ms = now_ms;
  if (rank < 0 || rank >= n)
    {
      l->tokens = 0;
      return false;
    }
  burst = BURST_SHARE * requests_of_set (t) / n;
  if (elapsed_s > 0)
    l->tokens += (1 - BURST_SHARE) * requests_of_set (t) / n * elapsed_s;
  if (l->tokens > burst)
    l->tokens = burst;
  return l->tokens >= 1;
}

void
cold_limit_take (ColdLimit *l, int64_t now_ms)
{
  if (cold_limit_is_cold (l, now_ms) && l->tokens >= 1)
    l->tokens -= 1;
}
