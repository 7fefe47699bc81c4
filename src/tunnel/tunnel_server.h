/** @file
 * The port on which other hosts ask this one to connect them to backend servers that they don't reach themselves
 * (reach/reach.h). Only hosts of the fleet are served, only servers of the table can be named, and nobody is passed on to a
 * third host. Control loop only. */
#pragma once

#include "core/address.h"
#include "core/loop.h"

typedef struct TunnelServer TunnelServer;

/** What this host can do for another one that asks for a server. */
typedef enum
{
  TUNNEL_CONNECTS,
  TUNNEL_CANNOT_CONNECT, /* it is cut off from that server itself */
  TUNNEL_HELPS_NOBODY    /* it is draining, or cut off from all servers */
} TunnelHelp;

typedef struct
{
  Loop *loop;
  const char *listen; /* "IP:port" */
  size_t max_tunnels;
  /** @return whether the connection comes from a host of the fleet. */
  bool (*is_host) (void *data, const Address *peer);
  /** @return whether a backend server has this address. */
  bool (*is_server) (void *data, const char *address);
  TunnelHelp (*help) (void *data, const char *address);
  void *data;
} TunnelServerOptions;

/** Opens the port. @return a talloc object under @p ctx, or NULL. */
TunnelServer *tunnel_server_new (const void *ctx, const TunnelServerOptions *options);

uint16_t tunnel_server_port (const TunnelServer *server);

/** Closes the tunnels on which no request can be open. @return the number of the others. */
size_t tunnel_server_close_idle (TunnelServer *server, int64_t now_ms);

/** @return the number of tunnels, those that are being opened included. */
size_t tunnel_server_count (const TunnelServer *server);
