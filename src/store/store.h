/** @file
 * Client interface of the shared durable key-value store. Adapters and fakes implement the vtable. The version
 * of a row increases with every write to it. All calls and callbacks run on the control loop's thread; a
 * callback is never invoked from inside the call that started the request. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "store/store_era.h"

typedef struct Store Store;
typedef struct StoreCall StoreCall;

/** A transaction writes rows of a single partition of a table unless it sets cross_partition. */
typedef struct
{
  const char *table;
  const char *partition; /* may be "" */
  const char *name;
} StoreKey;

typedef struct
{
  StoreKey key;
  int64_t version; /* 0: the row does not exist */
  const char *value;
  size_t len;
  bool removed; /* the row was deleted */
} StoreRow;

/** Precondition: the row has this version, or does not exist if the version is 0. */
typedef struct
{
  StoreKey key;
  int64_t version;
} StoreCheck;

typedef struct
{
  StoreKey key;
  const char *value; /* NULL deletes the row */
  size_t len;
} StoreWrite;

/** Atomic: all writes are applied if every check holds, otherwise none. */
typedef struct
{
  const StoreCheck *checks;
  size_t n_checks;
  const StoreWrite *writes;
  size_t n_writes;
  bool cross_partition;
} StoreTxn;

typedef struct
{
  const char *table;
  const char *partition;
  const char *from; /* first name, inclusive; NULL: from the start of the partition */
  size_t limit;
} StoreRange;

typedef struct
{
  const char *table;
  int64_t after_version;
  int64_t wait_ms; /* long poll: how long the store may wait for a change */
  int64_t late_ms; /* beyond that, the reply is waited for so much longer; 0: as for other calls */
} StoreFeed;

typedef enum
{
  STORE_DONE,
  STORE_CONFLICT, /* a check failed; the reply has the current rows of the checks */
  STORE_REFUSED,  /* the request was not executed */
  /* No reply, or the store was restored from a backup during the call (store_era.h): the transaction may have
   * been applied or not, or may be applied later if its checks hold then. */
  STORE_UNKNOWN,
  STORE_HISTORY_GONE /* feed only: changes were compacted; read the whole table again */
} StoreResult;

/** Valid only during the callback. */
typedef struct
{
  StoreResult result;
  const StoreRow *rows;
  size_t n_rows;
  int64_t version;    /* of the store at the reply; after a commit, of the written rows */
  int64_t time_ms;    /* the store's monotonic clock at the reply; 0: not sent */
  bool no_connection; /* the attempt to connect was not answered in time */
  bool has_more;      /* range only: there are more rows than the limit */
  const char
      *last_name; /* of the last row of the reply, even if it was left out; NULL: as rows says */
  const char *detail; /* for the log; may be NULL */
} StoreReply;

/** @return the name after which the next page of a range begins; NULL if the reply has no row. */
static inline const char *
store_reply_last_name (const StoreReply *reply)
{
  if (reply->last_name)
    return reply->last_name;
  return reply->n_rows > 0 ? reply->rows[reply->n_rows - 1].key.name : NULL;
}

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

/** These functions start a call. @return a talloc object under @p ctx. It frees itself after the callback.
 * Freeing it earlier cancels the callback, but the store may still execute the request. */
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

/** @return the name used in logs and metric labels. */
const char *store_result_name (StoreResult result);
