#include "relay/relay_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/log.h"
#include "relay/relay_counters.h"

/* Seconds with three decimals. */
#define RETRY_AFTER_BYTES 32

/* --- Settling ---------------------------------------------------------------------------- */

static Charge
charge (const Relay *r)
{
  const RelayRequest *q = r->request;
  ChargeFacts facts = { .runs = r->runs,
                        .status = r->status,
                        .complete = r->reason == ERR_NONE,
                        .caller_left = r->reason == ERR_CLIENT_GONE,
                        .events = r->events,
                        .prompt = q->prompt_tokens,
                        .delivered = tokens_min (r->delivered, q->max_tokens),
                        .used = r->used,
                        .reserved = r->reserved,
                        .charges_failed = r->deps->charges_failed };

  return charge_of (&facts);
}

static void
settle (Relay *r)
{
  if (!r->reservation)
    return;
  if (r->reserved > 0)
    {
      r->charge = charge (r);
      if (r->charge.usage_rejected)
        counter_add (relay_counters ()->usage_rejected, 1);
      reservation_settle (r->reservation, r->charge.tokens, timers_now_ms (r->deps->timers));
    }
  else
    talloc_free (r->reservation);
  r->reservation = NULL;
}

static void
log_end (const Relay *r)
{
  const RelayRequest *q = r->request;
  int64_t total = timers_now_ms (r->deps->timers) - r->received_ms;

  histogram_add (relay_counters ()->duration, total * 1000);
  log_event (r->reason == ERR_NONE ? LOG_LEVEL_INFO : LOG_LEVEL_NOTICE, "relay", "end",
             "id=%s route=%s service=%s account=%s status=%d reason=%s server=%s sends=%d runs=%d "
             "prompt=%" PRId64 " reserved=%" PRId64 " settled=%" PRId64 " charge=%s events=%" PRId64
             " first_ms=%" PRId64 " gap_ms=%" PRId64 " total_ms=%" PRId64 " left_ms=%" PRId64,
             q->id, q->route ? q->route->name : "-", q->service->name,
             q->account ? q->account : "-", r->status, err_info (r->reason)->name,
             r->server[0] ? r->server : "-", r->sends, r->runs, q->prompt_tokens, r->reserved,
             r->charge.tokens, r->reserved > 0 ? charge_end_name (r->charge.end) : "-", r->events,
             r->first_ms, r->longest_gap_ms, total,
             r->deadline_ms - timers_now_ms (r->deps->timers));
}

static void
release (Relay *r)
{
  const RelayCaller *caller = r->caller;

  TALLOC_FREE (r->deadline);
  settle (r);
  log_end (r);
  r->state = RELAY_OVER;
  r->caller = NULL;
  if (caller)
    caller->released (r->caller_data);
  if (!r->starting)
    talloc_free (r);
}

/* --- Answers ----------------------------------------------------------------------------- */

typedef struct
{
  Relay *relay;
  RelayHeader *list;
  size_t n;
} HeaderPick;

static void
pick_header (void *data, const char *name, const char *value)
{
  HeaderPick *p = data;
  Dialect *dialect = p->relay->deps->dialect;

  if (!dialect->ops->returns_header (dialect, name))
    return;
  p->list = talloc_realloc (NULL, p->list, RelayHeader, p->n + 1);
  p->list[p->n].name = talloc_strdup (p->list, name);
  p->list[p->n].value = talloc_strdup (p->list, value);
  p->n++;
}

RelayHeader *
relay_headers (const void *ctx, Relay *r, BackendCall *call, size_t *n)
{
  HeaderPick pick = { .relay = r, .list = talloc_array (NULL, RelayHeader, 0) };

  backend_each_header (call, pick_header, &pick);
  *n = pick.n;
  return talloc_steal (ctx, pick.list);
}

static void
write_error (const RelayDeps *deps, const char *request_id, const Err *err, Outcome outcome,
             int status, const RelayCaller *caller, void *caller_data)
{
  char retry_after[RETRY_AFTER_BYTES];
  RelayHeader headers[3] = { { "Content-Type", "application/json" } };
  size_t n = 1;
  char *body = deps->dialect->ops->error_body (deps->dialect, NULL, request_id, err, outcome);

  if (request_id[0])
    headers[n++] = (RelayHeader){ "X-Request-Id", request_id };
  if (err->retry_after_ms > 0)
    {
      snprintf (retry_after, sizeof retry_after, "%" PRId64 ".%03" PRId64,
                err->retry_after_ms / 1000, err->retry_after_ms % 1000);
      headers[n++] = (RelayHeader){ "Retry-After", retry_after };
    }
  caller->answer (caller_data, status, headers, n, body, strlen (body));
  talloc_free (body);
}

void
relay_refuse (const RelayDeps *deps, const char *request_id, const Err *err,
              const RelayCaller *caller, void *caller_data)
{
  counter_refusal (err->kind);
  log_event (LOG_LEVEL_NOTICE, "relay", "refused", "id=%s status=%d reason=%s detail=\"%s\"",
             request_id, err_info (err->kind)->http_status, err_info (err->kind)->name,
             err->detail);
  write_error (deps, request_id, err, OUTCOME_NOT_RUN, err_info (err->kind)->http_status, caller,
               caller_data);
}

/* A status that promises "not run" is given only where that is known, and "unknown" only where it may
 * have run. */
static int
status_of (const Err *err, bool may_have_run)
{
  int status = err_info (err->kind)->http_status;

  if (may_have_run && (status == 503 || status == 429 || status == 408))
    return 502;
  if (!may_have_run && (status == 502 || status == 504))
    return 503;
  return status;
}

#define DEFAULT_RETRY_MS 300

void
relay_fail (Relay *r, const Err *err)
{
  Err answer = *err;

  relay_drop_attempt (r, ASSIGNMENT_FAILED);
  r->reason = err->kind;
  r->status = status_of (err, r->runs > 0);
  if (r->status == 503 && answer.retry_after_ms == 0)
    answer.retry_after_ms = DEFAULT_RETRY_MS;
  counter_refusal (err->kind);
  log_event (LOG_LEVEL_NOTICE, "relay", "failed",
             "id=%s status=%d reason=%s retry_after_ms=%" PRId64 " detail=\"%s\"", r->request->id,
             r->status, err_info (err->kind)->name, answer.retry_after_ms, err->detail);
  if (r->caller)
    write_error (r->deps, r->request->id, &answer, r->runs > 0 ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
                 r->status, r->caller, r->caller_data);
  release (r);
}

void
relay_finish_plain (Relay *r, Attempt *a)
{
  size_t n;
  RelayHeader *headers = relay_headers (a, r, a->call, &n);

  a->call = NULL;
  r->runs++;
  r->status = a->head.status;
  r->reason = ERR_NONE;
  r->used = a->body_used;
  if (r->caller)
    r->caller->answer (r->caller_data, a->head.status, headers, n, a->body ? a->body : "",
                       a->body_len);
  relay_drop_attempt (r, a->head.status >= 500 ? ASSIGNMENT_FAILED : ASSIGNMENT_COMPLETED);
  release (r);
}

void
relay_finish_stream (Relay *r)
{
  Attempt *a = r->attempt;
  size_t n;
  RelayHeader *headers;

  if (!r->begun)
    {
      headers = relay_headers (a, r, a->call, &n);
      r->status = a->head.status;
      r->caller->begin (r->caller_data, a->head.status, headers, n);
    }
  a->call = NULL;
  r->runs++;
  relay_drop_attempt (r, ASSIGNMENT_COMPLETED);
  r->reason = ERR_NONE;
  r->caller->end (r->caller_data);
  release (r);
}

/* Ends a stream that the caller has in part. */
static void
break_off (Relay *r, ErrKind kind)
{
  Dialect *dialect = r->deps->dialect;
  Err err = ERR_INIT;
  char *text;

  if (!dialect->ops->stream_error)
    {
      r->caller->abort (r->caller_data);
      return;
    }
  err_set (&err, kind, "server %s: %s", r->server, err_info (kind)->name);
  text = dialect->ops->stream_error (dialect, r, r->request->id, &err);
  r->caller->write (r->caller_data, text, strlen (text));
  r->caller->end (r->caller_data);
}

void
relay_give_up (Relay *r, ErrKind kind)
{
  r->reason = kind;
  counter_refusal (kind);
  relay_drop_attempt (r, kind == ERR_DEADLINE_EXCEEDED ? ASSIGNMENT_FAILED : ASSIGNMENT_CANCELLED);
  if (r->caller && r->begun)
    break_off (r, kind);
  else if (r->caller)
    r->caller->abort (r->caller_data);
  release (r);
}
