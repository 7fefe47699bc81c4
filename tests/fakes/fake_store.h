/** @file
 * The store in memory under virtual time, with one port per host and switches for its faults. */
#pragma once

#include "core/rng.h"
#include "core/timers.h"
#include "store/store.h"

typedef struct FakeStore FakeStore;

/** The store's clock is ahead of the hosts' by this. */
#define FAKE_STORE_CLOCK_OFFSET_MS 50000

/** A store that breaks its promise: what a test of the checks has to catch. */
typedef enum
{
  FAKE_STORE_TRUE,
  FAKE_STORE_IGNORES_CHECKS,   /* writes although a check does not hold */
  FAKE_STORE_DONE_NOT_WRITTEN, /* says done and wrote nothing */
  FAKE_STORE_REFUSED_WRITTEN,  /* says that nothing was done, and wrote */
  FAKE_STORE_LIES
} FakeStoreLie;

/** What one host meets. */
typedef struct
{
  Store store;
  FakeStore *owner;
  bool silent;        /* calls are lost before they reach the store */
  bool refused;       /* calls are refused, nothing is done */
  double lost;        /* share of transactions that are done and not answered */
  double late;        /* share of transactions that are done seconds later and not answered */
  int64_t latency_ms; /* of one way */
  int txns;           /* calls that arrived */
  int reads;
  int feeds;
} FakePort;

/** @return a talloc object under @p ctx. */
FakeStore *fake_store_new (const void *ctx, Timers *timers, Rng *rng);

/** @return a port under the store. */
FakePort *fake_store_port (FakeStore *store);

/** From now on a small share of transactions meets the lie. */
void fake_store_lie (FakeStore *store, FakeStoreLie lie);

/** From now on the store states an era, and keeps a copy of how it is now. */
void fake_store_keep_copy (FakeStore *store);

/** Comes back from the copy, in the next era. Calls on their way meet the store as it is then. */
void fake_store_go_back (FakeStore *store);

/** Forgets changes up to now, so that feeds from before fail with missing history. */
void fake_store_compact (FakeStore *store);

/** Writes or, with NULL, removes a row from outside. */
void fake_store_put (FakeStore *store, const StoreKey *key, const char *value);

/** @return the value of a row, or NULL. */
const char *fake_store_value (FakeStore *store, const StoreKey *key);
