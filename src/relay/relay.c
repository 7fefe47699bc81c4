#include "relay/relay_impl.h"

#include <inttypes.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/log.h"

/* A server that has been told the deadline answers by then; its answer is on its way a little longer. */
#define DEADLINE_SLACK_MS 60

static void
on_deadline (void *data)
{
  Relay *r = data;
  Err err = ERR_INIT;

  r->deadline = NULL;
  if (r->begun)
    {
      relay_give_up (r, ERR_DEADLINE_EXCEEDED);
      return;
    }
  if (r->state == RELAY_RESERVING)
    err_set (&err, ERR_BUDGET_UNREACHABLE, "the time ended while the budget was asked");
  else
    err_set (&err, ERR_DEADLINE_EXCEEDED, "the time ended while server %s had the request",
             r->server);
  relay_drop_attempt (r, ASSIGNMENT_FAILED);
  relay_fail (r, &err);
}

void
relay_caller_gone (Relay *r)
{
  r->caller = NULL;
  relay_give_up (r, ERR_CLIENT_GONE);
}

void
relay_caller_ready (Relay *r)
{
  if (!r->blocked)
    return;
  r->blocked = false;
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
      relay_fail (r, err);
    }
  else
    relay_try (r);
}

static void
reserve (Relay *r)
{
  const RelayRequest *q = r->request;
  ReserveRequest request = { .account = q->account,
                             .tokens = tokens_add_saturated (q->prompt_tokens, q->max_tokens),
                             .now_ms = r->received_ms,
                             .caller = r->deps->poster,
                             .fn = on_reserved,
                             .data = r };
  bool waits = false;
  Err err = ERR_INIT;

  if (request.tokens == 0 || !q->limited)
    {
      relay_try (r);
      return;
    }
  r->reserved = request.tokens;
  r->reservation = budgets_reserve (r->deps->budgets, r, &request, &waits, &err);
  if (!r->reservation)
    relay_fail (r, &err);
  else if (!waits)
    relay_try (r);
}

/* --- Start ------------------------------------------------------------------------------- */

static int64_t
time_allowed (const RelayRequest *q)
{
  if (q->timeout_ms > 0 && q->timeout_ms <= q->patience_ms)
    return q->timeout_ms + DEADLINE_SLACK_MS;
  return q->patience_ms;
}

Relay *
relay_new (const RelayDeps *deps, void *memory, const RelayRequest *request, int64_t received_ms,
           const RelayCaller *caller, void *caller_data)
{
  Relay *r = talloc_zero (NULL, Relay);
  int64_t now = timers_now_ms (deps->timers);

  talloc_steal (r, memory);
  r->deps = deps;
  r->request = request;
  r->caller = caller;
  r->caller_data = caller_data;
  r->received_ms = received_ms;
  r->deadline_ms = received_ms + time_allowed (request);
  r->first_ms = -1;
  r->used = -1;
  r->deadline = timers_start (deps->timers, r, r->deadline_ms - now, on_deadline, r);
  r->starting = true;
  reserve (r);
  r->starting = false;
  if (r->state != RELAY_OVER)
    return r;
  talloc_free (r);
  return NULL;
}
