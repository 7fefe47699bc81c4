/** @file
 * An in-memory store under virtual time. Each host has its own client, with settings for the faults of its calls. */
#pragma once

#include "core/rng.h"
#include "core/timers.h"
#include "store/store.h"

typedef struct FakeStore FakeStore;

/** The store's clock is ahead of the clock of the hosts by this. */
#define FAKE_STORE_CLOCK_OFFSET_MS 50000

/** Violations of the store's guarantees. The soak checks that its invariants detect each of them. */
typedef enum
{
  FAKE_STORE_NO_FAULT,
  FAKE_STORE_IGNORES_CHECKS,   /* applies the writes although a check fails */
  FAKE_STORE_DONE_NOT_WRITTEN, /* replies STORE_DONE but writes nothing */
  FAKE_STORE_REFUSED_WRITTEN,  /* replies STORE_REFUSED but applies the writes */
  FAKE_STORE_N_FAULTS
} FakeStoreFault;

/** The store as one host reaches it. */
typedef struct
{
  Store store;
  FakeStore *owner;
  bool drop_calls;           /* calls do not reach the store and time out */
  bool refuse_calls;         /* calls get STORE_REFUSED and are not executed */
  double lost_reply_rate;    /* share of transactions that are applied without a reply */
  double delayed_apply_rate; /* share that is applied seconds later without a reply */
  int64_t latency_ms;        /* one way */
  int txns;                  /* number of executed calls, by type */
  int reads;
  int feeds;
} FakeStoreClient;

/** @return a talloc object under @p ctx. */
FakeStore *fake_store_new (const void *ctx, Timers *timers, Rng *rng);

/** @return a client, a talloc object under the store. */
FakeStoreClient *fake_store_client_new (FakeStore *store);

/** Makes a small share of the transactions fail in the given way from now on. */
void fake_store_set_fault (FakeStore *store, FakeStoreFault fault);

/** Takes a backup, which replaces an earlier one. From the first one on, replies have an era. */
void fake_store_take_backup (FakeStore *store);

/** Restores the backup and starts the next era. Calls in flight are executed on the restored state. */
void fake_store_restore (FakeStore *store);

/** Compacts the history, so that feeds from an earlier version get STORE_HISTORY_GONE. */
void fake_store_compact (FakeStore *store);

/** Writes a row, or deletes it if @p value is NULL, without a client. */
void fake_store_put (FakeStore *store, const StoreKey *key, const char *value);

size_t fake_store_count (FakeStore *store, const char *table, const char *partition);

/** @return the value of a row, or NULL if it does not exist. */
const char *fake_store_value (FakeStore *store, const StoreKey *key);
