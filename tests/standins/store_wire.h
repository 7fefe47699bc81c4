/** @file
 * Parsing of requests and encoding of responses for the store stand-in's row API. */
#pragma once

#include <jansson.h>

#include "fakes/row_table.h"

typedef struct
{
  const char *table;
  const char *partition;
  const char *from; /* name of the first row; NULL: the first one of the partition */
  size_t limit;
  int64_t after_version;
  int64_t wait_ms;
} StoreQuery;

typedef struct
{
  json_t *json; /* owns the strings of txn */
  StoreTxn txn;
} StoreTxnBody;

/** Parses the query string of @p target. @return a talloc object under @p ctx. */
StoreQuery *store_wire_parse_query (const void *ctx, const char *target);

/** Parses the body of a transaction. @return a talloc object under @p ctx, or NULL if it is no JSON object. */
StoreTxnBody *store_wire_parse_txn (const void *ctx, const char *text, size_t len);

/** @return the response to a range or feed request. */
json_t *store_wire_rows_response (const RowTable *table, const GPtrArray *rows, bool has_more);

/** @return the response to a transaction whose checks failed: the current rows of all checks. */
json_t *store_wire_conflict_response (const RowTable *table, const StoreTxn *txn);
