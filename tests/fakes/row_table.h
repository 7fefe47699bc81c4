/** @file
 * An in-memory table of versioned rows with atomic transactions, which works like the platform's store. */
#pragma once

#include <glib.h>

#include "store/store.h"

typedef struct RowTable RowTable;

/** A row; with a NULL value the tombstone of a deleted one. */
typedef struct
{
  char *table;
  char *partition;
  char *name;
  char *value;
  size_t len;
  int64_t version;
} TableRow;

/** @return a talloc object under @p ctx. */
RowTable *row_table_new (const void *ctx);

int64_t row_table_version (const RowTable *table);

/** @return the version up to which the history has been compacted. */
int64_t row_table_compacted_version (const RowTable *table);

/** Compacts the history up to the current version. */
void row_table_compact (RowTable *table);

/** @return false if a check fails; then nothing is written. */
bool row_table_apply (RowTable *table, const StoreTxn *txn);

/** @return the row or its tombstone, or NULL. */
const TableRow *row_table_find (const RowTable *table, const StoreKey *key);

/** @return the row's version for a StoreCheck: 0 if the row does not exist. */
int64_t row_table_row_version (const RowTable *table, const StoreKey *key);

/** @return a copy under @p ctx. */
RowTable *row_table_copy (const void *ctx, const RowTable *table);

/** @return the existing rows of a partition whose names are not less than @p from (NULL: all), sorted by name. Free
 * with g_ptr_array_free(). */
GPtrArray *row_table_range (const RowTable *table, const char *table_name, const char *partition,
                            const char *from);

/** @return the rows and tombstones of a table that are newer than a version, sorted by version. Free with
 * g_ptr_array_free(). */
GPtrArray *row_table_changes (const RowTable *table, const char *table_name, int64_t after_version);
