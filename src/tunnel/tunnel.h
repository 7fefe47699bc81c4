/** @file
 * One tunnel: a connection of another host, which names a backend server in a CONNECT request, joined to a connection to that
 * server. Bytes are passed on unchanged in both directions. The other host reads the end of its connection only after the server
 * has closed the other one in order; everything else, the end of this process included, resets it. Control loop only. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"
#include "core/loop.h"
#include "http/client.h"

typedef struct Tunnel Tunnel;

typedef struct
{
  Loop *loop;
  /** @return the status with which the request for a server is answered: 200 to open a connection to it. */
  int (*check) (void *data, const char *server_address);
  void *data;
} TunnelOptions;

/** Reads the request from @p fd, which the tunnel owns from now on. It frees itself when one side closes, or nothing has
 * passed for too long. @param list the tunnel is in it while it exists.
 * @return a talloc object under @p ctx. */
Tunnel *tunnel_new (const void *ctx, const TunnelOptions *options, int fd, List *list);

/** @return whether a request may be open on the tunnel: it is being opened, the server has not answered yet, or something has
 * passed a moment ago. */
bool tunnel_is_busy (const Tunnel *tunnel, int64_t now_ms);
