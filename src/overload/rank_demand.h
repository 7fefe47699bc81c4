/** @file
 * The order in which the requests of a service are admitted when there is too little room, and the work that was lately
 * offered at each rank. What is admitted are the first ranks, up to the admission level. No clock; lock "overload". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#define PRIORITIES 10 /* 0 is the most urgent */

/** How a request stands to the share of its client account. */
typedef enum
{
  SHARE_WITHIN,
  SHARE_BEYOND,    /* behind the others of equal priority */
  SHARE_FAR_BEYOND /* a flood: behind all others */
} ShareStanding;

/** Priorities of a request: that of its account, if it has one, goes before that of its route. */
typedef struct
{
  int first;  /* of the account, or of the route if the account has none */
  int second; /* of the route */
} RequestPriority;

/** Ranks of a pair of priorities: within the share of the account, the same of a client that has been refused before, beyond the
 * share. A client that returns is late already, so that others lose more. */
#define RANKS_OF_A_PRIORITY 3
#define RANKS               (PRIORITIES * PRIORITIES * RANKS_OF_A_PRIORITY + 1)

/** @return from 0, which is admitted first, to RANKS - 1. */
int rank_of (RequestPriority priority, ShareStanding share, bool returned);

/** @return the urgency to state to an engine, from 0 to 9, in the same order as far as ten steps can tell. */
int urgency_of (RequestPriority priority);

/** All zero: nothing was offered. */
typedef struct
{
  double work[RANKS];
  int64_t updated_ms;
} RankDemand;

/** A request comes that needs @p work, in any unit. */
void rank_demand_add (RankDemand *demand, int rank, double work, int64_t now_ms);

/** @return the probability with which a request of this rank is to be admitted at @p level. A part of each rank but the last is
 * always admitted, so that no kind of request starves. */
double rank_demand_chance (const RankDemand *demand, int rank, double level);
