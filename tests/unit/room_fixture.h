/** @file
 * The room for responses of a worker in tests that are not about it. */
#pragma once

#include "relay/response_room.h"

#define ROOM_FIXTURE_BYTES ((size_t)1 << 20)

/** @return a talloc object under @p ctx. */
static inline ResponseRoom *
room_fixture_new (const void *ctx, Timers *timers)
{
  ResponseRoomOptions options = { .timers = timers,
                                  .limit_bytes = ROOM_FIXTURE_BYTES,
                                  .account_limit_bytes = ROOM_FIXTURE_BYTES };

  return response_room_new (ctx, &options);
}
