#include "fleet/registry.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core/log.h"

/* Time in which hosts rewrite the rows that a restore of the store has lost. */
#define REWRITE_GRACE_MS 3000

/* At each heartbeat a host writes its row and reads all rows. Above the minimum, the interval is
 * proportional to the number of hosts, so that a host reads the same number of rows a second in a fleet of any size.
 * The first heartbeats come sooner, because hosts that start together do not know each other yet. */
#define MIN_HEARTBEAT_MS      8000
#define HEARTBEAT_MS_PER_HOST 100
#define INITIAL_HEARTBEAT_MS  1500
#define INITIAL_HEARTBEATS    3

/* A host whose row has not changed for this many heartbeat intervals is regarded as stopped. */
#define EXPIRY_HEARTBEATS 3

/* A host without heartbeats may be cut off from the store and still serve clients for this long. */
#define SILENT_MS (60 * 60 * 1000)

#define PAGE_ROWS 500

typedef struct
{
  char *name;
  char *peer_address;
  char *tunnel_address;
  char *data_centre;
  uint64_t incarnation;
  int64_t version;
  uint64_t last_read; /* number of the last read that found its row */
  int64_t changed_ms; /* when a change of the row was last read */
  bool renewed;       /* a change of the row was read after the first time */
  bool expired;       /* the row still exists, but the host is regarded as stopped */
  bool silent;        /* expired, but may only be cut off from the store */
} KnownHost;

struct Registry
{
  RegistryOptions options;
  GHashTable *known_hosts; /* KnownHost by host name */
  RegistryHost *hosts;
  size_t n_hosts;
  StoreCall *read_call; /* NULL: no read of the rows in progress */
  char *page_start;     /* first name of the page being read; NULL: the first page */
  uint64_t reads;       /* number of the current or last read */
  int heartbeats;
  bool deregistered;
  bool changed; /* since the host list was last rebuilt */
  StoreEraListener listener;
  int64_t restored_ms; /* when a restore of the store was last noticed; 0: never */
};

static void
free_known_host (gpointer data)
{
  KnownHost *host = data;

  g_free (host->name);
  g_free (host->peer_address);
  g_free (host->tunnel_address);
  g_free (host->data_centre);
  g_free (host);
}

static int64_t
heartbeat_interval_ms (const Registry *r)
{
  int64_t ms = (int64_t)r->n_hosts * HEARTBEAT_MS_PER_HOST;

  return ms > MIN_HEARTBEAT_MS ? ms : MIN_HEARTBEAT_MS;
}

static void
expire_hosts (Registry *r, int64_t now)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->known_hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      KnownHost *host = value;

      int64_t silence_ms = now - host->changed_ms;
      bool expired = silence_ms > EXPIRY_HEARTBEATS * heartbeat_interval_ms (r);
      bool silent = expired && host->renewed && silence_ms < SILENT_MS;

      r->changed |= (expired && !host->expired) || silent != host->silent;
      host->expired |= expired;
      host->silent = silent;
    }
}

static KnownHost *
add_known_host (Registry *r, const char *name)
{
  KnownHost *host = g_new0 (KnownHost, 1);

  host->name = g_strdup (name);
  g_hash_table_insert (r->known_hosts, host->name, host);
  return host;
}

static uint64_t
incarnation_of (const json_t *json)
{
  return (uint64_t)json_integer_value (json_object_get (json, "incarnation"));
}

/* @return true if the text has changed. */
static bool
update_text (char **text, const json_t *json, const char *name)
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
apply_row (Registry *r, const StoreRow *row, int64_t now)
{
  KnownHost *host = g_hash_table_lookup (r->known_hosts, row->key.name);
  json_t *json;

  if (host)
    host->last_read = r->reads;
  if (host && host->version == row->version)
    return;
  json = registry_row_parse (row);
  if (json && !host)
    {
      host = add_known_host (r, row->key.name);
      host->last_read = r->reads;
    }
  if (json)
    {
      r->changed |= update_text (&host->peer_address, json, "peers");
      r->changed |= update_text (&host->tunnel_address, json, "tunnels");
      r->changed |= update_text (&host->data_centre, json, "data_centre");
    }
  if (json && host->incarnation != incarnation_of (json))
    {
      host->incarnation = incarnation_of (json);
      r->changed = true;
    }
  if (host)
    {
      r->changed |= host->expired;
      host->renewed |= host->changed_ms > 0;
      host->expired = false;
      host->silent = false;
      host->version = row->version;
      host->changed_ms = now;
    }
  json_decref (json);
}

/* Removes hosts whose rows are missing: a host deletes its row when it deregisters. */
static void
remove_deregistered (Registry *r)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, r->known_hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((KnownHost *)value)->last_read == r->reads)
        continue;
      g_hash_table_iter_remove (&iter);
      r->changed = true;
    }
}

/* A missing row means that its host has deregistered, unless the store was restored so recently that lost rows may not
 * be rewritten yet. */
static bool
may_remove_missing (const Registry *r, int64_t now)
{
  return r->restored_ms == 0 || now - r->restored_ms >= REWRITE_GRACE_MS;
}

static void
rebuild_host_list (Registry *r)
{
  GHashTableIter iter;
  gpointer value;
  size_t before = r->n_hosts;

  talloc_free (r->hosts);
  r->hosts = talloc_array (r, RegistryHost, g_hash_table_size (r->known_hosts) + 1);
  r->n_hosts = 0;
  g_hash_table_iter_init (&iter, r->known_hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const KnownHost *host = value;

      if (host->expired)
        continue;
      r->hosts[r->n_hosts++] = (RegistryHost){ .name = host->name,
                                               .peer_address = host->peer_address,
                                               .tunnel_address = host->tunnel_address,
                                               .data_centre = host->data_centre,
                                               .incarnation = host->incarnation };
    }
  r->changed = false;
  log_event (LOG_LEVEL_NOTICE, "fleet", "hosts", "hosts=%zu before=%zu silent=%d", r->n_hosts,
             before, registry_silent_hosts (r));
  r->options.changed (r->options.data);
}

static void on_rows_read (void *data, const StoreReply *reply);

static void
read_page (Registry *r)
{
  StoreRange range
      = { .table = REGISTRY_TABLE, .partition = "", .from = r->page_start, .limit = PAGE_ROWS };

  r->read_call = store_range (r->options.store, r, &range, on_rows_read, r);
}

static void
on_rows_read (void *data, const StoreReply *reply)
{
  Registry *r = data;
  int64_t now = timers_now_ms (r->options.timers);
  const char *last = store_reply_last_name (reply);

  r->read_call = NULL;
  if (reply->result != STORE_DONE)
    return;
  for (size_t i = 0; i < reply->n_rows; i++)
    apply_row (r, &reply->rows[i], now);
  if (reply->has_more && last)
    {
      talloc_free (r->page_start);
      r->page_start = talloc_asprintf (r, "%s\x01", last);
      read_page (r);
      return;
    }
  if (may_remove_missing (r, now))
    remove_deregistered (r);
  expire_hosts (r, now);
  if (r->changed)
    rebuild_host_list (r);
}

static void
on_heartbeat_written (void *data, const StoreReply *reply)
{
  Registry *r = data;

  if (reply->result != STORE_DONE || r->deregistered || r->read_call)
    return;
  TALLOC_FREE (r->page_start);
  r->reads++;
  read_page (r);
}

static void
write_heartbeat (Registry *r)
{
  char value[600];
  StoreKey key = { REGISTRY_TABLE, "", r->options.host };
  int len = snprintf (
      value, sizeof value,
      "{\"incarnation\":%" PRIu64
      ",\"data_centre\":\"%s\",\"operators\":\"%s\",\"peers\":\"%s\",\"tunnels\":\"%s\","
      "\"round\":%d}",
      r->options.incarnation, r->options.data_centre, r->options.operator_address,
      r->options.peer_address, r->options.tunnel_address, r->heartbeats);
  StoreWrite write = { key, value, (size_t)len };
  StoreTxn txn = { .writes = &write, .n_writes = 1 };

  store_txn (r->options.store, r, &txn, on_heartbeat_written, r);
}

static void
on_heartbeat_timer (void *data)
{
  Registry *r = data;
  int64_t delay
      = r->heartbeats < INITIAL_HEARTBEATS ? INITIAL_HEARTBEAT_MS : heartbeat_interval_ms (r);

  if (r->deregistered)
    return;
  write_heartbeat (r);
  r->heartbeats++;
  timers_start (r->options.timers, r,
                delay * 3 / 4 + (int64_t)rng_below (r->options.rng, (uint64_t)delay / 2),
                on_heartbeat_timer, r);
}

static void
on_deregistered (void *data, const StoreReply *reply)
{
  (void)data;
  (void)reply;
}

void
registry_deregister (Registry *r)
{
  StoreWrite write = { { REGISTRY_TABLE, "", r->options.host }, NULL, 0 };
  StoreTxn txn = { .writes = &write, .n_writes = 1 };

  if (r->deregistered)
    return;
  r->deregistered = true;
  store_txn (r->options.store, r, &txn, on_deregistered, r);
}

json_t *
registry_row_parse (const StoreRow *row)
{
  json_t *json = json_loadb (row->value ? row->value : "", row->len, 0, NULL);

  if (json_is_string (json_object_get (json, "operators")))
    return json;
  json_decref (json);
  return NULL;
}

int
registry_silent_hosts (const Registry *r)
{
  GHashTableIter iter;
  gpointer value;
  int n = 0;

  g_hash_table_iter_init (&iter, r->known_hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((KnownHost *)value)->silent;
  return n;
}

const RegistryHost *
registry_hosts (const Registry *r, size_t *n)
{
  *n = r->n_hosts;
  return r->hosts;
}

static void
on_store_restored (void *data, int64_t era)
{
  Registry *r = data;
  GHashTableIter iter;
  gpointer value;

  (void)era;
  r->restored_ms = timers_now_ms (r->options.timers);
  g_hash_table_iter_init (&iter, r->known_hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((KnownHost *)value)->version = 0;
  if (!r->deregistered)
    write_heartbeat (r);
}

static int
registry_destroy (Registry *r)
{
  list_remove (&r->listener.node);
  g_hash_table_unref (r->known_hosts);
  return 0;
}

Registry *
registry_new (const void *ctx, const RegistryOptions *options)
{
  Registry *r = talloc_zero (ctx, Registry);

  r->options = *options;
  r->options.host = talloc_strdup (r, options->host);
  r->options.data_centre = talloc_strdup (r, options->data_centre);
  r->options.operator_address = talloc_strdup (r, options->operator_address);
  r->options.peer_address = talloc_strdup (r, options->peer_address);
  r->options.tunnel_address
      = talloc_strdup (r, options->tunnel_address ? options->tunnel_address : "");
  r->known_hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_known_host);
  r->listener = (StoreEraListener){ .restored = on_store_restored, .data = r };
  store_era_subscribe (&options->store->era, &r->listener);
  talloc_set_destructor (r, registry_destroy);
  timers_start (options->timers, r, 0, on_heartbeat_timer, r);
  return r;
}
