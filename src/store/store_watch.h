/** @file
 * Follows one table: reads it whole, then its feed, and reads it again when history is missing. Control
 * loop only. */
#pragma once

#include "core/rng.h"
#include "core/timers.h"
#include "store/store.h"

typedef struct StoreWatch StoreWatch;

typedef struct
{
  /** A row is new or has changed. */
  void (*changed) (void *data, const StoreRow *row);
  /** A row that was reported is gone. */
  void (*removed) (void *data, const StoreKey *key);
  /** The whole table has been reported once, or again after missing history. */
  void (*synced) (void *data);
} StoreWatchEvents;

typedef struct
{
  Store *store;
  Timers *timers;
  Rng *rng;
  const char *table;
  int64_t wait_ms; /* of one feed call: bounds how long a dead connection goes unnoticed */
  const StoreWatchEvents *events;
  void *data;
} StoreWatchOptions;

/** Starts to follow. @return a talloc object under @p ctx. */
StoreWatch *store_watch_new (const void *ctx, const StoreWatchOptions *options);

/** @return the time of the last answer, or INT64_MIN before the first. */
int64_t store_watch_heard_ms (const StoreWatch *watch);

/** @return since when answers have come without a failure in between; INT64_MAX while they fail. */
int64_t store_watch_steady_since_ms (const StoreWatch *watch);

/** @return true after the first synced event. */
bool store_watch_is_synced (const StoreWatch *watch);
