#include "dispatch/connection_share.h"

#include <stdint.h>

/* Percentage of a server's connection limit that is divided among the known hosts; the rest is left for hosts
 * that have joined but are not counted yet. */
#define USED_PERCENT 85

/* A host with fewer connections to a server opens a new one too often. */
#define MIN_CONNECTIONS 2

static int
total_connections (int limit)
{
  int total = (int)((int64_t)limit * USED_PERCENT / 100);

  return total > 0 ? total : 1;
}

int
connection_share_of_each (int limit, int hosts)
{
  int share;

  if (limit <= 0)
    return INT32_MAX;
  share = total_connections (limit) / hosts;
  return share >= MIN_CONNECTIONS ? share : 0;
}

int
connection_share_of_few (int limit, int rank)
{
  int total = total_connections (limit);

  if (rank < 0)
    return 1;
  if (total < MIN_CONNECTIONS)
    return rank == 0 ? total : 0;
  return rank < total / MIN_CONNECTIONS ? MIN_CONNECTIONS : 0;
}
