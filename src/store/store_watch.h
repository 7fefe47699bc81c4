/** @file
 * Follows one table: reads it whole, then its feed, and reads it again when history is missing. After the store
 * went back it reads the table again as well: rows of the copy are older than what was reported, rows
 * that were written since are not. Control loop only. */
#pragma once

#include "core/rng.h"
#include "core/timers.h"
#include "store/store.h"

#define STORE_WATCH_WAIT_MS 1000

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
  int64_t
      wait_ms; /* of one call for changes, after which a dead connection shows; 0: STORE_WATCH_WAIT_MS */
  bool rows_tell_age; /* what reads the rows knows by itself which of two is newer */
  const StoreWatchEvents *events;
  void *data;
} StoreWatchOptions;

/** Starts to follow. @return a talloc object under @p ctx. */
StoreWatch *store_watch_new (const void *ctx, const StoreWatchOptions *options);

/** From now on the watch asks for the next changes @p pause_ms after the last ones. */
void store_watch_pause (StoreWatch *watch, int64_t pause_ms);

/** @return whether answers have come without a failure for long enough that a row which goes has been
 * removed by its writer. */
bool store_watch_is_steady (const StoreWatch *watch);

/** @return true once the whole table has been reported. */
bool store_watch_is_synced (const StoreWatch *watch);
