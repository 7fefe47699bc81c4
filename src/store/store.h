/** @file
 * The platform's durable table of rows, as the parts of a host use it. Adapters and fakes implement the
 * vtable. A row has a version, which grows with every write to it. Every call and callback is on the
 * control loop's thread; no callback comes from inside the call that started it. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store/store_era.h"

typedef struct Store Store;
typedef struct StoreCall StoreCall;

/** Rows of one part of a table can be changed in one transaction. */
typedef struct
{
  const char *table;
  const char *part; /* may be "" */
  const char *name;
} StoreKey;

typedef struct
{
  StoreKey key;
  int64_t version; /* 0: there is no such row */
  const char *value;
  size_t len;
  bool removed;
} StoreRow;

/** Holds if the row has this version; 0 if it does not exist. */
typedef struct
{
  StoreKey key;
  int64_t version;
} StoreCheck;

typedef struct
{
  StoreKey key;
  const char *value; /* NULL removes the row */
  size_t len;
} StoreWrite;

/** All writes are made if all checks hold, else none. */
typedef struct
{
  const StoreCheck *checks;
  size_t n_checks;
  const StoreWrite *writes;
  size_t n_writes;
  bool several_parts;
} StoreTxn;

typedef struct
{
  const char *table;
  const char *part;
  const char *from; /* the first name; NULL from the start */
  size_t limit;
} StoreRange;

typedef struct
{
  const char *table;
  int64_t after_version;
  int64_t wait_ms; /* for a change, if there is none yet */
} StoreFeed;

typedef enum
{
  STORE_DONE,
  STORE_CONFLICT, /* a check did not hold; the rows are those of the checks as they are now */
  STORE_REFUSED,  /* nothing was done */
  /* No answer, or one over a change of the store's era: done, not done, or done later if the checks still
   * hold then. */
  STORE_UNKNOWN,
  STORE_HISTORY_GONE /* a feed: changes are missing, read the table again */
} StoreResult;

/** Valid during the callback. */
typedef struct
{
  StoreResult result;
  const StoreRow *rows;
  size_t n_rows;
  int64_t version; /* of the store at the answer; with STORE_DONE that of the rows written */
  int64_t time_ms; /* of the store's steady clock at the answer; 0: not stated */
  bool has_more;   /* a range: more rows follow the last one */
  const char *detail;
} StoreReply;

typedef void (*StoreFn) (void *data, const StoreReply *reply);

typedef struct
{
  StoreCall *(*txn) (Store *store, const void *ctx, const StoreTxn *txn, StoreFn fn, void *data);
  StoreCall *(*range) (Store *store, const void *ctx, const StoreRange *range, StoreFn fn,
                       void *data);
  StoreCall *(*feed) (Store *store, const void *ctx, const StoreFeed *feed, StoreFn fn, void *data);
} StoreOps;

struct Store
{
  const StoreOps *ops;
  StoreEra era;
};

/** Each starts a call. @return a talloc object under @p ctx; freeing it drops the callback, not what
 * the store may do. It frees itself after the callback. */
static inline StoreCall *
store_txn (Store *store, const void *ctx, const StoreTxn *txn, StoreFn fn, void *data)
{
  return store->ops->txn (store, ctx, txn, fn, data);
}

static inline StoreCall *
store_range (Store *store, const void *ctx, const StoreRange *range, StoreFn fn, void *data)
{
  return store->ops->range (store, ctx, range, fn, data);
}

static inline StoreCall *
store_feed (Store *store, const void *ctx, const StoreFeed *feed, StoreFn fn, void *data)
{
  return store->ops->feed (store, ctx, feed, fn, data);
}

/** @return a word for logs and counters. */
const char *store_result_name (StoreResult result);
