/** @file
 * Versioned rows in memory with atomic transactions, as the platform's store has them. */
#pragma once

#include <glib.h>

#include "store/store.h"

typedef struct RowTable RowTable;

/** A row, or with a NULL value the mark that one was removed. */
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

/** Changes up to this version are forgotten. */
int64_t row_table_history_from (const RowTable *table);

/** Forgets the changes up to now. */
void row_table_compact (RowTable *table);

/** @return false if a check does not hold; then nothing is written. */
bool row_table_apply (RowTable *table, const StoreTxn *txn);

/** @return the row, removed or not, or NULL. */
const TableRow *row_table_find (const RowTable *table, const StoreKey *key);

/** @return the version to check for: 0 if the row does not exist. */
int64_t row_table_version_of (const RowTable *table, const StoreKey *key);

/** @return a copy under @p ctx. */
RowTable *row_table_copy (const void *ctx, const RowTable *table);

/** @return rows of a partition from a name on, by name; free it with g_ptr_array_free(). */
GPtrArray *row_table_range (const RowTable *table, const char *name, const char *partition,
                            const char *from);

/** @return rows of a table that were written or removed after a version, by version. */
GPtrArray *row_table_changes (const RowTable *table, const char *name, int64_t after);
