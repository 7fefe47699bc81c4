/** @file
 * Interface of the sources of the configuration and of the list of backend servers: the users' platform, or the
 * rows of the ticket table in the store (ticket/ticket_source.h). Control loop only. */
#pragma once

#include "catalog/catalog.h"
#include "core/rng.h"
#include "core/timers.h"
#include "dispatch/server_record.h"
#include "store/store.h"

typedef struct ConfigSource ConfigSource;

typedef struct
{
  /** A new configuration. The callee takes ownership of the reference. */
  void (*catalog) (void *data, const Catalog *catalog);
  /** A server was published or its record has changed. */
  void (*server) (void *data, const ServerRecord *record);
  /** A server is no longer published, or was not before. @p grace_ms 0: its owner has removed it. Otherwise its row may
   * only have expired in an outage of the store, or another program has overwritten it with one that cannot be read: its owner
   * may write it again for so long. */
  void (*server_removed) (void *data, const char *id, int64_t grace_ms);
  /** The operator evacuates a data centre: its servers must get no new requests until this is called again with
   * @p evacuated false. May be NULL. */
  void (*data_centre_evacuated) (void *data, const char *data_centre, bool evacuated);
} ConfigSourceEvents;

typedef struct
{
  Store *store;
  Timers *timers;
  Rng *rng;
  int64_t config_wait_ms; /* duration of one long poll for configuration changes */
  const ConfigSourceEvents *events;
  void *data;
} ConfigSourceOptions;

typedef struct
{
  /** @return true once the configuration and all servers have been read. */
  bool (*is_synced) (const ConfigSource *source);
  /** Sets how many hosts use the same tables, to adapt the polling rate. May be NULL. */
  void (*set_host_count) (ConfigSource *source, int hosts);
} ConfigSourceOps;

struct ConfigSource
{
  const ConfigSourceOps *ops;
};

static inline bool
config_source_is_synced (const ConfigSource *source)
{
  return source->ops->is_synced (source);
}

static inline void
config_source_set_host_count (ConfigSource *source, int hosts)
{
  if (source->ops->set_host_count)
    source->ops->set_host_count (source, hosts);
}
