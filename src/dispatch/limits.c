#include <inttypes.h>
#include <string.h>

#include <talloc.h>

#include "core/log.h"
#include "dispatch/dispatch_impl.h"

static void
update_rank (const Dispatch *d, Server *s, int64_t now_ms)
{
  update_host_rank (d, s);
  server_limit_set_rank (&s->limit, host_list_count (d->hosts), s->host_rank, s->hosts_version,
                         now_ms);
}

bool
has_room_if_cold (const Dispatch *d, Server *s, const DispatchQuery *q)
{
  ColdTolerance tolerance = { .requests_per_s = q->service->cold_requests_per_s,
                              .overshoot = d->options.cold_overshoot,
                              .slack = d->options.cold_slack };

  if (!cold_limit_is_cold (&s->cold, q->now_ms))
    return true;
  return cold_limit_has_room (&s->cold, &tolerance, rank_of_host (d, s), host_list_count (d->hosts),
                              q->now_ms);
}

LimitState
check_limit (Dispatch *d, Server *s, int64_t now_ms)
{
  if (s->limit.requests_per_s <= 0)
    return LIMIT_FREE;
  if (s->limit.hosts_version != host_list_version (d->hosts))
    update_rank (d, s, now_ms);
  return server_limit_check (&s->limit, now_ms);
}

static void
apply_statement (const Dispatch *d, Server *s, LimitStatement statement, int64_t stated_ms,
                 const char *source, int64_t now_ms)
{
  double before = s->limit.requests_per_s;

  if (!server_limit_apply (&s->limit, statement, stated_ms, now_ms))
    return;
  update_rank (d, s, now_ms);
  log_event (
      LOG_LEVEL_INFO, "dispatch", "server_limit",
      "server=%s service=%s per_s=%.3f before=%.3f age_ms=%" PRId64 " in_flight=%d source=%s",
      s->id, s->service, s->limit.requests_per_s, before, now_ms - stated_ms, s->in_flight, source);
}

static bool
is_outdated (const Assignment *a, LimitStatement statement)
{
  return statement.kind == LIMIT_NONE && a->sent_ms < a->server->limit.stated_ms;
}

void
assignment_report_limit (Assignment *a, LimitStatement statement, int64_t now_ms)
{
  Dispatch *d = a->dispatch;
  Server *s = a->server;
  ServerInstance instance = { 0 };
  LimitStatement known = { 0 };
  int64_t stated_ms = 0;
  void *tmp = NULL;
  bool report;

  if (statement.kind == LIMIT_NOT_STATED)
    return;
  pthread_mutex_lock (&d->lock);
  if (!is_outdated (a, statement))
    apply_statement (d, s, statement, now_ms, "answer", now_ms);
  report = server_limit_is_report_due (&s->limit, now_ms);
  if (report)
    {
      tmp = talloc_new (NULL);
      server_limit_told (&s->limit, s->limit.requests_per_s, now_ms);
      known = server_limit_statement (&s->limit);
      stated_ms = s->limit.stated_ms;
      instance = (ServerInstance){ .id = talloc_strdup (tmp, s->id),
                                   .address = talloc_strdup (tmp, s->address),
                                   .started_ms = s->started_ms };
    }
  pthread_mutex_unlock (&d->lock);
  if (report && d->options.server_limited)
    d->options.server_limited (d->options.server_limited_data, &instance, known, stated_ms);
  talloc_free (tmp);
}

void
dispatch_server_limited (Dispatch *d, const ServerInstance *instance, LimitStatement statement,
                         int64_t age_ms, int64_t now_ms)
{
  Server *s;

  pthread_mutex_lock (&d->lock);
  s = g_hash_table_lookup (d->servers, instance->id);
  if (s && s->started_ms == instance->started_ms && !strcmp (s->address, instance->address))
    {
      apply_statement (d, s, statement, now_ms - (age_ms > 0 ? age_ms : 0), "host", now_ms);
      server_limit_told (&s->limit, statement.requests_per_s, now_ms);
    }
  pthread_mutex_unlock (&d->lock);
}
