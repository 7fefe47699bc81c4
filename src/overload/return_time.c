#include "overload/return_time.h"

#define MIN_RETURN_MS 200

/* Clients honour this part of the time that they have left. */
#define HONOURED_PART 3

/* Deadlines of routes change with their clients. */
#define PERIOD_MS 30000

/* Clients of a route differ in the time that they give. A client that has less than this part of the longest has returned. */
#define FIRST_TRY_PART 0.8

int64_t
return_time_ms (const ReturnInput *in, Rng *rng)
{
  double ms = in->drain_ms > (double)in->short_for_ms ? in->drain_ms : (double)in->short_for_ms;
  double most = (double)in->left_ms / HONOURED_PART;

  if (ms < MIN_RETURN_MS)
    ms = MIN_RETURN_MS;
  if (ms > most)
    ms = most;
  ms *= 0.5 + 0.5 * rng_unit (rng);
  return ms > 1 ? (int64_t)ms : 1;
}

int64_t
route_deadline_add (RouteDeadline *r, int64_t deadline_ms, int64_t now_ms)
{
  int64_t longest;

  if (now_ms - r->period_ms >= PERIOD_MS)
    {
      r->longest_before_ms = now_ms - r->period_ms < 2 * PERIOD_MS ? r->longest_ms : 0;
      r->longest_ms = 0;
      r->period_ms = now_ms;
    }
  if (deadline_ms > r->longest_ms)
    r->longest_ms = deadline_ms;
  longest = r->longest_ms > r->longest_before_ms ? r->longest_ms : r->longest_before_ms;
  return (double)deadline_ms < FIRST_TRY_PART * (double)longest ? longest - deadline_ms : 0;
}
