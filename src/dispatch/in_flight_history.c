#include "dispatch/in_flight_history.h"

void
in_flight_history_set (InFlightHistory *h, int count, int64_t now_ms)
{
  int64_t slot = now_ms / IN_FLIGHT_SLOT_MS;
  int16_t last = h->counts[h->newest % IN_FLIGHT_SLOTS];
  int64_t from = h->newest + 1;

  if (slot < h->newest)
    slot = h->newest;
  if (from < slot - IN_FLIGHT_SLOTS)
    from = slot - IN_FLIGHT_SLOTS;
  for (int64_t i = from; i < slot; i++)
    h->counts[i % IN_FLIGHT_SLOTS] = last;
  h->counts[slot % IN_FLIGHT_SLOTS] = (int16_t)(count < INT16_MAX ? count : INT16_MAX);
  h->newest = slot;
}

int
in_flight_history_at (const InFlightHistory *h, int64_t at_ms)
{
  int64_t slot = at_ms / IN_FLIGHT_SLOT_MS;

  if (slot > h->newest)
    slot = h->newest;
  if (slot <= h->newest - IN_FLIGHT_SLOTS)
    slot = h->newest - IN_FLIGHT_SLOTS + 1;
  return h->counts[(slot > 0 ? slot : 0) % IN_FLIGHT_SLOTS];
}
