#include <string.h>

#include <talloc.h>

#include "core/log.h"
#include "streams/streams_impl.h"

static int
streams_destroy (Streams *s)
{
  g_hash_table_unref (s->services);
  g_hash_table_unref (s->servers);
  g_hash_table_unref (s->by_key);
  pthread_mutex_destroy (&s->lock);
  return 0;
}

static void
server_free (void *server)
{
  talloc_free (server);
}

Streams *
streams_new (const void *ctx, const StreamsOptions *options)
{
  Streams *s = talloc_zero (ctx, Streams);

  s->options = *options;
  s->hosts = 1;
  pthread_mutex_init (&s->lock, NULL);
  rng_seed (&s->rng, options->seed);
  s->table = stream_table_new (s);
  s->dropped = gauge_get ("pond_streams_forgotten", "",
                          "Streams forgotten before their time, for want of room.");
  s->services = g_hash_table_new (g_str_hash, g_str_equal);
  s->servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, server_free);
  s->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  list_init (&s->waiting);
  list_init (&s->reading);
  talloc_set_destructor (s, streams_destroy);
  return s;
}

void
streams_set_hosts (Streams *s, int hosts)
{
  pthread_mutex_lock (&s->lock);
  s->hosts = hosts > 0 ? hosts : 1;
  pthread_mutex_unlock (&s->lock);
}

/* --- Placing streams --------------------------------------------------------------------- */

void
streams_allowed (Streams *s, const char *name, ServerVersions *versions, int64_t now_ms)
{
  const StreamService *service;

  versions->n = 0;
  pthread_mutex_lock (&s->lock);
  service = g_hash_table_lookup (s->services, name);
  if (service && service->confirmed_ms && now_ms - service->confirmed_ms < VERSION_LEASE_MS)
    for (size_t i = 0; i < service->set.n; i++)
      if (!service->set.versions[i].gone_ms)
        memcpy (versions->names[versions->n++], service->set.versions[i].name, VERSION_NAME_BYTES);
  pthread_mutex_unlock (&s->lock);
}

bool
streams_begin (Streams *s, const StreamBegin *begin, int64_t now_ms)
{
  StreamBegin bounded = *begin;
  bool added;

  if (bounded.until_ms > now_ms + STREAM_OPEN_MAX_MS)
    bounded.until_ms = now_ms + STREAM_OPEN_MAX_MS;
  pthread_mutex_lock (&s->lock);
  added = stream_table_add (s->table, &bounded, now_ms);
  pthread_mutex_unlock (&s->lock);
  return added;
}

bool
streams_withdraw (Streams *s, StreamKey key)
{
  bool withdrawn;

  pthread_mutex_lock (&s->lock);
  withdrawn = stream_table_withdraw (s->table, key);
  pthread_mutex_unlock (&s->lock);
  return withdrawn;
}

void
streams_doubt (Streams *s, StreamKey key)
{
  pthread_mutex_lock (&s->lock);
  stream_table_doubt (s->table, key);
  pthread_mutex_unlock (&s->lock);
}

/* --- Servers ----------------------------------------------------------------------------- */

StreamService *
streams_service_get (Streams *s, const char *name)
{
  StreamService *service = g_hash_table_lookup (s->services, name);

  if (service)
    return service;
  service = talloc_zero (s, StreamService);
  service->name = talloc_strdup (service, name);
  g_hash_table_insert (s->services, service->name, service);
  return service;
}

/* Streams that were sent to the server before its new record came may have begun at its new version. */
static void
set_version (Streams *s, StreamServer *server, const char *id, const char *version)
{
  size_t n;

  if (!strcmp (server->version, version))
    return;
  n = stream_table_doubt_server (s->table, id);
  log_event (LOG_LEVEL_NOTICE, "streams", "server_version_changed", "server=%s streams=%zu", id, n);
  server_version_set (server->version, version);
}

void
streams_server_changed (Streams *s, const char *id, const char *service, const char *version,
                        int64_t now_ms)
{
  char name[VERSION_NAME_BYTES];
  StreamServer *server;
  bool is_due;

  if (strlen (service) >= STREAM_SERVICE_BYTES)
    return;
  server_version_set (name, version);
  pthread_mutex_lock (&s->lock);
  server = g_hash_table_lookup (s->servers, id);
  if (!server)
    {
      server = talloc_zero (s, StreamServer);
      memcpy (server->version, name, sizeof name);
      g_hash_table_insert (s->servers, g_strdup (id), server);
    }
  set_version (s, server, id, name);
  server->removed_ms = 0;
  server->service = streams_service_get (s, service);
  streams_check_change (s, server->service, now_ms);
  is_due = !server->service->confirmed_ms
           || (server->service->change_due_ms && server->service->change_due_ms <= now_ms);
  pthread_mutex_unlock (&s->lock);
  if (is_due && s->options.wake)
    s->options.wake (s->options.data);
}

void
streams_server_removed (Streams *s, const char *id, bool confirmed, int64_t now_ms)
{
  StreamServer *server;

  pthread_mutex_lock (&s->lock);
  server = g_hash_table_lookup (s->servers, id);
  if (server && !confirmed)
    server->removed_ms = now_ms;
  else
    g_hash_table_remove (s->servers, id);
  pthread_mutex_unlock (&s->lock);
}
