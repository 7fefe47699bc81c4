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

#include "backend/retry_after.h"
#include "native/load_report.h"
#include "native/model_answer.h"
#include "native/model_body.h"
#include "native/target.h"

#include "relay/error_json.h"
#include "relay/sse.h"

#define DEFAULT_DEADLINE_MS 60000
#define MAX_DEADLINE_MS     600000
#define POOL_PATH           "/v1/pools/"

typedef struct
{
  Dialect dialect;
  char *host;
  uint64_t incarnation;
  atomic_uint_fast64_t next_id;
} NativeDialect;

/* --- Requests ---------------------------------------------------------------------------- */

/* Hop-by-hop headers, those that the router sets itself, those that would let a server take the call
 * for another one than its rule was chosen for, and the API key. */
static const char *const KEPT_BACK[] = { "Connection",
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
read_deadline (HttpCall *call, RelayRequest *q, Err *err)
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
  return true;
}

static bool
read_account (HttpCall *call, const Catalog *catalog, const void *ctx, RelayRequest *q, Err *err)
{
  const char *value = http_call_header (call, "Authorization");
  const CatalogAccount *account;

  if (!value || strncasecmp (value, "Bearer ", 7) != 0)
    return err_set (err, ERR_UNAUTHORIZED, "an Authorization: Bearer header is needed");
  account = catalog_account_by_key (catalog, value + 7);
  if (!account)
    return err_set (err, ERR_UNAUTHORIZED, "the API key is not known");
  if (!account->limited)
    return err_set (err, ERR_UNKNOWN_BUDGET, "the account has no budget");
  q->account = talloc_strdup (ctx, account->name);
  q->has_budget = true;
  q->priority = account->priority;
  return true;
}

static bool
read_model (HttpCall *call, const Catalog *catalog, const void *ctx, RelayRequest *q, Err *err)
{
  size_t len;
  const char *body = http_call_body (call, &len);
  ModelBody *m = model_body_parse (ctx, body, len, q->priority, err);

  if (!m)
    return false;
  q->service = catalog_service_by_model (catalog, m->model);
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
  q->body = m->forward;
  q->body_len = m->forward_len;
  q->hide_usage = m->stream && !m->wants_usage;
  return true;
}

static void
pass_header (void *data, const char *name, const char *value)
{
  RelayRequest *q = data;
  RelayHeader *list = (RelayHeader *)q->headers;

  for (size_t i = 0; i < sizeof KEPT_BACK / sizeof KEPT_BACK[0]; i++)
    if (!strcasecmp (name, KEPT_BACK[i]))
      return;
  list = talloc_realloc (q, list, RelayHeader, q->n_headers + 1);
  list[q->n_headers++] = (RelayHeader){ talloc_strdup (q, name), talloc_strdup (q, value) };
  q->headers = list;
}

static bool
read_call (HttpCall *call, const Catalog *catalog, const Target *target, RelayRequest *q, Err *err)
{
  q->service = catalog_service (catalog, target->pool);
  if (!q->service || q->service->is_engine)
    return err_set (err, ERR_UNKNOWN_POOL, "there is no service pool of that name");
  q->route = catalog_route (catalog, q->method, "", http_call_target (call));
  q->target = target->path;
  q->kind = q->route ? q->route->kind : CALL_ONCE;
  q->repeatable = q->kind == CALL_IDEMPOTENT;
  q->max_attempts = q->repeatable ? 2 : 1;
  q->prompt_tokens = q->route ? q->route->price : 0;
  q->body = http_call_body (call, &q->body_len);
  http_call_each_header (call, pass_header, q);
  return true;
}

static bool
decode (Dialect *dialect, const void *ctx, HttpCall *call, const Catalog *catalog, RelayRequest *q,
        Err *err)
{
  NativeDialect *d = (NativeDialect *)dialect;
  Target target;

  q->id = talloc_asprintf (ctx, "%s.%" PRIx64 "-%" PRIuFAST64, d->host, d->incarnation,
                           atomic_fetch_add (&d->next_id, 1));
  q->method = http_call_method (call);
  if (!catalog)
    return err_set (err, ERR_NOT_READY, "this host has no ticket in force yet");
  if (!target_parse (q->method, http_call_target (call), &target, err))
    return false;
  if (!read_account (call, catalog, ctx, q, err) || !read_deadline (call, q, err))
    return false;
  if (target.kind == TARGET_MODEL)
    return read_model (call, catalog, ctx, q, err);
  return read_call (call, catalog, &target, q, err);
}

#define OWN_HEADERS 4

static void
encode (Dialect *dialect, const void *ctx, const RelayRequest *q, const RelaySendParams *send,
        HeaderLines *h)
{
  bool has_type = false;

  (void)dialect;
  h->lines = talloc_zero_array (ctx, char *, q->n_headers + OWN_HEADERS);
  h->lines[h->n++] = talloc_asprintf (ctx, "X-Request-Id: %s", q->id);
  h->lines[h->n++] = talloc_asprintf (ctx, "X-Deadline-Ms: %" PRId64, send->time_left_ms);
  for (size_t i = 0; i < q->n_headers; i++)
    {
      has_type |= !strcasecmp (q->headers[i].name, "Content-Type");
      h->lines[h->n++] = talloc_asprintf (ctx, "%s: %s", q->headers[i].name, q->headers[i].value);
    }
  /* libcurl would add one of its own. */
  if (!has_type)
    h->lines[h->n++]
        = talloc_strdup (ctx, q->has_prompt ? "Content-Type: application/json" : "Content-Type:");
}

/* --- Answers ----------------------------------------------------------------------------- */

static void
read_head (Dialect *dialect, const RelayRequest *q, BackendCall *call, RelayResponseHead *head)
{
  const char *id = backend_header (call, "X-Request-Id");
  const char *load = backend_header (call, "X-Pond-Load");
  LoadReport report;

  (void)dialect;
  head->matches_request = id && !strcmp (id, q->id);
  head->from_server = true;
  head->retry_after_ms = head->status == 503 ? retry_after_read (call) : 0;
  if (!load || !load_report_parse (load, &report))
    return;
  head->has_load = true;
  head->running = report.running;
  head->waiting = report.waiting;
}

static bool
read_event (Dialect *dialect, const RelayRequest *q, const char *event, size_t len, RelayEvent *out)
{
  const char *payload;
  size_t payload_len;
  ModelAnswer answer;

  (void)dialect;
  *out = (RelayEvent){ .usage = -1 };
  /* Comments keep a connection alive and carry nothing. */
  if (!sse_event_data (event, len, &payload, &payload_len))
    return event[0] == ':';
  if (payload_len == 6 && !memcmp (payload, "[DONE]", 6))
    {
      out->last = true;
      return true;
    }
  answer = model_answer_read (payload, payload_len, q->id);
  if (!answer.valid)
    return false;
  out->mismatched = !answer.id_matches;
  out->tokens = answer.has_token ? 1 : 0;
  out->usage = answer.used;
  out->hidden = !answer.has_choices && q->hide_usage;
  return true;
}

/* {"executed":false}: the server itself says that it did not run the request. */
static void
read_body (Dialect *dialect, const RelayRequest *q, int status, const char *body, size_t len,
           RelayResponseBody *out)
{
  json_t *json;

  (void)dialect;
  if (q->has_prompt && status < 400)
    out->usage = model_answer_read (body, len, q->id).used;
  if (status != 503 && status != 429)
    return;
  json = json_loadb (body, len, 0, NULL);
  out->not_run = json_is_false (json_object_get (json, "executed"));
  json_decref (json);
}

static bool
returns_header (Dialect *dialect, const char *name)
{
  (void)dialect;
  return !strcasecmp (name, "Content-Type") || !strcasecmp (name, "X-Request-Id");
}

static char *
error_body (Dialect *dialect, const void *ctx, const char *request_id, const Err *err,
            Outcome outcome)
{
  (void)dialect;
  return error_json (ctx, err, outcome, request_id);
}

static char *
stream_error (Dialect *dialect, const void *ctx, const char *request_id, const Err *err)
{
  char *body = error_body (dialect, ctx, request_id, err, OUTCOME_UNKNOWN);

  return talloc_asprintf (ctx, "event: error\ndata: %s\n\n", body);
}

static const DialectOps OPS = { .decode_request = decode,
                                .encode_request = encode,
                                .decode_response_head = read_head,
                                .decode_event = read_event,
                                .decode_response_body = read_body,
                                .forwards_response_header = returns_header,
                                .encode_error = error_body,
                                .encode_stream_error = stream_error,
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
