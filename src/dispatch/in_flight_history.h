/** @file
 * How many requests this host had in flight at one server, over the last second. A report of the server's load counts
 * them in, and it may come from another host some time after it was made. No state but the struct; lock "dispatch". */
#pragma once

#include <stdint.h>

#define IN_FLIGHT_SLOT_MS 125
#define IN_FLIGHT_SLOTS   8

typedef struct
{
  int16_t counts[IN_FLIGHT_SLOTS]; /* at the end of each slot; by the slot's number */
  int64_t newest;                  /* number of the slot of the last change */
} InFlightHistory;

/** Records that @p count requests are in flight from now on. */
void in_flight_history_set (InFlightHistory *history, int count, int64_t now_ms);

/** @return the requests that were in flight at @p at_ms, with the accuracy of a slot; before the oldest slot, what was
 * in flight in that one. */
int in_flight_history_at (const InFlightHistory *history, int64_t at_ms);
