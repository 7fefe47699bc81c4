#include "budget/budget_rows.h"

#include <inttypes.h>
#include <stdio.h>

#include <jansson.h>

#include "core/json_integer.h"

/* A quarter of the type's range, so that a sum or difference of a few cannot overflow. */
static const IntegerRange AMOUNTS = { INT64_MIN / 4, INT64_MAX / 4 };
static const IntegerRange ANY_INTEGER = { INT64_MIN, INT64_MAX };

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
read_integer (const json_t *json, const char *name, IntegerRange range, int64_t *value)
{
  return json_integer_read (json_object_get (json, name), range, value);
}

/* Rows written by earlier releases lack some members; they read as 0. */
static bool
read_optional (const json_t *json, const char *name, int64_t *value)
{
  *value = 0;
  return !json_object_get (json, name) || read_integer (json, name, AMOUNTS, value);
}

bool
budget_row_decode (const StoreRow *stored, BudgetRow *row)
{
  json_t *json = json_loadb (stored->value ? stored->value : "", stored->len, 0, NULL);
  bool ok = read_integer (json, "granted", AMOUNTS, &row->granted)
            && read_integer (json, "limit", AMOUNTS, &row->limit)
            && read_integer (json, "limit_version", ANY_INTEGER, &row->limit_version)
            && read_optional (json, "era", &row->era)
            && read_optional (json, "base_era", &row->base_era)
            && read_optional (json, "parent", &row->parent)
            && read_optional (json, "base_parent", &row->base_parent)
            && read_optional (json, "base_granted", &row->base_granted)
            && read_optional (json, "put_back_ms", &row->reconcile_start_ms);

  json_decref (json);
  return ok;
}

bool
budget_host_row_decode (const StoreRow *stored, BudgetHostRow *row)
{
  json_t *json = json_loadb (stored->value ? stored->value : "", stored->len, 0, NULL);
  int64_t incarnation = 0;
  int64_t seq = 0;
  bool ok = read_integer (json, "incarnation", ANY_INTEGER, &incarnation)
            && read_integer (json, "seq", ANY_INTEGER, &seq)
            && read_integer (json, "granted", AMOUNTS, &row->granted)
            && read_integer (json, "spent", AMOUNTS, &row->spent);

  row->incarnation = (uint64_t)incarnation;
  row->seq = (uint64_t)seq;
  json_decref (json);
  return ok;
}
