#include "overload/rank_demand.h"

#include <math.h>

#include "core/invariant.h"

/* Long enough for the ranks to be known at a host with a few requests a second, short enough for a surge. */
#define MEMORY_MS 2000.0

/* Each kind of request is to be served at least a quarter as often as all are; what is admitted is not always served. */
#define LEAST_SHARE 0.35

/* Steps of urgency for the priorities of routes within one of accounts. */
#define URGENCY_STEPS 3
#define MAX_URGENCY   9

static bool
is_priority (int n)
{
  return n >= 0 && n < PRIORITIES;
}

int
rank_of (RequestPriority p, ShareStanding share, bool returned)
{
  int place = share == SHARE_BEYOND ? 2 : returned ? 1 : 0;

  INVARIANT ("priority_in_range", is_priority (p.first) && is_priority (p.second),
             "priorities %d, %d", p.first, p.second);
  if (share == SHARE_FAR_BEYOND)
    return RANKS - 1;
  return (p.first * PRIORITIES + p.second) * RANKS_OF_A_PRIORITY + place;
}

int
urgency_of (RequestPriority p)
{
  int second = p.second < 0 ? 0 : p.second < URGENCY_STEPS ? p.second : URGENCY_STEPS - 1;
  int urgency = p.first * URGENCY_STEPS + second;

  return urgency < 0 ? 0 : urgency < MAX_URGENCY ? urgency : MAX_URGENCY;
}

void
rank_demand_add (RankDemand *d, int rank, double work, int64_t now_ms)
{
  double kept = d->updated_ms > 0 ? exp (-(double)(now_ms - d->updated_ms) / MEMORY_MS) : 0;

  for (int i = 0; i < RANKS; i++)
    d->work[i] *= kept;
  d->work[rank] += work;
  d->updated_ms = now_ms;
}

double
rank_demand_chance (const RankDemand *d, int rank, double level)
{
  double least = rank < RANKS - 1 ? LEAST_SHARE * level : 0;
  double before = 0;
  double total = 0;
  double chance;

  for (int i = 0; i < RANKS; i++)
    {
      total += d->work[i];
      before += i < rank ? d->work[i] : 0;
    }
  if (d->work[rank] <= 0)
    return level * total >= before ? 1 : least;
  chance = (level * total - before) / d->work[rank];
  return chance < least ? least : chance > 1 ? 1 : chance;
}
