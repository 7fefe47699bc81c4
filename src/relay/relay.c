#include "relay/relay_impl.h"

#include <inttypes.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/log.h"

/* A server responds by the deadline it was given; this allows for the time its response takes to arrive. */
#define DEADLINE_SLACK_MS 60

static void
on_deadline (void *data)
{
  Relay *r = data;
  Err err = ERR_INIT;

  r->deadline = NULL;
  if (r->response_started)
    {
      relay_abort (r, ERR_DEADLINE_EXCEEDED);
      return;
    }
  if (r->lookup)
    err_set (&err, ERR_PLATFORM_UNAVAILABLE,
             "the time ended while the store was asked for the version of the stream");
  else if (r->state == RELAY_RESERVING)
    err_set (&err, ERR_BUDGET_UNREACHABLE, "the time ended while the budget was asked");
  else
    err_set (&err, ERR_DEADLINE_EXCEEDED, "the time ended while server %s had the request",
             r->server);
  relay_end_attempt (r, ASSIGNMENT_FAILED);
  relay_finish_error (r, &err);
}

void
relay_client_gone (Relay *r)
{
  r->client = NULL;
  relay_abort (r, ERR_CLIENT_GONE);
}

void
relay_client_writable (Relay *r)
{
  if (!r->write_blocked)
    return;
  r->write_blocked = false;
  if (r->attempt && r->attempt->call)
    backend_resume (r->attempt->call);
}

/* --- Budget ------------------------------------------------------------------------------ */

static void
on_reserved (void *data, const Err *err)
{
  Relay *r = data;

  log_event (LOG_LEVEL_DEBUG, "relay", "budget_answer",
             "id=%s account=%s tokens=%" PRId64 " reason=%s", r->request->id, r->request->account,
             r->reserved, err ? err_info (err->kind)->name : "none");
  if (err)
    {
      r->reserved = 0;
      relay_finish_error (r, err);
    }
  else
    relay_start_attempt (r);
}

static void
on_covered (void *data)
{
  Relay *r = data;

  if (!r->write_blocked && r->attempt && r->attempt->call)
    backend_resume (r->attempt->call);
}

/* What an answer costs is known piece by piece if each of its events counts the same. */
static bool
is_charged_by_events (const Relay *r)
{
  const RelayRequest *q = r->request;

  return q->kind == CALL_STREAM && q->event_tokens > 0 && !r->deps->dialect->ops->decode_event;
}

void
relay_reserve_budget (Relay *r)
{
  const RelayRequest *q = r->request;
  ReserveRequest request = { .account = q->account,
                             .tokens = tokens_add_saturated (q->prompt_tokens, q->max_tokens),
                             .covered = is_charged_by_events (r) ? on_covered : NULL,
                             .first_tokens = q->prompt_tokens,
                             .now_ms = r->received_ms,
                             .callback_executor = r->deps->executor,
                             .fn = on_reserved,
                             .data = r };
  bool waits = false;
  Err err = ERR_INIT;

  if (!relay_admit (r, &err) || !relay_check_quarantine (r, false, &err))
    {
      relay_finish_error (r, &err);
      return;
    }
  if (request.tokens == 0 || !q->has_budget)
    {
      relay_start_attempt (r);
      return;
    }
  r->reserved = request.tokens;
  r->reservation = budgets_reserve (r->deps->budgets, r, &request, &waits, &err);
  if (!r->reservation)
    relay_finish_error (r, &err);
  else if (!waits)
    relay_start_attempt (r);
}

/* --- Start ------------------------------------------------------------------------------- */

static int64_t
time_limit_ms (const RelayRequest *q)
{
  if (q->route_timeout_ms > 0 && q->route_timeout_ms <= q->client_timeout_ms)
    return q->route_timeout_ms + DEADLINE_SLACK_MS;
  return q->client_timeout_ms;
}

Relay *
relay_new (const RelayDeps *deps, void *memory, const RelayRequest *request, int64_t received_ms,
           const RelayClientOps *client, void *client_data)
{
  Relay *r = talloc_zero (NULL, Relay);
  int64_t now = timers_now_ms (deps->timers);

  talloc_steal (r, memory);
  r->deps = deps;
  r->request = request;
  r->client = client;
  r->client_data = client_data;
  r->received_ms = received_ms;
  r->deadline_ms = received_ms + time_limit_ms (request);
  r->first_event_ms = -1;
  r->usage = -1;
  relay_set_keys (r);
  r->deadline = timers_start (deps->timers, r, r->deadline_ms - now, on_deadline, r);
  r->starting = true;
  relay_find_version (r);
  r->starting = false;
  if (r->state != RELAY_FINISHED)
    return r;
  talloc_free (r);
  return NULL;
}
