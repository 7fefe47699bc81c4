/** @file
 * Watches the rows of one table that are in the empty partition: reads all of them, then follows the table's change
 * feed, and reads all of them again if the feed has lost history. It also does so after the store was restored from a
 * backup. A row of the backup is then reported only if its version is higher than the one reported before; a row
 * written after this read began is always reported.
 * Control loop only. */
#pragma once

#include "core/rng.h"
#include "core/timers.h"
#include "store/store.h"

#define STORE_WATCH_DEFAULT_LONG_POLL_MS 1000

typedef struct StoreWatch StoreWatch;

typedef struct
{
  /** A row was added or has changed. */
  void (*changed) (void *data, const StoreRow *row);
  /** A row that was reported before was removed. */
  void (*removed) (void *data, const StoreKey *key);
  /** All rows of a full read or of one feed reply were reported. Rows of one transaction come in one reply. May
   * be NULL. */
  void (*batch_done) (void *data);
} StoreWatchEvents;

typedef struct
{
  Store *store;
  Timers *timers;
  Rng *rng;
  const char *table;
  /** Duration of one long poll. A dead connection is noticed only when a poll on it times out, so later with a
   * longer wait. 0: STORE_WATCH_DEFAULT_LONG_POLL_MS. */
  int64_t wait_ms;
  /** The values of the rows have a version of their own, by which the event handlers detect stale rows. All rows
   * are then reported again after a restore. */
  bool rows_have_own_version;
  const StoreWatchEvents *events;
  void *data;
} StoreWatchOptions;

/** Starts the watch. @return a talloc object under @p ctx. */
StoreWatch *store_watch_new (const void *ctx, const StoreWatchOptions *options);

/** Sets the delay between a reply with changes and the next poll. Changes made during the delay come in one
 * reply. */
void store_watch_set_poll_delay (StoreWatch *watch, int64_t delay_ms);

/** Asked as a row was removed. @return 0 if calls have succeeded for so long that its owner has removed it. Otherwise it may have
 * expired in an outage of the store, whose end is not known better than by the first call that succeeded: the time in
 * which its owner still may write it again, ms. */
int64_t store_watch_removal_grace_ms (const StoreWatch *watch);

/** Asked as a row has changed. @return whether the row is newer than the one that was reported under its name before. Within an era
 * of the store it always is; the first one after a restore may have been written over a copy by a call that is older. */
bool store_watch_order_is_known (const StoreWatch *watch);

/** @return true once the first full read is complete. */
bool store_watch_is_synced (const StoreWatch *watch);
