#include "relay/relay_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/invariant.h"
#include "core/log.h"
#include "relay/relay_counters.h"
#include "relay/status_promise.h"

/* Size of the text of a Retry-After header: seconds with three decimals. */
#define RETRY_AFTER_BYTES 32

/* Size of the text of the log fields on limits of servers. */
#define LIMITS_BYTES 96

/* Size of the text of the log fields on admission. */
#define ADMISSION_BYTES 64

/* Of an id from a client in the log, including the terminating NUL; the rest of a longer one is left out. */
#define LOG_ID_BYTES 64

/* Size of the text of the log field on the stream that is taken up. */
#define RESUMES_BYTES (LOG_ID_BYTES + 16)

/* --- Settlement -------------------------------------------------------------------------- */

static Charge
compute_charge (const Relay *r)
{
  const RelayRequest *q = r->request;
  ChargeInput input = { .runs = r->runs,
                        .status = r->status,
                        .complete = r->reason == ERR_NONE,
                        .client_gone = r->reason == ERR_CLIENT_GONE,
                        .events = r->events,
                        .prompt = q->prompt_tokens,
                        .delivered = tokens_min (r->delivered, q->max_tokens),
                        .usage = r->usage,
                        .reserved = r->reserved,
                        .charge_failed = r->deps->charge_failed };

  return charge_compute (&input);
}

static void
settle (Relay *r)
{
  if (!r->reservation)
    return;
  if (r->reserved > 0)
    {
      r->charge = compute_charge (r);
      if (r->charge.usage_rejected)
        counter_add (relay_counters ()->usage_rejected, 1);
      reservation_settle (r->reservation, r->charge.tokens, timers_now_ms (r->deps->timers));
    }
  else
    talloc_free (r->reservation);
  r->reservation = NULL;
}

/* Empty if limits of servers had nothing to do with the choice of the server. */
static void
format_limits (const Relay *r, char text[LIMITS_BYTES])
{
  const AssignmentLimits *l = &r->limits;

  text[0] = '\0';
  if (l->requests_per_s > 0)
    snprintf (text, LIMITS_BYTES, " limits_avoided=%d limit_per_s=%.3f limit_age_ms=%" PRId64,
              l->avoided, l->requests_per_s, l->age_ms);
}

/* Empty if there was room for all. */
static void
format_admission (const OverloadPass *pass, char text[ADMISSION_BYTES])
{
  text[0] = '\0';
  if (pass->level > 0 && pass->level < 1)
    snprintf (text, ADMISSION_BYTES, " level=%.3f rank=%d ample=%d", pass->level, pass->rank,
              pass->was_ample);
}

/* Empty if the client does not take up a stream. */
static void
format_resumes (const RelayRequest *q, char text[RESUMES_BYTES])
{
  char word[LOG_ID_BYTES];

  text[0] = '\0';
  if (q->resumes)
    snprintf (text, RESUMES_BYTES, " resumes=%s", log_word (word, sizeof word, q->resumes));
}

static void
log_end (const Relay *r)
{
  const RelayRequest *q = r->request;
  int64_t total = timers_now_ms (r->deps->timers) - r->received_ms;
  char limits[LIMITS_BYTES];
  char resumes[RESUMES_BYTES];
  char admission[ADMISSION_BYTES];

  format_admission (&r->admission, admission);
  format_limits (r, limits);
  format_resumes (q, resumes);
  histogram_add (relay_counters ()->duration, total * 1000);
  log_event (r->reason == ERR_NONE ? LOG_LEVEL_INFO : LOG_LEVEL_NOTICE, "relay", "end",
             "id=%s route=%s service=%s account=%s status=%d reason=%s server=%s sends=%d runs=%d "
             "prompt=%" PRId64 " reserved=%" PRId64 " settled=%" PRId64 " charge=%s events=%" PRId64
             " first_ms=%" PRId64 " gap_ms=%" PRId64 " total_ms=%" PRId64 " left_ms=%" PRId64
             " version=%s%s%s%s",
             q->id, q->route ? q->route->name : "-", q->service->name,
             q->account ? q->account : "-", r->status, err_info (r->reason)->name,
             r->server[0] ? r->server : "-", r->sends, r->runs, q->prompt_tokens, r->reserved,
             r->charge.tokens, r->reserved > 0 ? charge_outcome_name (r->charge.outcome) : "-",
             r->events, r->first_event_ms, r->max_gap_ms, total,
             r->deadline_ms - timers_now_ms (r->deps->timers), r->server[0] ? r->version : "-",
             limits, resumes, admission);
}

static void
finish (Relay *r)
{
  const RelayClientOps *client = r->client;

  TALLOC_FREE (r->deadline);
  TALLOC_FREE (r->lookup);
  settle (r);
  log_end (r);
  r->state = RELAY_FINISHED;
  r->client = NULL;
  if (client)
    client->released (r->client_data);
  if (!r->starting)
    talloc_free (r);
}

/* --- Responses --------------------------------------------------------------------------- */

typedef struct
{
  Relay *relay;
  RelayHeader *headers;
  size_t n;
} HeaderList;

static void
collect_header (void *data, const char *name, const char *value)
{
  HeaderList *h = data;
  Dialect *dialect = h->relay->deps->dialect;

  if (!dialect->ops->forwards_response_header (dialect, name))
    return;
  h->headers = talloc_realloc (NULL, h->headers, RelayHeader, h->n + 1);
  h->headers[h->n].name = talloc_strdup (h->headers, name);
  h->headers[h->n].value = talloc_strdup (h->headers, value);
  h->n++;
}

RelayHeader *
relay_headers_to_forward (const void *ctx, Relay *r, BackendCall *call, size_t *n)
{
  HeaderList list = { .relay = r, .headers = talloc_array (NULL, RelayHeader, 0) };

  backend_each_header (call, collect_header, &list);
  *n = list.n;
  return talloc_steal (ctx, list.headers);
}

static void
send_error (const RelayDeps *deps, const char *request_id, const Err *err, Outcome outcome,
            int status, const RelayClientOps *client, void *client_data)
{
  char retry_after[RETRY_AFTER_BYTES];
  RelayHeader headers[3] = { { "Content-Type", "application/json" } };
  size_t n = 1;
  char *body = deps->dialect->ops->encode_error (deps->dialect, NULL, request_id, err, outcome);

  if (request_id[0])
    headers[n++] = (RelayHeader){ "X-Request-Id", request_id };
  if (err->retry_after_ms > 0)
    {
      snprintf (retry_after, sizeof retry_after, "%" PRId64 ".%03" PRId64,
                err->retry_after_ms / 1000, err->retry_after_ms % 1000);
      headers[n++] = (RelayHeader){ "Retry-After", retry_after };
    }
  client->respond (client_data, status, headers, n, body, strlen (body));
  talloc_free (body);
}

void
relay_refuse (const RelayDeps *deps, const char *request_id, const Err *err,
              const RelayClientOps *client, void *client_data)
{
  int status = status_for_error (err_info (err->kind)->http_status, OUTCOME_NOT_RUN);

  counter_add_refusal (err->kind);
  log_event (LOG_LEVEL_NOTICE, "relay", "refused", "id=%s status=%d reason=%s detail=\"%s\"",
             request_id, status, err_info (err->kind)->name, err->detail);
  send_error (deps, request_id, err, OUTCOME_NOT_RUN, status, client, client_data);
}

#define DEFAULT_RETRY_AFTER_MS 300

void
relay_finish_error (Relay *r, const Err *err)
{
  Err response = *err;
  Outcome outcome;

  relay_end_attempt (r, ASSIGNMENT_FAILED);
  outcome = r->runs > 0 ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
  r->reason = err->kind;
  r->status = status_for_error (err_info (err->kind)->http_status, outcome);
  /* A stream whose version is unknown has to begin anew: waiting doesn't help. */
  if (r->status == 503 && response.retry_after_ms == 0 && err->kind != ERR_VERSION_UNKNOWN)
    response.retry_after_ms = relay_return_ms (r, err->kind, DEFAULT_RETRY_AFTER_MS);
  counter_add_refusal (err->kind);
  log_event (LOG_LEVEL_NOTICE, "relay", "failed",
             "id=%s status=%d reason=%s retry_after_ms=%" PRId64 " detail=\"%s\"", r->request->id,
             r->status, err_info (err->kind)->name, response.retry_after_ms, err->detail);
  if (r->client)
    send_error (r->deps, r->request->id, &response, outcome, r->status, r->client, r->client_data);
  finish (r);
}

/* The exchange may have ended before. */
static const RelayHeader *
headers_of_attempt (Relay *r, Attempt *a)
{
  if (!a->headers)
    a->headers = relay_headers_to_forward (a, r, a->call, &a->n_headers);
  return a->headers;
}

void
relay_finish_buffered (Relay *r, Attempt *a)
{
  const RelayHeader *headers = headers_of_attempt (r, a);

  INVARIANT ("not_run_is_true", !status_promises_not_run (a->head.status),
             "request %s, status %d of server %s", r->request->id, a->head.status, r->server);
  relay_report_complete (r, a);
  a->call = NULL;
  relay_count_run (r, a);
  r->status = a->head.status;
  r->reason = ERR_NONE;
  r->usage = a->body_usage;
  relay_keep_room (r, a);
  if (r->client)
    r->client->respond (r->client_data, a->head.status, headers, a->n_headers,
                        a->body ? a->body : "", a->body_len);
  relay_end_attempt (r, a->head.status >= 500 ? ASSIGNMENT_FAILED : ASSIGNMENT_COMPLETED);
  finish (r);
}

void
relay_finish_stream (Relay *r)
{
  Attempt *a = r->attempt;
  const RelayHeader *headers;

  if (!r->response_started)
    {
      headers = headers_of_attempt (r, a);
      r->status = a->head.status;
      r->client->begin (r->client_data, a->head.status, headers, a->n_headers);
    }
  relay_report_complete (r, a);
  a->call = NULL;
  relay_count_run (r, a);
  relay_end_attempt (r, ASSIGNMENT_COMPLETED);
  r->reason = ERR_NONE;
  r->client->end (r->client_data);
  finish (r);
}

/* Ends a stream of which the client has received a part. */
static void
end_interrupted_stream (Relay *r, ErrKind kind)
{
  Dialect *dialect = r->deps->dialect;
  Err err = ERR_INIT;
  char *text;

  if (!dialect->ops->encode_stream_error)
    {
      r->client->abort (r->client_data);
      return;
    }
  err_set (&err, kind, "server %s: %s", r->server, err_info (kind)->name);
  text = dialect->ops->encode_stream_error (dialect, r, r->request->id, &err);
  r->client->write (r->client_data, text, strlen (text));
  r->client->end (r->client_data);
}

void
relay_abort (Relay *r, ErrKind kind)
{
  r->reason = kind;
  counter_add_refusal (kind);
  relay_end_attempt (r, kind == ERR_DEADLINE_EXCEEDED ? ASSIGNMENT_FAILED : ASSIGNMENT_CANCELLED);
  if (r->client && r->response_started)
    end_interrupted_stream (r, kind);
  else if (r->client)
    r->client->abort (r->client_data);
  finish (r);
}
