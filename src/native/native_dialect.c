#include "native/native_dialect.h"

#include <errno.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <jansson.h>
#include <talloc.h>

#include "backend/header_repeated.h"
#include "backend/retry_after.h"
#include "native/load_report.h"
#include "native/model_response.h"
#include "native/model_request.h"
#include "native/request_target.h"

#include "relay/error_json.h"
#include "relay/sse.h"
#include "relay/status_promise.h"

#define DEFAULT_DEADLINE_MS 60000
#define MAX_DEADLINE_MS     600000

typedef struct
{
  Dialect dialect;
  char *host;
  uint64_t incarnation;
  atomic_uint_fast64_t next_id;
} NativeDialect;

/* --- Requests ---------------------------------------------------------------------------- */

/* Hop-by-hop headers, headers that the router sets itself, the API key, and headers that override the
 * method, because the route was chosen by the request's own method. */
static const char *const NOT_FORWARDED[] = { "Connection",
                                             "Keep-Alive",
                                             "Proxy-Authenticate",
                                             "Proxy-Authorization",
                                             "Proxy-Connection",
                                             "TE",
                                             "Trailer",
                                             "Transfer-Encoding",
                                             "Upgrade",
                                             "Expect",
                                             "Host",
                                             "Content-Length",
                                             "Accept-Encoding",
                                             "Authorization",
                                             "X-Request-Id",
                                             "X-Deadline-Ms",
                                             "X-HTTP-Method-Override",
                                             "X-HTTP-Method",
                                             "X-Method-Override" };

static bool
parse_deadline (HttpCall *call, RelayRequest *q, Err *err)
{
  const char *text = http_call_header (call, "X-Deadline-Ms");
  long long ms = DEFAULT_DEADLINE_MS;
  char *end;

  if (text)
    {
      errno = 0;
      ms = strtoll (text, &end, 10);
      if (errno || end == text || *end || ms < 1 || ms > MAX_DEADLINE_MS)
        return err_set (err, ERR_BAD_DEADLINE, "X-Deadline-Ms must be a whole number from 1 to %d",
                        MAX_DEADLINE_MS);
    }
  q->client_timeout_ms = ms;
  q->client_states_timeout = text != NULL;
  return true;
}

static bool
authenticate (HttpCall *call, const Catalog *catalog, const void *ctx, RelayRequest *q, Err *err)
{
  const char *value = http_call_header (call, "Authorization");
  const CatalogAccount *account;

  if (!value || strncasecmp (value, "Bearer ", 7) != 0)
    return err_set (err, ERR_UNAUTHORIZED, "an Authorization: Bearer header is needed");
  account = catalog_find_account_by_key (catalog, value + 7);
  if (!account)
    return err_set (err, ERR_UNAUTHORIZED, "the API key is not known");
  if (!account->has_budget)
    return err_set (err, ERR_UNKNOWN_BUDGET, "the account has no budget");
  q->account = talloc_strdup (ctx, account->name);
  q->has_budget = true;
  q->priority = account->priority;
  return true;
}

static bool
decode_model_request (HttpCall *call, const Catalog *catalog, const void *ctx, RelayRequest *q,
                      Err *err)
{
  size_t len;
  const char *body = http_call_body (call, &len);
  ModelRequest *m = model_request_parse (ctx, body, len, q->priority, err);

  if (!m)
    return false;
  q->service = catalog_find_service_by_model (catalog, m->model);
  if (!q->service)
    return err_set (err, ERR_UNKNOWN_POOL, "no pool serves this model");
  q->target = "/v1/chat/completions";
  q->kind = m->stream ? CALL_STREAM : CALL_IDEMPOTENT;
  q->repeatable = true;
  q->max_attempts = 2;
  q->has_prompt = true;
  q->prompt_tokens = m->prompt_tokens;
  q->max_tokens = m->max_tokens;
  memcpy (q->parts, m->parts, sizeof q->parts);
  q->n_parts = m->n_parts;
  q->body = m->forward_body;
  q->body_len = m->forward_body_len;
  q->hide_usage = m->stream && !m->include_usage;
  return true;
}

static void
forward_header (void *data, const char *name, const char *value)
{
  RelayRequest *q = data;
  RelayHeader *list = (RelayHeader *)q->headers;

  for (size_t i = 0; i < sizeof NOT_FORWARDED / sizeof NOT_FORWARDED[0]; i++)
    if (!strcasecmp (name, NOT_FORWARDED[i]))
      return;
  list = talloc_realloc (q, list, RelayHeader, q->n_headers + 1);
  list[q->n_headers++] = (RelayHeader){ talloc_strdup (q, name), talloc_strdup (q, value) };
  q->headers = list;
}

static bool
decode_service_request (HttpCall *call, const Catalog *catalog, const RequestTarget *target,
                        RelayRequest *q, Err *err)
{
  q->service = catalog_find_service (catalog, target->pool);
  if (!q->service || q->service->is_engine)
    return err_set (err, ERR_UNKNOWN_POOL, "there is no service pool of that name");
  q->route = catalog_match_route (catalog, q->method, "", http_call_target (call));
  q->target = target->path;
  q->kind = q->route ? q->route->kind : CALL_NON_IDEMPOTENT;
  q->repeatable = q->kind == CALL_IDEMPOTENT;
  q->max_attempts = q->repeatable ? 2 : 1;
  q->prompt_tokens = q->route ? q->route->price : 0;
  q->body = http_call_body (call, &q->body_len);
  q->body_owner = http_call_body_owner (call);
  http_call_each_header (call, forward_header, q);
  return true;
}

static bool
decode_request (Dialect *dialect, const void *ctx, HttpCall *call, const Catalog *catalog,
                RelayRequest *q, Err *err)
{
  NativeDialect *d = (NativeDialect *)dialect;
  RequestTarget target;

  q->id = talloc_asprintf (ctx, "%s.%" PRIx64 "-%" PRIuFAST64, d->host, d->incarnation,
                           atomic_fetch_add (&d->next_id, 1));
  q->method = http_call_method (call);
  if (!catalog)
    return err_set (err, ERR_NOT_READY, "this host has no ticket in force yet");
  if (!request_target_parse (q->method, http_call_target (call), &target, err))
    return false;
  if (!authenticate (call, catalog, ctx, q, err) || !parse_deadline (call, q, err))
    return false;
  if (target.kind == TARGET_MODEL)
    return decode_model_request (call, catalog, ctx, q, err);
  return decode_service_request (call, catalog, &target, q, err);
}

#define N_ADDED_HEADERS 4

static void
encode_request (Dialect *dialect, const void *ctx, const RelayRequest *q,
                const RelaySendParams *send, HeaderLines *headers)
{
  bool has_type = false;

  (void)dialect;
  headers->lines = talloc_zero_array (ctx, char *, q->n_headers + N_ADDED_HEADERS);
  headers->lines[headers->n++] = talloc_asprintf (ctx, "X-Request-Id: %s", q->id);
  headers->lines[headers->n++]
      = talloc_asprintf (ctx, "X-Deadline-Ms: %" PRId64, send->time_left_ms);
  for (size_t i = 0; i < q->n_headers; i++)
    {
      has_type |= !strcasecmp (q->headers[i].name, "Content-Type");
      headers->lines[headers->n++]
          = talloc_asprintf (ctx, "%s: %s", q->headers[i].name, q->headers[i].value);
    }
  /* libcurl would otherwise add a Content-Type of its own. */
  if (!has_type)
    headers->lines[headers->n++]
        = talloc_strdup (ctx, q->has_prompt ? "Content-Type: application/json" : "Content-Type:");
}

/* --- Responses --------------------------------------------------------------------------- */

static void
decode_response_head (Dialect *dialect, const RelayRequest *q, BackendCall *call,
                      RelayResponseHead *head)
{
  const char *id = backend_header (call, "X-Request-Id");
  const char *load = backend_header (call, "X-Pond-Load");
  LoadReport report;

  (void)dialect;
  head->has_id = id != NULL;
  head->matches_request = id && !strcmp (id, q->id) && !header_is_repeated (call, "X-Request-Id");
  head->from_server = true;
  head->retry_after_ms = head->status == 503 ? retry_after_read (call) : 0;
  if (!load || !load_report_parse (load, &report))
    return;
  head->has_load = true;
  head->load = (LoadFigures){ .running = report.running,
                              .waiting = report.waiting,
                              .age_ms = report.age_ms };
  head->brittle = -1;
  head->cold_ms = -1;
  head->limit.kind = report.limit_requests_per_s > 0 ? LIMIT_NAMED : LIMIT_NONE;
  head->limit.requests_per_s = report.limit_requests_per_s;
}

static bool
decode_event (Dialect *dialect, const RelayRequest *q, const char *event, size_t len,
              RelayEvent *out)
{
  const char *payload;
  size_t payload_len;
  ModelResponse response;

  (void)dialect;
  *out = (RelayEvent){ .usage = -1 };
  /* Servers send SSE comments, which carry no data, as keep-alives. */
  if (!sse_event_data (event, len, &payload, &payload_len))
    return event[0] == ':';
  if (payload_len == 6 && !memcmp (payload, "[DONE]", 6))
    {
      out->last = true;
      return true;
    }
  response = model_response_parse (payload, payload_len, q->id);
  if (!response.valid)
    return false;
  out->mismatched = !response.id_matches;
  out->tokens = response.has_output ? 1 : 0;
  out->usage = response.used;
  out->hidden = !response.has_choices && q->hide_usage;
  return true;
}

/* {"executed":false}: the server states that it did not run the request. */
static void
decode_response_body (Dialect *dialect, const RelayRequest *q, int status, const char *body,
                      size_t len, RelayResponseBody *out)
{
  json_t *json;

  (void)dialect;
  if (q->has_prompt && status < 400)
    out->usage = model_response_parse (body, len, q->id).used;
  if (!status_promises_not_run (status))
    return;
  json = json_loadb (body, len, 0, NULL);
  out->not_run = json_is_false (json_object_get (json, "executed"));
  json_decref (json);
}

static bool
forwards_response_header (Dialect *dialect, const char *name)
{
  (void)dialect;
  return !strcasecmp (name, "Content-Type") || !strcasecmp (name, "X-Request-Id");
}

static char *
encode_error (Dialect *dialect, const void *ctx, const char *request_id, const Err *err,
              Outcome outcome)
{
  (void)dialect;
  return error_json (ctx, err, outcome, request_id);
}

static char *
encode_stream_error (Dialect *dialect, const void *ctx, const char *request_id, const Err *err)
{
  char *body = encode_error (dialect, ctx, request_id, err, OUTCOME_UNKNOWN);

  return talloc_asprintf (ctx, "event: error\ndata: %s\n\n", body);
}

static const DialectOps OPS = { .decode_request = decode_request,
                                .encode_request = encode_request,
                                .decode_response_head = decode_response_head,
                                .decode_event = decode_event,
                                .decode_response_body = decode_response_body,
                                .forwards_response_header = forwards_response_header,
                                .encode_error = encode_error,
                                .encode_stream_error = encode_stream_error,
                                .has_end_event = true };

Dialect *
native_dialect_new (const void *ctx, const char *host, uint64_t incarnation)
{
  NativeDialect *d = talloc_zero (ctx, NativeDialect);

  d->dialect.ops = &OPS;
  d->host = talloc_strdup (d, host);
  d->incarnation = incarnation;
  return &d->dialect;
}
