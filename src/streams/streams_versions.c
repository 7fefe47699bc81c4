#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/invariant.h"
#include "core/log.h"
#include "streams/streams_impl.h"

/* Between checks for what is out of date. New versions of servers are found at once. */
#define CHECK_MS 1000

/* A version whose servers have not been in the list for this long is gone. */
#define GONE_AFTER_MS 10000

/* Records of servers that expire in an outage of the store are back sooner. */
#define REMOVAL_GRACE_MS 5000

/* Hosts wait a random time, up to this for each host, before they change a row, so that one of them does it. */
#define CHANGE_SPREAD_MS_PER_HOST 2

/* Between writes of each host: 45 a second at 9 hosts, 233 at 84, and 341 at 350. */
#define RECORD_WRITES_MIN_MS         200
#define RECORD_WRITES_MS             150
#define RECORD_WRITES_MS_PER_2_HOSTS 5

static int64_t
store_now_ms (const Streams *s, int64_t now_ms)
{
  return now_ms + s->store_ahead_ms;
}

/* --- Versions ---------------------------------------------------------------------------- */

static int64_t *
seen_ms (StreamService *service, const char *name, int64_t now_ms)
{
  SeenVersion *seen;

  for (size_t i = 0; i < service->n_seen; i++)
    if (!strcmp (service->seen[i].name, name))
      return &service->seen[i].seen_ms;
  if (service->n_seen == VERSION_SET_MAX)
    memmove (service->seen, service->seen + 1, --service->n_seen * sizeof service->seen[0]);
  seen = &service->seen[service->n_seen++];
  memcpy (seen->name, name, strlen (name) + 1);
  seen->seen_ms = now_ms;
  return &seen->seen_ms;
}

static void
allow_versions_of_servers (Streams *s, StreamService *service, VersionSet *set, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      StreamServer *server = value;

      if (server->service != service)
        continue;
      *seen_ms (service, server->version, now_ms) = now_ms;
      if (!version_set_allows (set, server->version))
        version_set_allow (set, server->version);
    }
}

/* The set as this host would write it now. */
static void
make_wanted (Streams *s, StreamService *service, VersionSet *set, int64_t now_ms)
{
  *set = service->set;
  if (service->lost)
    {
      version_set_add_missing (set, &service->before);
      set->unsure_until_ms = store_now_ms (s, now_ms) + VERSION_HOLD_MS;
    }
  set->era = s->store_era;
  allow_versions_of_servers (s, service, set, now_ms);
  for (size_t i = 0; i < set->n; i++)
    if (!set->versions[i].gone_ms
        && now_ms - *seen_ms (service, set->versions[i].name, now_ms) >= GONE_AFTER_MS)
      set->versions[i].gone_ms = store_now_ms (s, now_ms);
  version_set_drop_expired (set, store_now_ms (s, now_ms));
}

void
streams_check_change (Streams *s, StreamService *service, int64_t now_ms)
{
  VersionSet wanted;

  if (!service->confirmed_ms)
    return;
  make_wanted (s, service, &wanted, now_ms);
  if (!service->lost && version_set_same (&wanted, &service->set))
    service->change_due_ms = 0;
  else if (!service->change_due_ms)
    service->change_due_ms
        = now_ms + (int64_t)rng_below (&s->rng, (uint64_t)s->hosts * CHANGE_SPREAD_MS_PER_HOST);
}

static gboolean
removal_is_over (gpointer id, gpointer value, gpointer now_ms)
{
  const StreamServer *server = value;

  (void)id;
  return server->removed_ms && *(int64_t *)now_ms - server->removed_ms >= REMOVAL_GRACE_MS;
}

void
streams_tick (Streams *s, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer service;

  pthread_mutex_lock (&s->lock);
  if (now_ms < s->next_check_ms)
    {
      pthread_mutex_unlock (&s->lock);
      return;
    }
  s->next_check_ms = now_ms + CHECK_MS;
  counter_set (s->dropped, stream_table_dropped (s->table));
  stream_table_expire (s->table, now_ms);
  g_hash_table_foreach_remove (s->servers, removal_is_over, &now_ms);
  g_hash_table_iter_init (&iter, s->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    streams_check_change (s, service, now_ms);
  pthread_mutex_unlock (&s->lock);
}

/* --- Writing ----------------------------------------------------------------------------- */

static bool
change_is_due (const StreamService *service, int64_t now_ms)
{
  return service->change_due_ms && service->change_due_ms <= now_ms
         && service->confirmed_ms >= service->change_due_ms;
}

bool
streams_next_versions_write (Streams *s, int64_t now_ms, VersionsWrite *write)
{
  GHashTableIter iter;
  gpointer value;
  bool found = false;

  pthread_mutex_lock (&s->lock);
  g_hash_table_iter_init (&iter, s->services);
  while (!found && !s->write_in_progress && !s->read_in_progress
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      StreamService *service = value;

      if (!change_is_due (service, now_ms))
        continue;
      *write = (VersionsWrite){ .row_version = service->row_version, .started_ms = now_ms };
      snprintf (write->service, sizeof write->service, "%s", service->name);
      make_wanted (s, service, &write->set, now_ms);
      found = true;
    }
  s->write_in_progress |= found;
  pthread_mutex_unlock (&s->lock);
  return found;
}

void
streams_versions_written (Streams *s, const VersionsWrite *write, bool done, int64_t row_version,
                          int64_t now_ms)
{
  StreamService *service;

  pthread_mutex_lock (&s->lock);
  s->write_in_progress = false;
  service = streams_service_get (s, write->service);
  service->change_due_ms = 0;
  if (done)
    {
      streams_set_versions (service, &write->set, row_version, false);
      service->confirmed_ms = write->started_ms;
    }
  else
    service->change_due_ms = now_ms + 1;
  streams_check_change (s, service, now_ms);
  pthread_mutex_unlock (&s->lock);
}

/* @return whether streams may be in doubt whose versions are not in the rows of hosts. */
static bool
needs_records (Streams *s, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const StreamService *service = value;

      if (service->confirmed_ms
          && (service->lost || service->change_due_ms
              || (service->set.n > 0
                  && !version_set_only (&service->set, store_now_ms (s, now_ms)))))
        return true;
    }
  return false;
}

char *
streams_next_record_write (Streams *s, const void *ctx, int64_t now_ms, size_t *len)
{
  int64_t interval;
  char *value = NULL;

  pthread_mutex_lock (&s->lock);
  if (now_ms >= s->next_record_write_ms && stream_table_changed (s->table)
      && needs_records (s, now_ms))
    {
      interval = RECORD_WRITES_MS + (int64_t)s->hosts * RECORD_WRITES_MS_PER_2_HOSTS / 2;
      s->next_record_write_ms
          = now_ms + (interval > RECORD_WRITES_MIN_MS ? interval : RECORD_WRITES_MIN_MS);
      value = stream_table_encode (s->table, ctx, s->store_ahead_ms, len);
      INVARIANT ("stream_row_bounded", *len <= STREAM_ROW_MAX_BYTES, "%zu bytes", *len);
    }
  pthread_mutex_unlock (&s->lock);
  return value;
}

void
streams_record_write_failed (Streams *s)
{
  pthread_mutex_lock (&s->lock);
  stream_table_set_changed (s->table);
  pthread_mutex_unlock (&s->lock);
}
