#include <inttypes.h>
#include <string.h>

#include <talloc.h>

#include "core/invariant.h"
#include "core/log.h"
#include "dispatch/dispatch_impl.h"

#define LATENCY_MODEL_WEIGHT 0.02 /* of one response */

const char *
assignment_server (const Assignment *a)
{
  return a->server->id;
}

const char *
assignment_address (const Assignment *a)
{
  return a->server->address;
}

static bool
version_is_doubtful (const Assignment *a)
{
  const Server *s = a->server;
  const Server *known = g_hash_table_lookup (a->dispatch->servers, s->id);

  if (s->replaced || s->version_changes != a->version_changes)
    return true;
  return known && known != s
         && (known->started_ms != s->started_ms || !server_has_version (known, a->version, NULL));
}

bool
dispatch_names_other_version (Dispatch *d, const char *id, const char *version)
{
  const Server *s;
  bool other;

  pthread_mutex_lock (&d->lock);
  s = g_hash_table_lookup (d->servers, id);
  other = s && !server_has_version (s, version, NULL);
  pthread_mutex_unlock (&d->lock);
  return other;
}

AssignmentServer
assignment_server_state (const Assignment *a)
{
  const Server *s = a->server;
  AssignmentServer state;

  pthread_mutex_lock (&a->dispatch->lock);
  state = (AssignmentServer){ .instance = { s->id, s->address, s->started_ms },
                              .version = a->version,
                              .version_doubtful = version_is_doubtful (a),
                              .draining = s->draining,
                              .others_in_flight = s->in_flight - 1 };
  pthread_mutex_unlock (&a->dispatch->lock);
  return state;
}

AssignmentLimits
assignment_limits (const Assignment *a)
{
  return a->limits;
}

double
assignment_expected_first_event_ms (const Assignment *a)
{
  return a->expected_first_event_ms;
}

static void
end_first_event_wait (Assignment *a, int64_t now_ms)
{
  if (a->first_event_seen)
    return;
  a->first_event_seen = true;
  a->server->awaiting_first_event--;
  in_flight_history_set (&a->server->awaiting_history, a->server->awaiting_first_event, now_ms);
  a->server->pending_prefill_tokens -= a->prefill_tokens;
}

/* One response changes the model by at most 2 %: the ratio to the expected latency counts as a
 * factor of two at most. */
static void
update_latency_model (Assignment *a, double took_ms)
{
  LatencyModel *latency = &a->pool->latency;

  server_add_latency_sample (a->server, took_ms, a->expected_first_event_ms);
  if (a->expected_first_event_ms > 0 && took_ms > 0)
    {
      double ratio = a->expected_first_event_ms / took_ms;
      double bounded = ratio > 2 ? 2 : ratio < 0.5 ? 0.5 : ratio;

      latency->prefill_tokens_per_ms *= 1 + LATENCY_MODEL_WEIGHT * (bounded - 1);
      latency->base_ms *= 1 + LATENCY_MODEL_WEIGHT * (1 / bounded - 1);
    }
}

void
assignment_report_first_event (Assignment *a, int64_t now_ms)
{
  Dispatch *d = a->dispatch;

  pthread_mutex_lock (&d->lock);
  if (!a->first_event_seen)
    {
      update_latency_model (a, (double)(now_ms - a->sent_ms));
      a->first_event_ms = now_ms;
    }
  end_first_event_wait (a, now_ms);
  pthread_mutex_unlock (&d->lock);
}

void
assignment_report_load (Assignment *a, const LoadFigures *f, int64_t now_ms)
{
  Dispatch *d = a->dispatch;
  Server *s = a->server;

  pthread_mutex_lock (&d->lock);
  if (f->slots > 0 && load_figures_are_possible (f, f->slots))
    s->slots = f->slots;
  load_picture_report (d, s, f, false, now_ms);
  pthread_mutex_unlock (&d->lock);
}

int64_t
assignment_max_idle_ms (const Assignment *a)
{
  int64_t ms;

  pthread_mutex_lock (&a->dispatch->lock);
  ms = idle_connections_limit_ms (&a->server->idle_connections);
  pthread_mutex_unlock (&a->dispatch->lock);
  return ms;
}

void
assignment_report_keep_alive (Assignment *a, int64_t keep_alive_ms, bool closes_connection)
{
  pthread_mutex_lock (&a->dispatch->lock);
  idle_connections_set_keep_alive (&a->server->idle_connections, keep_alive_ms);
  a->closes_connection = closes_connection;
  pthread_mutex_unlock (&a->dispatch->lock);
}

/* @return the server that has the assignment's address now, or NULL if it is unknown. */
static Server *
server_at_address (const Assignment *a)
{
  for (ListNode *n = list_first (&a->pool->servers); n; n = list_next (&a->pool->servers, n))
    {
      Server *s = LIST_ENTRY (n, Server, node);

      if (s != a->server && !strcmp (s->address, a->server->address))
        return s;
    }
  return NULL;
}

void
assignment_report_draining (Assignment *a, bool misdirected, int64_t now_ms)
{
  Dispatch *d = a->dispatch;
  void *tmp = talloc_new (NULL);
  ServerInstance instance = { 0 };
  bool is_new = false;
  Server *s;

  pthread_mutex_lock (&d->lock);
  s = misdirected ? server_at_address (a) : a->server;
  if (s)
    {
      is_new = mark_draining (d, s, "answer", now_ms);
      instance = (ServerInstance){ .id = talloc_strdup (tmp, s->id),
                                   .address = talloc_strdup (tmp, s->address),
                                   .started_ms = s->started_ms };
    }
  pthread_mutex_unlock (&d->lock);
  if (is_new && d->options.server_draining)
    d->options.server_draining (d->options.server_draining_data, &instance);
  talloc_free (tmp);
}

void
assignment_report_pause (Assignment *a, int64_t ms, int64_t now_ms)
{
  Dispatch *d = a->dispatch;

  pthread_mutex_lock (&d->lock);
  server_pause (a->server, ms, now_ms);
  log_event (LOG_LEVEL_INFO, "dispatch", "server_pauses", "server=%s service=%s ms=%" PRId64,
             a->server->id, a->server->service, ms);
  pthread_mutex_unlock (&d->lock);
}

void
assignment_report_cold (Assignment *a, int64_t ms, int64_t now_ms)
{
  Dispatch *d = a->dispatch;

  pthread_mutex_lock (&d->lock);
  cold_limit_set (&a->server->cold, ms, now_ms);
  pthread_mutex_unlock (&d->lock);
}

static void
log_brittle (const Assignment *a, bool before, int64_t now_ms)
{
  const Brittle *b = &a->pool->brittle;

  if (brittle_is_in_force (b, now_ms) != before)
    log_event (LOG_LEVEL_NOTICE, "dispatch", before ? "brittle_ended" : "brittle",
               "service=%s server=%s rejections_per_s=%d slots=%d hosts=%d", a->pool->name,
               a->server->id, b->max_rejections, a->server->slots, n_hosts (a->dispatch));
}

/* A response to a request that was sent before the newest statement may be older than that. */
void
assignment_report_brittle (Assignment *a, int max_rejections, bool rejected, int64_t now_ms)
{
  Dispatch *d = a->dispatch;
  Brittle *b = &a->pool->brittle;
  bool before;

  pthread_mutex_lock (&d->lock);
  before = brittle_is_in_force (b, now_ms);
  if (max_rejections >= 0 || a->sent_ms >= b->stated_ms)
    brittle_note (b, max_rejections, now_ms);
  log_brittle (a, before, now_ms);
  if (rejected && brittle_is_in_force (b, now_ms))
    server_pause (a->server, brittle_pause_ms (b, a->server->slots, n_hosts (d)), now_ms);
  pthread_mutex_unlock (&d->lock);
}

/* An engine gives a request its place with the first event; the others' requests may have waited. */
static void
note_hold (const Assignment *a, int64_t now_ms)
{
  double ms = (double)(now_ms - a->sent_ms) - a->expected_wait_ms;

  if (a->is_engine && a->first_event_ms > 0)
    ms = (double)(now_ms - a->first_event_ms);
  a->pool->hold_ms = service_room_mean_hold (a->pool->hold_ms, ms > 1 ? ms : 1);
}

void
assignment_end (Assignment *a, AssignmentResult result, int64_t now_ms)
{
  Dispatch *d = a->dispatch;
  Server *s = a->server;

  pthread_mutex_lock (&d->lock);
  end_first_event_wait (a, now_ms);
  s->in_flight--;
  in_flight_history_set (&s->in_flight_history, s->in_flight, now_ms);
  INVARIANT ("in_flight_never_negative", s->in_flight >= 0 && s->pending_prefill_tokens >= 0,
             "server %s", s->id);
  if (result == ASSIGNMENT_COMPLETED)
    {
      a->pool->latency.residence_ms
          += LATENCY_MODEL_WEIGHT * ((double)(now_ms - a->sent_ms) - a->pool->latency.residence_ms);
      note_hold (a, now_ms);
    }
  if (result == ASSIGNMENT_COMPLETED && !a->closes_connection)
    idle_connections_add (&s->idle_connections, now_ms);
  if (result == ASSIGNMENT_COMPLETED || result == ASSIGNMENT_FAILED)
    server_add_result (s, result == ASSIGNMENT_FAILED);
  if (result == ASSIGNMENT_UNREACHABLE || result == ASSIGNMENT_MISDIRECTED)
    server_add_connect_failure (s, now_ms);
  if (result == ASSIGNMENT_UNREACHABLE)
    lost_servers_add (&a->pool->lost, now_ms);
  a->server = NULL;
  free_if_unused (s);
  pthread_mutex_unlock (&d->lock);
  talloc_free (a);
}
