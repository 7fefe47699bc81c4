#include "entry/connection_room.h"

/* Percentages of the connections that a host may have. */
#define FULL_ABOVE_PCT 95
#define ROOM_BELOW_PCT 85

bool
connection_room_update (ConnectionRoom *r, size_t in_use)
{
  size_t limit_pct = r->is_full ? ROOM_BELOW_PCT : FULL_ABOVE_PCT;

  r->is_full = in_use * 100 >= r->max_connections * limit_pct;
  return !r->is_full;
}
