#include "ticket/ticket_objects.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core/log.h"

#define KEY_HASH_PREFIX "sha256:"

/* Servers are drained this long before a planned stop. It is the longest deadline that clients usually
 * set, so that requests in flight can complete before the stop. */
#define STOP_DRAIN_LEAD_MS 60000

#define CALL_MAX_ATTEMPTS 2

struct TicketObjects
{
  GHashTable *rows; /* json_t by row name */
};

bool
ticket_head_parse (const char *text, size_t len, TicketHead *head)
{
  json_t *json = json_loadb (text ? text : "", len, 0, NULL);
  json_int_t seq;
  json_int_t ticket;
  bool ok = json && !json_unpack (json, "{s:I,s:I}", "seq", &seq, "ticket", &ticket);

  if (ok)
    *head = (TicketHead){ seq, ticket };
  json_decref (json);
  return ok;
}

static void
unref_json (gpointer json)
{
  json_decref (json);
}

static int
objects_destroy (TicketObjects *o)
{
  g_hash_table_unref (o->rows);
  return 0;
}

TicketObjects *
ticket_objects_new (const void *ctx)
{
  TicketObjects *o = talloc_zero (ctx, TicketObjects);

  o->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, unref_json);
  talloc_set_destructor (o, objects_destroy);
  return o;
}

bool
ticket_objects_set (TicketObjects *o, const char *row, const char *text, size_t len)
{
  json_t *json = json_loadb (text ? text : "", len, 0, NULL);

  if (!json_is_integer (json_object_get (json, "ticket")))
    {
      log_event (LOG_LEVEL_ERR, "ticket", "row_unreadable", "row=%s", row);
      json_decref (json);
      return false;
    }
  g_hash_table_insert (o->rows, g_strdup (row), json);
  return true;
}

int64_t
ticket_objects_last_ticket (const TicketObjects *o, const char *row)
{
  return json_integer_value (json_object_get (g_hash_table_lookup (o->rows, row), "ticket"));
}

const json_t *
ticket_objects_value (const TicketObjects *o, const char *type, const char *name)
{
  char *row = g_strdup_printf (TICKET_OBJECT_PREFIX "%s/%s", type, name);
  const json_t *value = json_object_get (g_hash_table_lookup (o->rows, row), "value");

  g_free (row);
  return json_is_object (value) ? value : NULL;
}

typedef void (*ObjectFn) (void *data, const json_t *value);

/* Calls @p fn for each object of the type that has not been removed. */
static void
for_each_object (const TicketObjects *o, const char *type, ObjectFn fn, void *data)
{
  char *prefix = g_strdup_printf (TICKET_OBJECT_PREFIX "%s/", type);
  GHashTableIter iter;
  gpointer name;
  gpointer row;

  g_hash_table_iter_init (&iter, o->rows);
  while (g_hash_table_iter_next (&iter, &name, &row))
    {
      const json_t *value = json_object_get (row, "value");

      if (g_str_has_prefix (name, prefix) && json_is_object (value))
        fn (data, value);
    }
  g_free (prefix);
}

static const char *
string_member (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text ? text : "";
}

static int64_t
integer_member (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

typedef struct
{
  const char *account;
  const char *except;
  const char *found;
} BudgetSearch;

static void
match_other_budget (void *data, const json_t *budget)
{
  BudgetSearch *s = data;

  if (!strcmp (string_member (budget, "account"), s->account)
      && strcmp (string_member (budget, "name"), s->except) != 0)
    s->found = string_member (budget, "name");
}

const char *
ticket_objects_other_budget (const TicketObjects *o, const char *account, const char *except)
{
  BudgetSearch search = { account, except, NULL };

  for_each_object (o, "budget", match_other_budget, &search);
  return search.found;
}

/* --- Catalog ----------------------------------------------------------------------------- */

typedef struct
{
  const TicketObjects *objects;
  CatalogBuilder *builder;
  const char *account; /* account whose budget is looked up */
  Tokens limit;
  bool found;
} CatalogBuild;

static void
match_account_budget (void *data, const json_t *budget)
{
  CatalogBuild *b = data;

  if (strcmp (string_member (budget, "account"), b->account) != 0)
    return;
  b->limit = integer_member (budget, "limit");
  b->found = true;
}

static bool
parse_key_hash (const char *text, uint8_t digest[CATALOG_DIGEST_BYTES])
{
  size_t prefix = strlen (KEY_HASH_PREFIX);

  if (!text || strlen (text) != prefix + 2 * CATALOG_DIGEST_BYTES)
    return false;
  for (size_t i = 0; i < CATALOG_DIGEST_BYTES; i++)
    {
      unsigned byte;

      if (sscanf (text + prefix + 2 * i, "%2x", &byte) != 1)
        return false;
      digest[i] = (uint8_t)byte;
    }
  return true;
}

static void
add_account (void *data, const json_t *json)
{
  CatalogBuild *b = data;
  const json_t *keys = json_object_get (json, "keys");
  CatalogAccount account = { .name = string_member (json, "name"),
                             .priority = 9 - (int)integer_member (json, "priority") };
  const CatalogAccount *added;

  b->account = account.name;
  b->found = false;
  for_each_object (b->objects, "budget", match_account_budget, b);
  account.has_budget = b->found;
  account.budget = b->found ? b->limit : 0;
  added = catalog_add_account (b->builder, &account);
  for (size_t i = 0; i < json_array_size (keys); i++)
    {
      uint8_t digest[CATALOG_DIGEST_BYTES];

      if (parse_key_hash (json_string_value (json_array_get (keys, i)), digest))
        catalog_add_key (b->builder, added, digest);
    }
}

static void
add_call (CatalogBuild *b, const CatalogService *service, const json_t *call)
{
  char *path
      = g_strdup_printf ("/v1/pools/%s%s", service->name, string_member (call, "path_prefix"));
  CatalogTarget target = { service, 1 };
  CatalogRoute route
      = { .name = service->name,
          .host = "",
          .path_prefix = path,
          .method = string_member (call, "method"),
          .kind = json_is_true (json_object_get (call, "idempotent")) ? CALL_IDEMPOTENT
                                                                      : CALL_NON_IDEMPOTENT,
          .max_attempts = CALL_MAX_ATTEMPTS,
          .price = integer_member (call, "price"),
          .targets = &target,
          .n_targets = 1 };

  catalog_add_route (b->builder, &route);
  g_free (path);
}

static void
add_pool (void *data, const json_t *json)
{
  CatalogBuild *b = data;
  const json_t *calls = json_object_get (json, "call");
  const char *model = string_member (json, "model");
  bool is_engine = strcmp (string_member (json, "kind"), "model") == 0;
  CatalogService service = { .name = string_member (json, "name"), .is_engine = is_engine };
  const CatalogService *added;

  if (is_engine)
    service.model = model[0] ? model : service.name;
  added = catalog_add_service (b->builder, &service);
  for (size_t i = 0; i < json_array_size (calls); i++)
    add_call (b, added, json_array_get (calls, i));
}

const Catalog *
ticket_objects_build_catalog (const TicketObjects *o, int64_t seq)
{
  CatalogBuild b = { .objects = o, .builder = catalog_builder_new (NULL, seq) };

  for_each_object (o, "account", add_account, &b);
  for_each_object (o, "pool", add_pool, &b);
  return catalog_finish (b.builder);
}

/* --- Servers ----------------------------------------------------------------------------- */

typedef struct
{
  const TicketObjects *objects;
  int64_t wall_ms;
  void (*fn) (void *data, const ServerRecord *record);
  void *data;
  const char *pool;
  const char *server;
  const char *data_centre;
  bool stop_planned; /* a planned stop of the server is in progress or close */
} ServerVisit;

static bool
contains_name (const json_t *names, const char *name)
{
  for (size_t i = 0; i < json_array_size (names); i++)
    if (!strcmp (json_string_value (json_array_get (names, i)), name))
      return true;
  return false;
}

static void
check_planned_stop (void *data, const json_t *stop)
{
  ServerVisit *s = data;

  if (s->wall_ms < integer_member (stop, "starts") - STOP_DRAIN_LEAD_MS
      || s->wall_ms >= integer_member (stop, "ends"))
    return;
  if (!strcmp (string_member (stop, "data_centre"), s->data_centre)
      || contains_name (json_object_get (stop, "servers"), s->server))
    s->stop_planned = true;
}

static void
visit_server (ServerVisit *s, const json_t *json)
{
  ServerRecord record = { .id = string_member (json, "name"),
                          .service = s->pool,
                          .address = string_member (json, "address"),
                          .data_centre = string_member (json, "data_centre"),
                          .version = "",
                          .slots = (int)integer_member (json, "max_in_flight"),
                          .draining = json_is_true (json_object_get (json, "leaving")) };

  s->server = record.id;
  s->data_centre = record.data_centre;
  s->stop_planned = false;
  for_each_object (s->objects, "stop", check_planned_stop, s);
  record.draining |= s->stop_planned;
  s->fn (s->data, &record);
}

static void
visit_pool (void *data, const json_t *json)
{
  ServerVisit *s = data;
  const json_t *servers = json_object_get (json, "server");

  s->pool = string_member (json, "name");
  for (size_t i = 0; i < json_array_size (servers); i++)
    visit_server (s, json_array_get (servers, i));
}

void
ticket_objects_each_server (const TicketObjects *o, int64_t wall_ms,
                            void (*fn) (void *data, const ServerRecord *record), void *data)
{
  ServerVisit s = { .objects = o, .wall_ms = wall_ms, .fn = fn, .data = data };

  for_each_object (o, "pool", visit_pool, &s);
}
