/** @file
 * The JSON of the store's calls, as the stand-in reads and writes it. */
#pragma once

#include <jansson.h>

#include "fakes/row_table.h"

typedef struct
{
  const char *table;
  const char *part;
  const char *from; /* NULL: from the start */
  size_t limit;
  int64_t after;
  int64_t wait_ms;
} StoreQuery;

typedef struct
{
  json_t *json; /* the strings of txn belong to it */
  StoreTxn txn;
} StoreTxnBody;

/** Reads the query of a call. @return a talloc object under @p ctx. */
StoreQuery *store_wire_query (const void *ctx, const char *target);

/** Reads a transaction. @return a talloc object under @p ctx, or NULL. */
StoreTxnBody *store_wire_txn (const void *ctx, const char *text, size_t len);

/** @return the answer that holds these rows. */
json_t *store_wire_rows (const RowTable *table, const GPtrArray *rows, bool more);

/** @return the answer to a transaction whose checks do not hold. */
json_t *store_wire_checked (const RowTable *table, const StoreTxn *txn);
