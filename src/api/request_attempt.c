#include "api/request_impl.h"

#include <stdio.h>
#include <string.h>
#include <strings.h>

#include <talloc.h>

#include "api/request_counters.h"
#include "core/invariant.h"
#include "core/loop.h"

#define MAX_EVENT_BYTES 65536

bool
request_not_run_at (FailurePoint point)
{
  return point == FAIL_BEFORE_CONNECT || point == FAIL_IN_CONNECT || point == FAIL_REFUSED;
}

/* --- Start ------------------------------------------------------------------------------- */

static void
fill_query (const Request *r, RouteQuery *q)
{
  q->pool = r->pool;
  q->priority = r->priority;
  q->now_ms = timers_now_ms (r->deps->timers);
  q->deadline_ms = r->deadline_ms;
  for (size_t i = 0; i < r->n_tried; i++)
    snprintf (q->tried[i], sizeof q->tried[i], "%s", r->tried[i]);
  q->n_tried = r->n_tried;
  if (!r->model)
    return;
  q->prompt_tokens = r->model->prompt_tokens;
  q->max_tokens = r->model->max_tokens;
  memcpy (q->prefixes, r->model->prefixes, r->model->n_prefixes * sizeof *q->prefixes);
  q->n_prefixes = r->model->n_prefixes;
}

static bool
has_content_type (const Request *r)
{
  for (size_t i = 0; i < r->n_headers; i++)
    if (!strncasecmp (r->headers[i], "Content-Type:", 13))
      return true;
  return false;
}

static BackendCall *
send_attempt (Request *r, Attempt *a)
{
  const char **headers = talloc_zero_array (a, const char *, r->n_headers + 3);
  bool has_body = r->model || r->body_len > 0 || !strcmp (r->method, "POST")
                  || !strcmp (r->method, "PUT") || !strcmp (r->method, "PATCH");
  BackendRequest request = { .address = a->choice.address,
                             .method = r->method,
                             .target = r->path,
                             .headers = headers,
                             .body = r->model ? r->model->forward : r->body,
                             .body_len = r->model ? r->model->forward_len : r->body_len,
                             .timeout_ms = r->deadline_ms - a->started_ms + TIMEOUT_SLACK_MS,
                             .many_small_reads = r->model && r->model->stream,
                             .own_connection = !r->idempotent };
  size_t n = 0;
  BackendCall *call;

  headers[n++] = talloc_asprintf (headers, "X-Request-Id: %s", a->id);
  if (r->model)
    headers[n++] = "Content-Type: application/json";
  else if (!has_content_type (r))
    headers[n++] = "Content-Type:"; /* libcurl would add one of its own */
  if (r->key && !r->model)
    headers[n++] = talloc_asprintf (headers, "Idempotency-Key: %s", r->key);
  for (size_t i = 0; i < r->n_headers; i++)
    headers[n++] = r->headers[i];
  request.n_headers = n;
  if (!has_body)
    request.body = NULL;
  if (!r->idempotent)
    request.timeout_ms += BOOKING_LINGER_MS;
  call = backend_start (r->deps->backend, &request, &request_backend_events, a);
  talloc_free (headers);
  return call;
}

void
request_try (Request *r)
{
  RouteQuery query = { 0 };
  Attempt *a = talloc_zero (r, Attempt);
  Err err = ERR_INIT;

  r->state = REQUEST_ATTEMPT;
  fill_query (r, &query);
  if (!r->deps->ops->pick (r->deps, &query, &a->choice, &err))
    {
      talloc_free (a);
      request_refuse (r, &err, r->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN);
      return;
    }
  a->request = r;
  a->number = ++r->attempts;
  a->started_ms = query.now_ms;
  a->started_us = loop_monotonic_us ();
  a->first_ms = -1;
  a->used = -1;
  a->sse.max = MAX_EVENT_BYTES;
  snprintf (a->id, sizeof a->id, "%s.%d", r->id, a->number);
  r->attempt = a;
  a->call = send_attempt (r, a);
  if (!a->call)
    request_fail_attempt (r, a, FAIL_BEFORE_CONNECT, ERR_CONNECT_FAILED);
}

/* --- End --------------------------------------------------------------------------------- */

static void
end_route (Request *r, Attempt *a, bool failed, FailurePoint point)
{
  RouteResult result = { .failed = failed,
                         .point = point,
                         .first_token_ms = a->first_ms,
                         .total_ms = timers_now_ms (r->deps->timers) - a->started_ms,
                         .tokens_out = a->tokens,
                         .bytes = a->bytes };

  r->backend_us += loop_monotonic_us () - a->started_us;
  r->deps->ops->end (r->deps, &a->choice, &result);
}

/* The object stays until the request ends: an event that comes late must find it. */
void
request_drop_attempt (Request *r, bool failed, FailurePoint point)
{
  Attempt *a = r->attempt;

  if (!a)
    return;
  if (a->call)
    backend_cancel (a->call);
  a->call = NULL;
  end_route (r, a, failed, point);
  r->attempt = NULL;
}

static void
on_backoff (void *data)
{
  Request *r = data;

  r->backoff = NULL;
  request_try (r);
}

static void
retry (Request *r, const Attempt *a, const RetryDecision *decision)
{
  INVARIANT ("booking_runs_once", r->idempotent || !r->maybe_ran, "request %s", r->id);
  request_count_retry (decision->reason);
  if (r->n_tried < ROUTE_MAX_TRIED)
    r->tried[r->n_tried++] = talloc_strdup (r, a->choice.server);
  if (decision->delay_ms <= 0)
    {
      request_try (r);
      return;
    }
  r->state = REQUEST_BACKOFF;
  r->backoff = timers_start (r->deps->timers, r, decision->delay_ms, on_backoff, r);
}

/* A call that may have run and is not idempotent ends here, whatever the retry budget says. */
void
request_fail_attempt (Request *r, Attempt *a, FailurePoint point, ErrKind kind)
{
  RetryQuery query = { .point = point,
                       .idempotent = r->idempotent,
                       .caller_got_bytes = r->begun,
                       .attempts = r->attempts,
                       .now_ms = timers_now_ms (r->deps->timers),
                       .deadline_ms = r->deadline_ms };
  RetryDecision decision;
  Err err = ERR_INIT;

  a->call = NULL;
  request_drop_attempt (r, true, point);
  if (!request_not_run_at (point))
    r->maybe_ran = true;
  decision = r->deps->ops->retry (r->deps, r->pool, &query);
  if (decision.retry && !r->begun && (r->idempotent || !r->maybe_ran)
      && query.now_ms < r->deadline_ms)
    {
      retry (r, a, &decision);
      return;
    }
  if (decision.retry || decision.kind == ERR_NONE)
    decision.kind = kind;
  err_set (&err, decision.kind, "server %s, attempt %d: %s", a->choice.server, a->number,
           err_info (kind)->name);
  if (r->begun)
    {
      request_cut_short (r, a, ERR_ANSWER_TRUNCATED, "the server's answer broke off");
      return;
    }
  request_refuse (r, &err, r->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN);
}

void
request_deadline_in_attempt (Request *r)
{
  Attempt *a = r->attempt;
  FailurePoint point;
  Err err = ERR_INIT;

  if (a->done_seen)
    {
      request_drop_attempt (r, false, FAIL_PARTLY_ANSWERED);
      request_succeed (r, a);
      return;
    }
  err_set (&err, ERR_DEADLINE_EXCEEDED, "the deadline passed while a server had the request");
  if (r->booking)
    {
      /* The server may be running it: the caller learns that now, the true outcome is stored later. */
      request_answer_error (r, &err, OUTCOME_UNKNOWN);
      return;
    }
  point = a->call ? backend_cancel (a->call) : FAIL_BEFORE_CONNECT;
  a->call = NULL;
  if (!request_not_run_at (point))
    r->maybe_ran = true;
  if (r->begun)
    {
      request_cut_short (r, a, ERR_DEADLINE_EXCEEDED, err.detail);
      return;
    }
  request_drop_attempt (r, true, point);
  request_refuse (r, &err, r->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN);
}
