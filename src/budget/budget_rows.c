#include "budget/budget_rows.h"

#include <inttypes.h>
#include <stdio.h>

#include <jansson.h>

size_t
budget_row_encode (const BudgetRow *row, char text[BUDGET_ROW_BYTES])
{
  int n = snprintf (text, BUDGET_ROW_BYTES,
                    "{\"granted\":%" PRId64 ",\"limit\":%" PRId64 ",\"limit_version\":%" PRId64,
                    row->granted, row->limit, row->limit_version);

  if (row->era > 0)
    n += snprintf (text + n, BUDGET_ROW_BYTES - (size_t)n,
                   ",\"era\":%" PRId64 ",\"base_era\":%" PRId64 ",\"parent\":%" PRId64
                   ",\"base_parent\":%" PRId64 ",\"base_granted\":%" PRId64
                   ",\"put_back_ms\":%" PRId64,
                   row->era, row->base_era, row->parent, row->base_parent, row->base_granted,
                   row->reconcile_start_ms);
  n += snprintf (text + n, BUDGET_ROW_BYTES - (size_t)n, "}");

  return (size_t)n;
}

size_t
budget_host_row_encode (const BudgetHostRow *row, char text[BUDGET_ROW_BYTES])
{
  int n = snprintf (text, BUDGET_ROW_BYTES,
                    "{\"incarnation\":%" PRIu64 ",\"seq\":%" PRIu64 ",\"granted\":%" PRId64
                    ",\"spent\":%" PRId64 "}",
                    row->incarnation, row->seq, row->granted, row->spent);

  return (size_t)n;
}

static bool
read_integer (const json_t *json, const char *name, int64_t *value)
{
  const json_t *member = json_object_get (json, name);

  if (!json_is_integer (member))
    return false;
  *value = json_integer_value (member);
  return true;
}

bool
budget_row_decode (const StoreRow *stored, BudgetRow *row)
{
  json_t *json = json_loadb (stored->value ? stored->value : "", stored->len, 0, NULL);
  bool ok = read_integer (json, "granted", &row->granted)
            && read_integer (json, "limit", &row->limit)
            && read_integer (json, "limit_version", &row->limit_version);

  /* Rows written by earlier releases lack these members; they read as 0. */
  row->era = json_integer_value (json_object_get (json, "era"));
  row->base_era = json_integer_value (json_object_get (json, "base_era"));
  row->parent = json_integer_value (json_object_get (json, "parent"));
  row->base_parent = json_integer_value (json_object_get (json, "base_parent"));
  row->base_granted = json_integer_value (json_object_get (json, "base_granted"));
  row->reconcile_start_ms = json_integer_value (json_object_get (json, "put_back_ms"));
  json_decref (json);
  return ok;
}

bool
budget_host_row_decode (const StoreRow *stored, BudgetHostRow *row)
{
  json_t *json = json_loadb (stored->value ? stored->value : "", stored->len, 0, NULL);
  int64_t incarnation = 0;
  int64_t seq = 0;
  bool ok = read_integer (json, "incarnation", &incarnation) && read_integer (json, "seq", &seq)
            && read_integer (json, "granted", &row->granted)
            && read_integer (json, "spent", &row->spent);

  row->incarnation = (uint64_t)incarnation;
  row->seq = (uint64_t)seq;
  json_decref (json);
  return ok;
}
