#include "dispatch/service_room.h"

#include <math.h>

/* A report is used up to this age: after it, most of the requests that it counted have ended. */
#define REPORT_USABLE_MS 2000

/* Of one request in the moving average. */
#define HOLD_WEIGHT 0.05

/* A request that waits for more than this share of its time in a queue leaves too little for being served. */
#define LATE_SHARE 0.5

/* Fewer servers say nothing of the others. */
#define AMPLE_KNOWN 3
#define AMPLE_SHARE 0.5

/* Single servers that end are found by one failure each. */
#define MANY_FAILURES     3
#define FAILURE_MEMORY_MS 1000.0

static double
faded_failures (const LostServers *lost, int64_t now_ms)
{
  return lost->failures * exp (-(double)(now_ms - lost->failed_ms) / FAILURE_MEMORY_MS);
}

void
lost_servers_add (LostServers *lost, int64_t now_ms)
{
  lost->failures = faded_failures (lost, now_ms) + 1;
  lost->failed_ms = now_ms;
}

bool
lost_servers_are_many (const LostServers *lost, int64_t now_ms)
{
  return lost->failures > 0 && faded_failures (lost, now_ms) >= MANY_FAILURES;
}

static bool
is_known (const Server *s, int64_t now_ms)
{
  if (s->slots <= 0)
    return false;
  if (s->in_flight >= s->slots)
    return true;
  return s->load.observed_ms > 0 && now_ms - s->load.observed_ms < REPORT_USABLE_MS;
}

/* Load of all hosts changes within a second, and the estimate of other hosts' requests fades with the age of the report. */
#define REPORT_FRESH_MS 500

static bool
is_fresh (const Server *s, int64_t now_ms)
{
  return s->slots > 0 && s->load.observed_ms > 0 && now_ms - s->load.observed_ms < REPORT_FRESH_MS;
}

static double
requests_at (const Server *s, int64_t now_ms)
{
  return s->in_flight + server_other_requests (s, now_ms);
}

double
service_room_wait_ms (const Server *s, double hold_ms, int64_t now_ms)
{
  double ahead;

  if (!is_known (s, now_ms))
    return 0;
  ahead = requests_at (s, now_ms) + 1 - s->slots;
  return ahead > 0 ? ahead * hold_ms / s->slots : 0;
}

RoomFit
service_room_fit (const Server *s, double hold_ms, int64_t target_ms, int64_t left_ms,
                  int64_t now_ms)
{
  double wait_ms = service_room_wait_ms (s, hold_ms, now_ms);

  if (!is_known (s, now_ms))
    return ROOM_UNKNOWN;
  if (target_ms <= 0 || wait_ms <= (double)target_ms)
    return ROOM_AT_ONCE;
  return wait_ms <= LATE_SHARE * (double)left_ms ? ROOM_LATE : ROOM_NONE;
}

void
service_room_add (ServiceRoom *room, const Server *s, int64_t now_ms)
{
  double requests = requests_at (s, now_ms);

  room->servers++;
  if (!is_fresh (s, now_ms))
    return;
  room->known++;
  room->places += s->slots;
  room->taken += requests < s->slots ? requests : s->slots;
  room->waiting += requests > s->slots ? requests - s->slots : 0;
}

double
service_room_mean_hold (double hold_ms, double ms)
{
  return hold_ms > 0 ? hold_ms + HOLD_WEIGHT * (ms - hold_ms) : ms;
}

bool
service_room_is_ample (const ServiceRoom *room)
{
  return room->known >= AMPLE_KNOWN && room->waiting < 1
         && room->taken < AMPLE_SHARE * room->places;
}
