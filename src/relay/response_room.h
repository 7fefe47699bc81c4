/** @file
 * How many bytes of responses a worker holds for clients: while they are read from servers, and until the clients have taken them. A
 * response that finds no room waits, and its server is read no further meanwhile. Each response claims what it may need as a
 * whole before it is read on, so that those that have begun can end. One client account uses a part of the room at most.
 * Not locked; used on the worker's loop only. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

#include "core/timers.h"

/** So much of each response is read without a claim, so that small ones go on while large ones find no room. */
#define RESPONSE_ROOM_SMALL_BYTES ((size_t)16 << 10)

typedef struct ResponseRoom ResponseRoom;

/** The bytes that one response holds. */
typedef struct RoomClaim RoomClaim;

typedef struct
{
  Timers *timers;
  size_t limit_bytes;         /* of all responses together, beyond the small part of each */
  size_t account_limit_bytes; /* of those of one client account */
} ResponseRoomOptions;

/** @return a talloc object under @p ctx. Its claims must be freed before it. */
ResponseRoom *response_room_new (const void *ctx, const ResponseRoomOptions *options);

/** @return the bytes that are held now. */
size_t response_room_used_bytes (const ResponseRoom *room);

/** @param account NULL: the response belongs to no client account. @param granted called from the loop when room_claim_reserve() has
 * what it asked for, after it returned false.
 * @return a talloc object under @p ctx, which holds nothing yet. Freeing it releases its bytes. */
RoomClaim *room_claim_new (const void *ctx, ResponseRoom *room, const char *account,
                           void (*granted) (void *data), void *data);

/** Makes the claim hold @p bytes, or @p most if that is no small part. @return false if it has to wait. */
bool room_claim_reserve (RoomClaim *claim, size_t bytes, size_t most);

/** No more than @p bytes are needed, and no more will be. The claim waits for nothing, and calls nothing, from now on. */
void room_claim_settle (RoomClaim *claim, size_t bytes);
