#include <inttypes.h>
#include <string.h>

#include <talloc.h>

#include "core/invariant.h"
#include "core/log.h"
#include "dispatch/dispatch_impl.h"

#define PACE_WEIGHT 0.02

const char *
flight_server (const Flight *f)
{
  return f->server->id;
}

const char *
flight_address (const Flight *f)
{
  return f->server->address;
}

double
flight_expected_ms (const Flight *f)
{
  return f->expected_ms;
}

static void
leave_queue (Flight *f)
{
  if (f->first)
    return;
  f->first = true;
  f->server->awaiting_first--;
  f->server->prompt_tokens -= f->unread;
}

/* The pace is learned from requests that found nothing of this host's before them. */
static void
learn_pace (Flight *f, double took_ms)
{
  ServicePace *pace = &f->pool->pace;

  server_pace (f->server, took_ms, f->expected_ms);
  if (f->expected_ms > 0 && took_ms > 0)
    {
      double ratio = f->expected_ms / took_ms;
      double bounded = ratio > 2 ? 2 : ratio < 0.5 ? 0.5 : ratio;

      pace->tokens_per_ms *= 1 + PACE_WEIGHT * (bounded - 1);
      pace->base_ms *= 1 + PACE_WEIGHT * (1 / bounded - 1);
    }
}

void
flight_first (Flight *f, int64_t now_ms)
{
  Dispatch *d = f->dispatch;

  pthread_mutex_lock (&d->lock);
  if (!f->first)
    learn_pace (f, (double)(now_ms - f->sent_ms));
  f->server->heard_ms = now_ms;
  leave_queue (f);
  pthread_mutex_unlock (&d->lock);
}

void
flight_report_load (Flight *f, int running, int waiting, int slots, int64_t now_ms)
{
  Dispatch *d = f->dispatch;

  pthread_mutex_lock (&d->lock);
  if (slots > 0)
    f->server->slots = slots;
  server_report_load (f->server, running, waiting, now_ms);
  pthread_mutex_unlock (&d->lock);
}

int64_t
flight_max_idle_ms (const Flight *f)
{
  int64_t ms;

  pthread_mutex_lock (&f->dispatch->lock);
  ms = connections_limit_ms (&f->server->connections);
  pthread_mutex_unlock (&f->dispatch->lock);
  return ms;
}

void
flight_report_connection (Flight *f, int64_t promised_ms, bool closes)
{
  pthread_mutex_lock (&f->dispatch->lock);
  connections_promise (&f->server->connections, promised_ms);
  f->closes = closes;
  pthread_mutex_unlock (&f->dispatch->lock);
}

/* @return the server that has the flight's address now, if it is known. */
static Server *
owner_of_address (const Flight *f)
{
  for (ListNode *n = list_first (&f->pool->servers); n; n = list_next (&f->pool->servers, n))
    {
      Server *s = LIST_ENTRY (n, Server, node);

      if (s != f->server && !strcmp (s->address, f->server->address))
        return s;
    }
  return NULL;
}

void
flight_report_leaving (Flight *f, bool other, int64_t now_ms)
{
  Dispatch *d = f->dispatch;
  void *tmp = talloc_new (NULL);
  ServerStart start = { 0 };
  bool is_new = false;
  Server *s;

  pthread_mutex_lock (&d->lock);
  s = other ? owner_of_address (f) : f->server;
  if (s)
    {
      is_new = mark_leaving (d, s, "answer", now_ms);
      start = (ServerStart){ .id = talloc_strdup (tmp, s->id),
                             .address = talloc_strdup (tmp, s->address),
                             .born_ms = s->born_ms };
    }
  pthread_mutex_unlock (&d->lock);
  if (is_new && d->options.leaves)
    d->options.leaves (d->options.leaves_data, &start);
  talloc_free (tmp);
}

void
flight_report_pause (Flight *f, int64_t ms, int64_t now_ms)
{
  Dispatch *d = f->dispatch;

  pthread_mutex_lock (&d->lock);
  server_pause (f->server, ms, now_ms);
  log_event (LOG_LEVEL_INFO, "dispatch", "server_pauses", "server=%s service=%s ms=%" PRId64,
             f->server->id, f->server->service, ms);
  pthread_mutex_unlock (&d->lock);
}

void
flight_end (Flight *f, FlightEnd end, int64_t now_ms)
{
  Dispatch *d = f->dispatch;
  Server *s = f->server;

  pthread_mutex_lock (&d->lock);
  leave_queue (f);
  s->in_flight--;
  INVARIANT ("in_flight_never_negative", s->in_flight >= 0 && s->prompt_tokens >= 0, "server %s",
             s->id);
  if (end == FLIGHT_DONE && !f->closes)
    connections_keep (&s->connections, now_ms);
  if (end == FLIGHT_DONE || end == FLIGHT_FAILED)
    server_result (s, end == FLIGHT_FAILED, now_ms);
  if (end == FLIGHT_UNREACHABLE || end == FLIGHT_MISDIRECTED)
    server_unreachable (s, now_ms);
  f->server = NULL;
  free_if_unused (s);
  pthread_mutex_unlock (&d->lock);
  talloc_free (f);
}
