#include "fleet/registry.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core/log.h"

/* Each host writes and reads once in this time, or in a large fleet once in ROUND_MS_PER_HOST for each host:
 * what a host reads then stays the same a second, however many rows there are. More often for the first
 * rounds, when hosts that start together do not see each other yet. */
/* Hosts whose rows were lost when the store went back have written them again by then. */
#define WRITTEN_AGAIN_MS 3000

#define ROUND_MS          8000
#define ROUND_MS_PER_HOST 100
#define FIRST_ROUND_MS    1500
#define FIRST_ROUNDS      3

/* A row that has not changed for this many rounds belongs to a host that is gone. */
#define LIFETIME_ROUNDS 3

#define LIST_ROWS 500

typedef struct
{
  char *name;
  char *peers;
  char *data_centre;
  uint64_t incarnation;
  int64_t version;
  int64_t changed_ms;
  bool gone; /* its row is still there, but nobody writes it */
} Seen;

struct Registry
{
  RegistryOptions options;
  GHashTable *seen; /* by host */
  RegistryHost *hosts;
  size_t n_hosts;
  int rounds;
  bool leaving;
  bool changed; /* since the last list */
  StoreEraListener listener;
  int64_t back_ms; /* when the store last went back; 0: never */
};

static void
free_seen (gpointer data)
{
  Seen *seen = data;

  g_free (seen->name);
  g_free (seen->peers);
  g_free (seen->data_centre);
  g_free (seen);
}

static int64_t
round_ms (const Registry *r)
{
  int64_t ms = (int64_t)r->n_hosts * ROUND_MS_PER_HOST;

  return ms > ROUND_MS ? ms : ROUND_MS;
}

static void
forget_old (Registry *r, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->seen);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Seen *seen = value;

      if (seen->gone || now - seen->changed_ms <= LIFETIME_ROUNDS * round_ms (r))
        continue;
      seen->gone = true;
      r->changed = true;
    }
}

static Seen *
add_seen (Registry *r, const char *name)
{
  Seen *seen = g_new0 (Seen, 1);

  seen->name = g_strdup (name);
  g_hash_table_insert (r->seen, seen->name, seen);
  return seen;
}

static uint64_t
incarnation_of (const json_t *json)
{
  return (uint64_t)json_integer_value (json_object_get (json, "incarnation"));
}

/* @return whether the text is another one than before. */
static bool
take_text (char **text, const json_t *json, const char *name)
{
  const char *now = json_string_value (json_object_get (json, name));

  if (!now)
    now = "";
  if (*text && !strcmp (*text, now))
    return false;
  g_free (*text);
  *text = g_strdup (now);
  return true;
}

static void
note_row (Registry *r, const StoreRow *row, int64_t now)
{
  Seen *seen = g_hash_table_lookup (r->seen, row->key.name);
  json_t *json;

  if (seen && seen->version == row->version)
    return;
  json = registry_row_read (row);
  if (json && !seen)
    seen = add_seen (r, row->key.name);
  if (json)
    {
      r->changed |= take_text (&seen->peers, json, "peers");
      r->changed |= take_text (&seen->data_centre, json, "data_centre");
    }
  if (json && seen->incarnation != incarnation_of (json))
    {
      seen->incarnation = incarnation_of (json);
      r->changed = true;
    }
  if (seen)
    {
      r->changed |= seen->gone;
      seen->gone = false;
      seen->version = row->version;
      seen->changed_ms = now;
    }
  json_decref (json);
}

/* A row that is gone was withdrawn by its host. */
static void
forget_withdrawn (Registry *r, const StoreReply *reply)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->seen);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bool found = false;

      for (size_t i = 0; i < reply->n_rows && !found; i++)
        found = !strcmp (reply->rows[i].key.name, ((Seen *)value)->name);
      if (found)
        continue;
      g_hash_table_iter_remove (&iter);
      r->changed = true;
    }
}

/* Rows that were written since the copy are missing until their hosts write them again. */
static bool
is_complete (const Registry *r, const StoreReply *reply, int64_t now)
{
  return !reply->has_more && (r->back_ms == 0 || now - r->back_ms >= WRITTEN_AGAIN_MS);
}

static void
list_hosts (Registry *r)
{
  GHashTableIter iter;
  gpointer value;
  size_t before = r->n_hosts;

  talloc_free (r->hosts);
  r->hosts = talloc_array (r, RegistryHost, g_hash_table_size (r->seen) + 1);
  r->n_hosts = 0;
  g_hash_table_iter_init (&iter, r->seen);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Seen *seen = value;

      if (seen->gone)
        continue;
      r->hosts[r->n_hosts++]
          = (RegistryHost){ seen->name, seen->peers, seen->data_centre, seen->incarnation };
    }
  r->changed = false;
  log_event (LOG_LEVEL_NOTICE, "fleet", "hosts", "hosts=%zu before=%zu", r->n_hosts, before);
  r->options.changed (r->options.data);
}

static void
on_list (void *data, const StoreReply *reply)
{
  Registry *r = data;
  int64_t now = timers_now_ms (r->options.timers);

  if (reply->result != STORE_DONE)
    return;
  for (size_t i = 0; i < reply->n_rows; i++)
    note_row (r, &reply->rows[i], now);
  if (is_complete (r, reply, now))
    forget_withdrawn (r, reply);
  forget_old (r, now);
  if (r->changed)
    list_hosts (r);
}

static void
on_written (void *data, const StoreReply *reply)
{
  Registry *r = data;
  StoreRange range = { .table = REGISTRY_TABLE, .partition = "", .limit = LIST_ROWS };

  if (reply->result == STORE_DONE && !r->leaving)
    store_range (r->options.store, r, &range, on_list, r);
}

static void
announce (Registry *r)
{
  char value[400];
  StoreKey key = { REGISTRY_TABLE, "", r->options.host };
  int len = snprintf (value, sizeof value,
                      "{\"incarnation\":%" PRIu64
                      ",\"data_centre\":\"%s\",\"operators\":\"%s\",\"peers\":\"%s\",\"round\":%d}",
                      r->options.incarnation, r->options.data_centre, r->options.operators,
                      r->options.peers, r->rounds);
  StoreWrite write = { key, value, (size_t)len };
  StoreTxn txn = { .writes = &write, .n_writes = 1 };

  store_txn (r->options.store, r, &txn, on_written, r);
}

static void
on_round (void *data)
{
  Registry *r = data;
  int64_t delay = r->rounds < FIRST_ROUNDS ? FIRST_ROUND_MS : round_ms (r);

  if (r->leaving)
    return;
  announce (r);
  r->rounds++;
  timers_start (r->options.timers, r,
                delay * 3 / 4 + (int64_t)rng_below (r->options.rng, (uint64_t)delay / 2), on_round,
                r);
}

static void
on_left (void *data, const StoreReply *reply)
{
  (void)data;
  (void)reply;
}

void
registry_leave (Registry *r)
{
  StoreWrite write = { { REGISTRY_TABLE, "", r->options.host }, NULL, 0 };
  StoreTxn txn = { .writes = &write, .n_writes = 1 };

  if (r->leaving)
    return;
  r->leaving = true;
  store_txn (r->options.store, r, &txn, on_left, r);
}

json_t *
registry_row_read (const StoreRow *row)
{
  json_t *json = json_loadb (row->value ? row->value : "", row->len, 0, NULL);

  if (json_is_string (json_object_get (json, "operators")))
    return json;
  json_decref (json);
  return NULL;
}

const RegistryHost *
registry_hosts (const Registry *r, size_t *n)
{
  *n = r->n_hosts;
  return r->hosts;
}

static void
on_went_back (void *data, int64_t era)
{
  Registry *r = data;
  GHashTableIter iter;
  gpointer value;

  (void)era;
  r->back_ms = timers_now_ms (r->options.timers);
  g_hash_table_iter_init (&iter, r->seen);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Seen *)value)->version = 0;
  if (!r->leaving)
    announce (r);
}

static int
registry_destroy (Registry *r)
{
  list_remove (&r->listener.node);
  g_hash_table_unref (r->seen);
  return 0;
}

Registry *
registry_new (const void *ctx, const RegistryOptions *options)
{
  Registry *r = talloc_zero (ctx, Registry);

  r->options = *options;
  r->options.host = talloc_strdup (r, options->host);
  r->options.data_centre = talloc_strdup (r, options->data_centre);
  r->options.operators = talloc_strdup (r, options->operators);
  r->options.peers = talloc_strdup (r, options->peers);
  r->seen = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_seen);
  r->listener = (StoreEraListener){ .restored = on_went_back, .data = r };
  store_era_subscribe (&options->store->era, &r->listener);
  talloc_set_destructor (r, registry_destroy);
  timers_start (options->timers, r, 0, on_round, r);
  return r;
}
