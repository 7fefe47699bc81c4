/** @file
 * The hosts of the fleet, by a row that each of them keeps in the store. Nothing depends on it but the
 * shares in common limits. Control loop only. */
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
  const char *operators; /* "IP:port" */
  const char *peers;     /* "IP:port"; "" if this host does not listen */
  uint64_t incarnation;
  /** The hosts have changed; see registry_hosts(). */
  void (*changed) (void *data);
  void *data;
} RegistryOptions;

/** Announces this host and starts to read the others. @return a talloc object under @p ctx. */
Registry *registry_new (const void *ctx, const RegistryOptions *options);

/** Reads a host's row. @return JSON with "incarnation", "data_centre", "operators" and "peers", or NULL. */
json_t *registry_row_read (const StoreRow *row);

/** Withdraws this host's row. */
void registry_leave (Registry *registry);

typedef struct
{
  const char *name;
  const char *peers; /* "IP:port" or "" */
  const char *data_centre;
  uint64_t incarnation;
} RegistryHost;

/** @return the hosts that have announced themselves lately, this one included once it has; valid until
 * the next change. */
const RegistryHost *registry_hosts (const Registry *registry, size_t *n);
