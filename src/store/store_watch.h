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
  /** All rows of one answer have been reported; rows of one transaction come in one answer. May be
   * NULL. */
  void (*settled) (void *data);
} StoreWatchEvents;

typedef struct
{
  Store *store;
  Timers *timers;
  Rng *rng;
  const char *table;
  const StoreWatchEvents *events;
  void *data;
} StoreWatchOptions;

/** Starts to follow. @return a talloc object under @p ctx. */
StoreWatch *store_watch_new (const void *ctx, const StoreWatchOptions *options);

/** @return whether answers have come without a failure for long enough that a row which goes has been
 * removed by its writer. */
bool store_watch_is_steady (const StoreWatch *watch);

/** @return true once the whole table has been reported. */
bool store_watch_is_synced (const StoreWatch *watch);
