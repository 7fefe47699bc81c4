#include <inttypes.h>
#include <string.h>

#include <talloc.h>

#include "core/log.h"
#include "dispatch/dispatch_impl.h"

/* Until the list of hosts is known: the largest fleet that the limits are to hold for. */
#define ASSUMED_HOSTS 350

/* Initial values, corrected by the responses of the servers. */
#define INITIAL_PREFILL_TOKENS_PER_MS 40.0
#define INITIAL_BASE_MS               30.0
#define INITIAL_MEAN_PROMPT_TOKENS    2000.0
#define INITIAL_RESIDENCE_MS          600.0

ServerPool *
server_pool_get (Dispatch *d, const char *service)
{
  ServerPool *p = g_hash_table_lookup (d->pools, service);

  if (p)
    return p;
  p = talloc_zero (d, ServerPool);
  p->name = talloc_strdup (p, service);
  list_init (&p->servers);
  p->latency = (LatencyModel){ .prefill_tokens_per_ms = INITIAL_PREFILL_TOKENS_PER_MS,
                               .base_ms = INITIAL_BASE_MS,
                               .mean_prompt_tokens = INITIAL_MEAN_PROMPT_TOKENS,
                               .mean_prefill_tokens = INITIAL_MEAN_PROMPT_TOKENS,
                               .residence_ms = INITIAL_RESIDENCE_MS };
  g_hash_table_insert (d->pools, p->name, p);
  return p;
}

void
free_if_unused (Server *s)
{
  if (s->removed && s->in_flight == 0 && !s->node.next)
    talloc_free (s);
}

/* The object is freed only when the requests that are in flight at the server have ended. */
static void
remove_server (Dispatch *d, Server *s)
{
  g_hash_table_remove (d->servers, s->id);
  load_picture_remove (d, s);
  list_remove (&s->node);
  s->removed = true;
  free_if_unused (s);
}

static ServerInstance
instance_of (const Server *s)
{
  return (ServerInstance){ .id = s->id, .address = s->address, .started_ms = s->started_ms };
}

static void
log_draining (const Server *s, const char *source)
{
  log_event (LOG_LEVEL_INFO, "dispatch", "server_leaving",
             "server=%s service=%s in_flight=%d source=%s", s->id, s->service, s->in_flight,
             source);
}

bool
mark_draining (Dispatch *d, Server *s, const char *source, int64_t now_ms)
{
  ServerInstance instance = instance_of (s);
  bool is_new = drain_set_add (d->drain_set, &instance, now_ms);

  if (!s->draining)
    log_draining (s, source);
  s->draining = true;
  return is_new;
}

static const char *
region_of (const Dispatch *d, const char *data_centre)
{
  return d->options.region_of ? d->options.region_of (d->options.region_data, data_centre) : NULL;
}

static ServerLocality
locality_of (const Dispatch *d, const char *data_centre)
{
  const char *region;

  if (!strcmp (data_centre, d->options.data_centre))
    return LOCALITY_DATA_CENTRE;
  region = region_of (d, data_centre);
  return region && !strcmp (region, d->options.region) ? LOCALITY_REGION : LOCALITY_REMOTE;
}

/* A new instance under the same id is treated as a different server. */
static bool
is_other_instance (const Server *s, const ServerRecord *r)
{
  return s->started_ms != r->started_ms || strcmp (s->address, r->address) != 0
         || strcmp (s->service, r->service) != 0;
}

static bool
has_earlier_start (const Server *s, const ServerRecord *r)
{
  return s->started_ms > 0 && r->started_ms > 0 && r->started_ms < s->started_ms;
}

/* Where the store does not tell which record is newer, the starts do, although the server's clock may have stepped: its next record
 * comes with a heartbeat, and then the store tells. */
static bool
is_older_instance (const Server *s, const ServerRecord *r)
{
  return r->order_unknown && has_earlier_start (s, r);
}

/* A copy of the instance of a server that has ended, for a callback without the lock; under @p ctx. */
static ServerInstance *
copy_ended (const void *ctx, const Server *s)
{
  ServerInstance *copy;

  if (s->draining)
    return NULL;
  copy = talloc_zero (ctx, ServerInstance);
  *copy = (ServerInstance){ .id = talloc_strdup (copy, s->id),
                            .address = talloc_strdup (copy, s->address),
                            .started_ms = s->started_ms };
  return copy;
}

/* Frees @p ended, which may be NULL. */
static void
report_ended (Dispatch *d, ServerInstance *ended)
{
  if (ended && d->options.server_ended)
    d->options.server_ended (d->options.server_ended_data, ended);
  talloc_free (ended);
}

bool
dispatch_has_address (Dispatch *d, const char *address)
{
  GHashTableIter iter;
  gpointer value;
  bool found = false;

  pthread_mutex_lock (&d->lock);
  g_hash_table_iter_init (&iter, d->servers);
  while (!found && g_hash_table_iter_next (&iter, NULL, &value))
    found = !strcmp (((Server *)value)->address, address);
  pthread_mutex_unlock (&d->lock);
  return found;
}

void
dispatch_server_changed (Dispatch *d, const ServerRecord *r, int64_t now_ms)
{
  Server *s;
  ServerInstance *ended = NULL;
  ServerInstance instance;
  char version[SERVER_VERSION_BYTES];
  bool was_draining;

  pthread_mutex_lock (&d->lock);
  s = g_hash_table_lookup (d->servers, r->id);
  if (s && is_older_instance (s, r))
    {
      log_event (LOG_LEVEL_NOTICE, "dispatch", "older_start_ignored", "server=%s address=%s", r->id,
                 r->address);
      pthread_mutex_unlock (&d->lock);
      return;
    }
  if (s && has_earlier_start (s, r))
    log_event (LOG_LEVEL_NOTICE, "dispatch", "clock_stepped_back",
               "server=%s address=%s step_ms=%" PRId64, r->id, r->address,
               s->started_ms - r->started_ms);
  if (s && is_other_instance (s, r))
    {
      ended = copy_ended (NULL, s);
      s->replaced = true;
      remove_server (d, s);
      s = NULL;
    }
  was_draining = s && s->draining;
  if (!s)
    {
      s = server_new (d, r);
      s->locality = locality_of (d, r->data_centre);
      s->region = talloc_strdup (s, region_of (d, r->data_centre));
      s->evacuated = is_evacuated (d, r->data_centre);
      g_hash_table_insert (d->servers, s->id, s);
      load_picture_add (d, s);
      list_append (&server_pool_get (d, r->service)->servers, &s->node);
      log_event (LOG_LEVEL_INFO, "dispatch", "server_seen",
                 "server=%s service=%s address=%s data_centre=%s version=%s leaving=%d", r->id,
                 r->service, r->address, r->data_centre,
                 log_word (version, sizeof version, r->version), r->draining);
    }
  else if (r->draining && !was_draining)
    log_draining (s, "entry");
  server_update (s, r, now_ms);
  instance = instance_of (s);
  s->draining = r->draining || drain_set_contains (d->drain_set, &instance);
  pthread_mutex_unlock (&d->lock);
  report_ended (d, ended);
}

void
dispatch_server_removed (Dispatch *d, const char *id, int64_t grace_ms, int64_t now_ms)
{
  Server *s;
  ServerInstance *ended = NULL;

  pthread_mutex_lock (&d->lock);
  s = g_hash_table_lookup (d->servers, id);
  if (s)
    log_event (LOG_LEVEL_INFO, "dispatch", "server_removed",
               "server=%s service=%s in_flight=%d grace_ms=%" PRId64, id, s->service, s->in_flight,
               grace_ms);
  if (s && grace_ms > 0)
    s->removal_grace_until_ms = now_ms + grace_ms;
  else if (s)
    {
      ended = copy_ended (NULL, s);
      remove_server (d, s);
    }
  pthread_mutex_unlock (&d->lock);
  report_ended (d, ended);
}

void
dispatch_server_draining (Dispatch *d, const ServerInstance *instance, int64_t now_ms)
{
  Server *s;

  pthread_mutex_lock (&d->lock);
  drain_set_add (d->drain_set, instance, now_ms);
  s = g_hash_table_lookup (d->servers, instance->id);
  if (s && s->started_ms == instance->started_ms && !strcmp (s->address, instance->address))
    mark_draining (d, s, "host", now_ms);
  pthread_mutex_unlock (&d->lock);
}

void
dispatch_expire (Dispatch *d, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *expired = g_ptr_array_new ();

  pthread_mutex_lock (&d->lock);
  g_hash_table_iter_init (&iter, d->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Server *s = value;

      if (s->removal_grace_until_ms && now_ms >= s->removal_grace_until_ms)
        g_ptr_array_add (expired, s);
    }
  for (guint i = 0; i < expired->len; i++)
    remove_server (d, expired->pdata[i]);
  drain_set_expire (d->drain_set, now_ms);
  pthread_mutex_unlock (&d->lock);
  g_ptr_array_free (expired, TRUE);
}

void
dispatch_set_hosts (Dispatch *d, const ListedHost *hosts, size_t n, int n_silent)
{
  pthread_mutex_lock (&d->lock);
  host_list_set (d->hosts, hosts, n);
  d->n_silent_hosts = n_silent;
  pthread_mutex_unlock (&d->lock);
}

void
update_host_rank (const Dispatch *d, Server *s)
{
  HostListServer server = { s->hash, s->data_centre, s->region };

  if (s->hosts_version == host_list_version (d->hosts))
    return;
  s->host_rank = host_list_rank (d->hosts, &server);
  s->hosts_version = host_list_version (d->hosts);
}

int
rank_of_host (const Dispatch *d, Server *s)
{
  update_host_rank (d, s);
  return s->host_rank;
}

int
n_hosts (const Dispatch *d)
{
  int n = host_list_count (d->hosts);

  return n > 0 ? n + d->n_silent_hosts : ASSUMED_HOSTS;
}

size_t
dispatch_n_usable (Dispatch *d, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;
  size_t n = 0;

  pthread_mutex_lock (&d->lock);
  g_hash_table_iter_init (&iter, d->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += server_is_usable (value, now_ms);
  pthread_mutex_unlock (&d->lock);
  return n;
}
