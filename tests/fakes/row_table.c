#include "fakes/row_table.h"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>

struct RowTable
{
  GHashTable *rows; /* TableRow by "table\npartition\nname", tombstones included */
  int64_t version;
  int64_t compacted_version;
};

static char *
row_id (const StoreKey *key)
{
  return g_strdup_printf ("%s\n%s\n%s", key->table, key->partition, key->name);
}

static TableRow *
find (const RowTable *t, const StoreKey *key)
{
  char *id = row_id (key);
  TableRow *row = g_hash_table_lookup (t->rows, id);

  g_free (id);
  return row;
}

static int
table_destroy (RowTable *t)
{
  g_hash_table_unref (t->rows);
  return 0;
}

RowTable *
row_table_new (const void *ctx)
{
  RowTable *t = talloc_zero (ctx, RowTable);

  t->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  t->version = 1;
  talloc_set_destructor (t, table_destroy);
  return t;
}

int64_t
row_table_version (const RowTable *t)
{
  return t->version;
}

int64_t
row_table_compacted_version (const RowTable *t)
{
  return t->compacted_version;
}

void
row_table_compact (RowTable *t)
{
  t->compacted_version = t->version;
}

const TableRow *
row_table_find (const RowTable *t, const StoreKey *key)
{
  return find (t, key);
}

int64_t
row_table_row_version (const RowTable *t, const StoreKey *key)
{
  const TableRow *row = find (t, key);

  return row && row->value ? row->version : 0;
}

static void
write_row (RowTable *t, const StoreWrite *write)
{
  TableRow *row = find (t, &write->key);

  if (!row)
    {
      row = talloc_zero (t, TableRow);
      row->table = talloc_strdup (row, write->key.table);
      row->partition = talloc_strdup (row, write->key.partition);
      row->name = talloc_strdup (row, write->key.name);
      g_hash_table_insert (t->rows, row_id (&write->key), row);
    }
  TALLOC_FREE (row->value);
  if (write->value)
    {
      row->value = talloc_zero_size (row, write->len + 1);
      memcpy (row->value, write->value, write->len);
    }
  row->len = write->len;
  row->version = t->version;
}

RowTable *
row_table_copy (const void *ctx, const RowTable *t)
{
  RowTable *copy = row_table_new (ctx);
  GHashTableIter iter;
  gpointer value;

  copy->compacted_version = t->compacted_version;
  g_hash_table_iter_init (&iter, t->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const TableRow *row = value;
      StoreWrite write = { { row->table, row->partition, row->name }, row->value, row->len };

      copy->version = row->version;
      write_row (copy, &write);
    }
  copy->version = t->version;
  return copy;
}

bool
row_table_apply (RowTable *t, const StoreTxn *txn)
{
  for (size_t i = 0; i < txn->n_checks; i++)
    if (row_table_row_version (t, &txn->checks[i].key) != txn->checks[i].version)
      return false;
  t->version++;
  for (size_t i = 0; i < txn->n_writes; i++)
    write_row (t, &txn->writes[i]);
  return true;
}

static int
by_name (const void *a, const void *b)
{
  return strcmp ((*(TableRow *const *)a)->name, (*(TableRow *const *)b)->name);
}

static int
by_version (const void *a, const void *b)
{
  int64_t x = (*(TableRow *const *)a)->version;
  int64_t y = (*(TableRow *const *)b)->version;

  return x < y ? -1 : x > y;
}

GPtrArray *
row_table_range (const RowTable *t, const char *table_name, const char *partition, const char *from)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, t->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TableRow *row = value;

      if (!strcmp (row->table, table_name) && !strcmp (row->partition, partition) && row->value
          && (!from || strcmp (row->name, from) >= 0))
        g_ptr_array_add (list, row);
    }
  if (list->len > 0)
    qsort (list->pdata, list->len, sizeof (gpointer), by_name);
  return list;
}

GPtrArray *
row_table_changes (const RowTable *t, const char *table_name, int64_t after_version)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, t->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TableRow *row = value;

      if (!strcmp (row->table, table_name) && row->version > after_version)
        g_ptr_array_add (list, row);
    }
  if (list->len > 0)
    qsort (list->pdata, list->len, sizeof (gpointer), by_version);
  return list;
}
