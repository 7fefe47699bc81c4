#include "ticket/ticket_schema.h"

#include <string.h>

#define FIELDS(array) .fields = (array), .n_fields = sizeof (array) / sizeof (array)[0]
#define NAME_FIELD                                                                                 \
  {                                                                                                \
    .key = "name", .kind = FIELD_NAME, .required = true                                            \
  }
#define REMOVE_FIELD                                                                               \
  {                                                                                                \
    .key = "remove", .kind = FIELD_BOOLEAN                                                         \
  }

/* Sums over many budgets stay within 64 bits. */
#define MAX_TOKENS ((int64_t)1 << 53)

static const Field ACCOUNT_FIELDS[] = {
  NAME_FIELD,
  { .key = "keys", .kind = FIELD_KEY_HASHES, .max = 64 },
  { .key = "priority", .kind = FIELD_INTEGER, .min = 0, .max = 9, .default_integer = 5 },
  REMOVE_FIELD,
};
static const Schema ACCOUNT = { FIELDS (ACCOUNT_FIELDS), .exclusive_key = "remove" };

static const Field BUDGET_FIELDS[] = {
  NAME_FIELD,
  { .key = "account", .kind = FIELD_NAME, .required = true },
  { .key = "limit", .kind = FIELD_INTEGER, .required = true, .min = 0, .max = MAX_TOKENS },
  REMOVE_FIELD,
};
static const Schema BUDGET = { FIELDS (BUDGET_FIELDS), .exclusive_key = "remove" };

static const Field SERVER_FIELDS[] = {
  NAME_FIELD,
  { .key = "address", .kind = FIELD_ADDRESS, .required = true },
  { .key = "data_centre", .kind = FIELD_NAME, .required = true },
  { .key = "region", .kind = FIELD_NAME, .required = true },
  { .key = "leaving", .kind = FIELD_BOOLEAN },
  { .key = "max_in_flight", .kind = FIELD_INTEGER, .min = 1, .max = 10000, .default_integer = 64 },
};
static const Schema SERVER = { FIELDS (SERVER_FIELDS) };

static const char *const METHODS[] = { "GET", "POST", "PUT", "PATCH", "DELETE", NULL };

static const Field CALL_FIELDS[] = {
  { .key = "method", .kind = FIELD_CHOICE, .required = true, .choices = METHODS },
  { .key = "path_prefix", .kind = FIELD_PATH, .required = true },
  { .key = "idempotent", .kind = FIELD_BOOLEAN, .required = true },
  { .key = "price", .kind = FIELD_INTEGER, .required = true, .min = 0, .max = MAX_TOKENS },
};
static const Schema CALL = { FIELDS (CALL_FIELDS) };

static const char *const POOL_KINDS[] = { "model", "service", NULL };

static const Field POOL_FIELDS[] = {
  NAME_FIELD,
  { .key = "kind", .kind = FIELD_CHOICE, .required = true, .choices = POOL_KINDS },
  { .key = "model", .kind = FIELD_NAME },
  { .key = "server", .kind = FIELD_TABLES, .schema = &SERVER, .max = 1000 },
  { .key = "call", .kind = FIELD_TABLES, .schema = &CALL, .max = 100 },
  REMOVE_FIELD,
};

static void
check_unique_addresses (const TomlNode *servers, Problems *p)
{
  for (size_t i = 0; servers && i < servers->n_children; i++)
    for (size_t j = 0; j < i; j++)
      if (!strcmp (toml_string (&servers->children[i], "address", ""),
                   toml_string (&servers->children[j], "address", "")))
        problems_add (p, servers->children[i].line, "pool.server.address", "each address once",
                      "same address as server \"%s\"",
                      toml_string (&servers->children[j], "name", ""));
}

static void
check_unique_calls (const TomlNode *calls, Problems *p)
{
  for (size_t i = 0; calls && i < calls->n_children; i++)
    for (size_t j = 0; j < i; j++)
      if (!strcmp (toml_string (&calls->children[i], "method", ""),
                   toml_string (&calls->children[j], "method", ""))
          && !strcmp (toml_string (&calls->children[i], "path_prefix", ""),
                      toml_string (&calls->children[j], "path_prefix", "")))
        problems_add (p, calls->children[i].line, "pool.call", "each method and prefix once",
                      "same call as in line %d", calls->children[j].line);
}

/* Rejects keys that have no effect in a pool of this kind. */
static void
check_keys_of_kind (const TomlNode *pool, Problems *p)
{
  bool model = !strcmp (toml_string (pool, "kind", ""), "model");
  static const char *const SERVICE_KEYS[] = { "call", NULL };
  static const char *const MODEL_KEYS[] = { "model", NULL };

  for (const char *const *k = model ? SERVICE_KEYS : MODEL_KEYS; *k; k++)
    if (toml_get (pool, *k))
      problems_add (p, toml_get (pool, *k)->line, "pool.kind",
                    model ? "kind = \"service\"" : "kind = \"model\"", "\"%s\" has no use here",
                    *k);
}

static void
check_pool (const TomlNode *pool, Problems *p)
{
  check_keys_of_kind (pool, p);
  check_unique_addresses (toml_get (pool, "server"), p);
  check_unique_calls (toml_get (pool, "call"), p);
}
static const Schema POOL = { FIELDS (POOL_FIELDS), .check = check_pool, .exclusive_key = "remove" };

static const Field STOP_FIELDS[] = {
  NAME_FIELD,
  { .key = "data_centre", .kind = FIELD_NAME },
  { .key = "servers", .kind = FIELD_NAMES, .min = 1, .max = 1000 },
  { .key = "starts", .kind = FIELD_TIME, .required = true },
  { .key = "ends", .kind = FIELD_TIME, .required = true },
  REMOVE_FIELD,
};

static void
check_stop (const TomlNode *stop, Problems *p)
{
  if (toml_integer (stop, "ends", 0) <= toml_integer (stop, "starts", 0))
    problems_add (p, toml_get (stop, "ends")->line, "stop.ends", "a time after starts",
                  "the stop ends before it starts");
  if (!toml_get (stop, "data_centre") == !toml_get (stop, "servers"))
    problems_add (p, stop->line, "stop", "either data_centre or servers",
                  "the place of the stop is not clear");
}
static const Schema STOP = { FIELDS (STOP_FIELDS), .check = check_stop, .exclusive_key = "remove" };

const TicketObjectType TICKET_OBJECT_TYPES[] = {
  { "account", &ACCOUNT },
  { "budget", &BUDGET },
  { "pool", &POOL },
  { "stop", &STOP },
};
const size_t TICKET_N_OBJECT_TYPES = sizeof TICKET_OBJECT_TYPES / sizeof TICKET_OBJECT_TYPES[0];

static const Field ROOT_FIELDS[] = {
  { .key = "ticket",
    .kind = FIELD_INTEGER,
    .required = true,
    .min = 1,
    .max = 999999999999 }, /* at most 12 digits; the number is part of a row name */
  { .key = "comment", .kind = FIELD_TEXT, .max = 1000 },
  { .key = "account", .kind = FIELD_TABLES, .schema = &ACCOUNT },
  { .key = "budget", .kind = FIELD_TABLES, .schema = &BUDGET },
  { .key = "pool", .kind = FIELD_TABLES, .schema = &POOL },
  { .key = "stop", .kind = FIELD_TABLES, .schema = &STOP },
};
const Schema TICKET_SCHEMA = { FIELDS (ROOT_FIELDS) };
