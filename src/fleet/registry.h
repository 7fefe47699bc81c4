/** @file
 * Membership of the fleet: each host keeps a row in the store and updates it at every heartbeat. It is
 * used only to divide common limits among the hosts, to count the hosts of a data centre and to find the addresses
 * of peers. Control loop only. */
#pragma once

#include <jansson.h>

#include "core/rng.h"
#include "core/timers.h"
#include "store/store.h"

#define REGISTRY_TABLE "hosts"

typedef struct Registry Registry;

typedef struct
{
  Store *store;
  Timers *timers;
  Rng *rng;
  const char *host;
  const char *data_centre;
  const char *operator_address; /* "IP:port" */
  const char *peer_address;     /* "IP:port"; "" if this host does not listen for peers */
  const char *tunnel_address;   /* "IP:port"; "" if it opens no tunnels for other hosts */
  uint64_t incarnation;
  /** Called when the result of registry_hosts() has changed. */
  void (*changed) (void *data);
  void *data;
} RegistryOptions;

/** Starts the heartbeats of this host and the reads of all rows. @return a talloc object under @p ctx. */
Registry *registry_new (const void *ctx, const RegistryOptions *options);

/** Parses the row of a host. @return a new JSON reference, or NULL if "operators" is missing or not a string.
 * "incarnation", "data_centre", "peers" and "tunnels" may be missing. */
json_t *registry_row_parse (const StoreRow *row);

/** Stops the heartbeats and deletes this host's row. */
void registry_deregister (Registry *registry);

typedef struct
{
  const char *name;
  const char *peer_address;   /* "IP:port" or "" */
  const char *tunnel_address; /* "IP:port" or "" */
  const char *data_centre;
  uint64_t incarnation;
} RegistryHost;

/** @return the number of hosts that have sent no heartbeat for long, but may only be cut off from the store: this host
 * has seen heartbeats of them, the last one within an hour, and their rows still exist. */
int registry_silent_hosts (const Registry *registry);

/** @return the hosts whose heartbeats are current, including this one once its row has been read; valid until the
 * next change. */
const RegistryHost *registry_hosts (const Registry *registry, size_t *n);
