#include "store_wire.h"

#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#define DEFAULT_LIMIT 500

static char *
parameter (const void *ctx, const char *target, const char *name)
{
  const char *at = strchr (target, '?');
  size_t len = strlen (name);

  while (at && *at)
    {
      at++;
      if (!strncmp (at, name, len) && at[len] == '=')
        {
          size_t n = strcspn (at + len + 1, "&");
          char *plain = g_uri_unescape_segment (at + len + 1, at + len + 1 + n, NULL);
          char *copy = talloc_strdup (ctx, plain ? plain : "");

          g_free (plain);
          return copy;
        }
      at = strchr (at, '&');
    }
  return NULL;
}

static int64_t
number (const void *ctx, const char *target, const char *name, int64_t fallback)
{
  char *text = parameter (ctx, target, name);

  return text ? strtoll (text, NULL, 10) : fallback;
}

StoreQuery *
store_wire_query (const void *ctx, const char *target)
{
  StoreQuery *q = talloc_zero (ctx, StoreQuery);

  q->table = parameter (q, target, "table");
  q->part = parameter (q, target, "part");
  q->from = parameter (q, target, "from");
  if (!q->table)
    q->table = "";
  if (!q->part)
    q->part = "";
  q->limit = (size_t)number (q, target, "limit", DEFAULT_LIMIT);
  q->after = number (q, target, "after_revision", 0);
  q->wait_ms = number (q, target, "wait_ms", 0);
  return q;
}

static const char *
text_of (const json_t *json, const char *name)
{
  const char *text = json_string_value (json_object_get (json, name));

  return text ? text : "";
}

static StoreKey
read_key (const json_t *json)
{
  return (StoreKey){ text_of (json, "table"), text_of (json, "part"), text_of (json, "key") };
}

static StoreWrite
read_write (const void *ctx, const json_t *json, bool remove)
{
  StoreWrite write = { .key = read_key (json) };
  gsize len = 0;
  guchar *bytes;

  if (remove)
    return write;
  bytes = g_base64_decode (text_of (json, "value"), &len);
  write.value = talloc_memdup (ctx, bytes, len + 1);
  write.len = len;
  g_free (bytes);
  return write;
}

static int
body_destroy (StoreTxnBody *body)
{
  json_decref (body->json);
  return 0;
}

StoreTxnBody *
store_wire_txn (const void *ctx, const char *text, size_t len)
{
  StoreTxnBody *body = talloc_zero (ctx, StoreTxnBody);
  const json_t *checks;
  const json_t *puts;
  const json_t *drops;
  StoreCheck *check_list;
  StoreWrite *write_list;

  talloc_set_destructor (body, body_destroy);
  body->json = json_loadb (text, len, 0, NULL);
  if (!json_is_object (body->json))
    {
      talloc_free (body);
      return NULL;
    }
  checks = json_object_get (body->json, "expected_revision");
  puts = json_object_get (body->json, "set_keys");
  drops = json_object_get (body->json, "removals");
  check_list = talloc_array (body, StoreCheck, json_array_size (checks) + 1);
  write_list
      = talloc_array (body, StoreWrite, json_array_size (puts) + json_array_size (drops) + 1);
  body->txn.checks = check_list;
  body->txn.writes = write_list;
  for (size_t i = 0; i < json_array_size (checks); i++)
    {
      const json_t *check = json_array_get (checks, i);

      check_list[body->txn.n_checks++]
          = (StoreCheck){ read_key (check),
                          json_integer_value (json_object_get (check, "version_number")) };
    }
  for (size_t i = 0; i < json_array_size (puts); i++)
    write_list[body->txn.n_writes++] = read_write (body, json_array_get (puts, i), false);
  for (size_t i = 0; i < json_array_size (drops); i++)
    write_list[body->txn.n_writes++] = read_write (body, json_array_get (drops, i), true);
  return body;
}

static json_t *
row_json (const char *table, const char *part, const char *name, const TableRow *row)
{
  json_t *json = json_pack ("{s:s,s:s,s:s}", "table", table, "part", part, "key", name);
  char *text;

  if (!row || !row->value)
    {
      json_object_set_new (json, "tombstone", json_true ());
      json_object_set_new (json, "version_number", json_integer (row ? row->version : 0));
      return json;
    }
  text = g_base64_encode ((const guchar *)row->value, row->len);
  json_object_set_new (json, "value", json_string (text));
  json_object_set_new (json, "version_number", json_integer (row->version));
  g_free (text);
  return json;
}

json_t *
store_wire_rows (const RowTable *table, const GPtrArray *rows, bool more)
{
  json_t *list = json_array ();

  for (guint i = 0; i < rows->len; i++)
    {
      const TableRow *row = rows->pdata[i];

      json_array_append_new (list, row_json (row->table, row->partition, row->name, row));
    }
  return json_pack ("{s:o,s:b,s:I}", "rows", list, "has_more", more, "version_number",
                    (json_int_t)row_table_version (table));
}

json_t *
store_wire_checked (const RowTable *table, const StoreTxn *txn)
{
  json_t *list = json_array ();

  for (size_t i = 0; i < txn->n_checks; i++)
    {
      const StoreKey *key = &txn->checks[i].key;
      const TableRow *row = row_table_find (table, key);
      json_t *json = row_json (key->table, key->partition, key->name, row);

      if (row && !row->value)
        json_object_set_new (json, "version_number", json_integer (0));
      json_array_append_new (list, json);
    }
  return json_pack ("{s:o,s:I}", "rows", list, "version_number",
                    (json_int_t)row_table_version (table));
}
