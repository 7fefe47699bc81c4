#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "core/log.h"
#include "streams/streams_impl.h"

/* Rows are read at least this often: versions that other hosts have found to be gone must not be used longer than
 * VERSION_LEASE_MS. */
#define REFRESH_MS 60000

/* After a read that failed; half of it to one and a half. */
#define MEAN_READ_RETRY_MS 200

/* Between reads of each host, so that all together stay below 5,000 a second. */
#define HOSTS_PER_READ_MS 5

static bool
service_needs_read (const StreamService *service, int64_t now_ms)
{
  if (!service->confirmed_ms || now_ms - service->confirmed_ms >= REFRESH_MS)
    return true;
  return service->change_due_ms && service->change_due_ms <= now_ms
         && service->confirmed_ms < service->change_due_ms;
}

static bool
read_is_due (Streams *s, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer service;

  if (!list_is_empty (&s->waiting))
    return true;
  g_hash_table_iter_init (&iter, s->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    if (service_needs_read (service, now_ms))
      return true;
  return false;
}

bool
streams_read_begin (Streams *s, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer service;
  bool begin;

  pthread_mutex_lock (&s->lock);
  begin = !s->read_in_progress && !s->write_in_progress && now_ms >= s->next_read_ms
          && read_is_due (s, now_ms);
  if (begin)
    {
      s->read_in_progress = true;
      s->read_started_ms = now_ms;
      s->next_read_ms = now_ms + s->hosts / HOSTS_PER_READ_MS;
      stream_lookups_begin_read (s);
      g_hash_table_iter_init (&iter, s->services);
      while (g_hash_table_iter_next (&iter, NULL, &service))
        ((StreamService *)service)->found = false;
    }
  pthread_mutex_unlock (&s->lock);
  return begin;
}

void
streams_read_at (Streams *s, StreamsStoreTime store, int64_t now_ms)
{
  pthread_mutex_lock (&s->lock);
  s->store_ahead_ms = store.time_ms > 0 ? store.time_ms - now_ms : 0;
  s->store_era = store.era > 1 ? store.era : 1;
  pthread_mutex_unlock (&s->lock);
}

int64_t
streams_read_hosts_row (Streams *s, const char *value, size_t len)
{
  int64_t until_ms;

  pthread_mutex_lock (&s->lock);
  until_ms = stream_row_decode (value, len, stream_lookups_found, s);
  pthread_mutex_unlock (&s->lock);
  return until_ms;
}

static void
log_versions (const StreamService *service)
{
  char text[256] = "";
  size_t len = 0;

  for (size_t i = 0; i < service->set.n && len < sizeof text; i++)
    len += (size_t)snprintf (text + len, sizeof text - len, "%s%s%s", i > 0 ? "," : "",
                             service->set.versions[i].name,
                             service->set.versions[i].gone_ms ? "(gone)" : "");
  log_event (LOG_LEVEL_NOTICE, "streams", "versions",
             "service=%s versions=\"%s\" row_version=%" PRId64 " lost=%d unsure_until_ms=%" PRId64,
             service->name, text, service->row_version, service->lost,
             service->set.unsure_until_ms);
}

void
streams_set_versions (StreamService *service, const VersionSet *set, int64_t row_version, bool lost)
{
  bool changed = !version_set_same (set, &service->set) || row_version != service->row_version;

  if (lost && !service->lost)
    service->before = service->set;
  else if (lost)
    version_set_add_missing (&service->before, &service->set);
  service->lost = lost;
  service->set = *set;
  service->row_version = row_version;
  if (changed)
    log_versions (service);
}

void
streams_read_versions_row (Streams *s, const char *name, const char *value, size_t len,
                           int64_t row_version)
{
  StreamService *service;
  VersionSet set;
  bool valid = version_set_decode (&set, value, len);

  pthread_mutex_lock (&s->lock);
  service = streams_service_get (s, name);
  service->found = true;
  if (!valid)
    log_event (LOG_LEVEL_WARNING, "streams", "row_ignored", "service=%s version=%" PRId64, name,
               row_version);
  streams_set_versions (service, &set, row_version, !valid || set.era < s->store_era);
  pthread_mutex_unlock (&s->lock);
}

static void
end_service_read (Streams *s, StreamService *service, int64_t now_ms)
{
  static const VersionSet NONE = { 0 };

  /* A row that never was is not lost, unless the store has been restored and may have lost it. */
  if (!service->found)
    streams_set_versions (service, &NONE, 0,
                          service->lost || service->set.n > 0 || s->store_era > 1);
  else if (service->set.era < s->store_era)
    streams_set_versions (service, &service->set, service->row_version, true);
  service->confirmed_ms = s->read_started_ms;
  streams_check_change (s, service, now_ms);
}

void
streams_read_end (Streams *s, bool complete, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer service;

  pthread_mutex_lock (&s->lock);
  s->read_in_progress = false;
  if (complete)
    {
      g_hash_table_iter_init (&iter, s->services);
      while (g_hash_table_iter_next (&iter, NULL, &service))
        end_service_read (s, service, now_ms);
    }
  else
    s->next_read_ms
        = now_ms + MEAN_READ_RETRY_MS / 2 + (int64_t)rng_below (&s->rng, MEAN_READ_RETRY_MS);
  stream_lookups_end_read (s, complete, now_ms);
  pthread_mutex_unlock (&s->lock);
}
