/** @file
 * Which backend servers this host reaches directly, and over which other host it reaches the rest. A host may lose the path
 * to some or all servers while everything else still works; "the servers are down" and "this host is cut off" then
 * look alike, so that only another host's try tells them apart. Holds no socket and reads no clock. Any thread. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catalog/region_set.h"

/** Including the terminating NUL. */
#define REACH_ADDRESS_BYTES 64

typedef struct Reach Reach;

/** How far another host is from this one; nearer hosts are asked first. */
typedef enum
{
  REACH_SAME_DATA_CENTRE,
  REACH_SAME_REGION,
  REACH_REMOTE
} ReachDistance;

/** Another host that opens connections for this one. */
typedef struct
{
  const char *name;
  const char *address; /* "IP:port" of its tunnels (tunnel/tunnel_server.h) */
  const char *data_centre;
  const char *region; /* NULL: unknown */
  ReachDistance distance;
} ReachHelper;

/** The way that a connection to a server takes. */
typedef struct
{
  char server[REACH_ADDRESS_BYTES];
  char helper[REACH_ADDRESS_BYTES]; /* address; empty: directly */
} ReachRoute;

typedef enum
{
  REACH_CONNECTED,
  REACH_NO_CONNECTION,  /* to the next hop, the server or the helper: it refuses, or says nothing */
  REACH_HELPER_REFUSES, /* it is cut off from all servers itself, full, or about to end */
  REACH_SERVER_UNREACHABLE /* the helper has tried in vain, or knows that it would */
} ReachResult;

typedef struct
{
  const char *host; /* name of this one */
  /** reach_next_probe() has something new. Any thread, without a lock. May be NULL. */
  void (*probe_wanted) (void *data);
  void *data;
} ReachOptions;

/** @return a talloc object under @p ctx. */
Reach *reach_new (const void *ctx, const ReachOptions *options);

/** Replaces the list of hosts that may help; without this one. */
void reach_set_helpers (Reach *reach, const ReachHelper *helpers, size_t n);

/** Chooses the way of a request to the server at @p address. @param regions only helpers in these, as the request passes
 * through them; NULL: in any. Without one that is allowed, the way is direct. */
ReachRoute reach_choose (Reach *reach, const char *address, const RegionSet *regions,
                         int64_t now_ms);

/** The server has answered over the route. @param is_new the connection was opened for the request. */
void reach_answered (Reach *reach, const ReachRoute *route, bool is_new, int64_t now_ms);

/** No connection to the server came about. */
void reach_failed (Reach *reach, const ReachRoute *route, ReachResult result, int64_t now_ms);

/** What this host knows of its own way to a server. */
typedef enum
{
  REACH_VIEW_DIRECT,     /* nothing speaks against a direct connection */
  REACH_VIEW_CUT_OFF,    /* it can't connect to this server */
  REACH_VIEW_CUT_OFF_ALL /* nor, by all that it knows, to any other */
} ReachView;

ReachView reach_view (Reach *reach, const char *address, int64_t now_ms);

/** @return true if a connection is to be tried over @p route, without a request, and reach_probed() to be called with the
 * result: over another host, because a direct one has failed; or directly, to a server that is reached over others. */
bool reach_next_probe (Reach *reach, ReachRoute *route, int64_t now_ms);

void reach_probed (Reach *reach, const ReachRoute *route, ReachResult result, int64_t now_ms);

/** @return the number of servers that are reached over other hosts only. */
size_t reach_n_cut_off (Reach *reach);
