/** @file
 * Whether this host has room for the connections of more clients. Idle connections are closed when others come, so that only those
 * with open requests count. It has none shortly before all connections that it may have are in use, so that the balancer
 * sends clients elsewhere before they wait, and again only with room to spare. No locks: one thread. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  size_t max_connections;
  bool is_full;
} ConnectionRoom;

/** @param in_use connections with an open request. @return whether there is room. */
bool connection_room_update (ConnectionRoom *room, size_t in_use);
