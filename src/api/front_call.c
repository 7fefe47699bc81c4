#include "api/front_call.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#include <talloc.h>

#include "relay/error_answer.h"
#include "core/counter.h"
#include "api/issue_key.h"
#include "api/request.h"
#include "api/worker.h"
#include "core/log.h"

typedef struct
{
  Worker *worker;
  HttpCall *call;
  Request *request; /* NULL before it starts and after it is over */
} FrontCall;

/* --- Answers ----------------------------------------------------------------------------- */

#define MAX_ANSWER_HEADERS 4

typedef struct
{
  HttpHeader headers[MAX_ANSWER_HEADERS];
  size_t n;
  char retry_after[24];
} HeaderSet;

static void
fill_headers (HeaderSet *set, const AnswerHead *head)
{
  set->n = 0;
  if (head->content_type)
    set->headers[set->n++] = (HttpHeader){ "Content-Type", head->content_type };
  set->headers[set->n++] = (HttpHeader){ "X-Request-Id", head->request_id };
  if (head->stored)
    set->headers[set->n++] = (HttpHeader){ "X-Stored-Answer", "1" };
  if (head->retry_after_ms <= 0)
    return;
  snprintf (set->retry_after, sizeof set->retry_after, "%" PRId64,
            (head->retry_after_ms + 999) / 1000);
  set->headers[set->n++] = (HttpHeader){ "Retry-After", set->retry_after };
}

static void
answer (void *data, const AnswerHead *head, const char *body, size_t len)
{
  FrontCall *fc = data;
  HeaderSet set;

  fill_headers (&set, head);
  http_call_answer (fc->call, head->status, set.headers, set.n, body, len);
}

static void
begin (void *data, const AnswerHead *head)
{
  FrontCall *fc = data;
  HeaderSet set;

  fill_headers (&set, head);
  http_call_begin (fc->call, head->status, set.headers, set.n);
}

static bool
write_bytes (void *data, const char *bytes, size_t len)
{
  return http_call_write (((FrontCall *)data)->call, bytes, len);
}

static void
end (void *data)
{
  http_call_end (((FrontCall *)data)->call);
}

static void
released (void *data)
{
  ((FrontCall *)data)->request = NULL;
}

static const CallerOps CALLER = { answer, begin, write_bytes, end, released };

/* A refusal that needs no request. */
static void
refuse (FrontCall *fc, ErrKind kind, const char *detail)
{
  char id[96];
  Err err = ERR_INIT;
  AnswerHead head = { .status = err_info (kind)->http_status,
                      .request_id = id,
                      .content_type = "application/json" };
  char *body;

  fc->worker->deps.ops->next_id (&fc->worker->deps, id, sizeof id);
  err_set (&err, kind, "%s", detail);
  counter_refusal (kind);
  log_line (LOG_LEVEL_NOTICE, "front", "Request refused. id=%s reason=%s outcome=%s", id,
            err_info (kind)->name, outcome_name (err_info (kind)->outcome));
  body = error_answer (fc, &err, err_info (kind)->outcome, id);
  answer (fc, &head, body, strlen (body));
  talloc_free (body);
}

/* --- Headers to pass on ------------------------------------------------------------------ */

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
                                         "Idempotency-Key",
                                         "X-Request-Id",
                                         "X-Deadline-Ms",
                                         "X-Budget",
                                         "X-HTTP-Method-Override",
                                         "X-HTTP-Method",
                                         "X-Method-Override" };

typedef struct
{
  const char **list;
  size_t n;
  const char *connection; /* value of the Connection header: names more of them */
} PassedHeaders;

static bool
names_header (const char *list, const char *name)
{
  size_t len = strlen (name);

  while (list && *list)
    {
      size_t token;

      list += strspn (list, ", \t");
      token = strcspn (list, ", \t");
      if (token == len && !strncasecmp (list, name, len))
        return true;
      list += token;
    }
  return false;
}

static void
pass_header (void *data, const char *name, const char *value)
{
  PassedHeaders *p = data;

  for (size_t i = 0; i < sizeof KEPT_BACK / sizeof KEPT_BACK[0]; i++)
    if (!strcasecmp (name, KEPT_BACK[i]))
      return;
  if (names_header (p->connection, name))
    return;
  p->list = talloc_realloc (NULL, p->list, const char *, p->n + 1);
  p->list[p->n++] = talloc_asprintf (p->list, "%s: %s", name, value);
}

/* --- Events of the server ---------------------------------------------------------------- */

static void
start_request (FrontCall *fc)
{
  HttpCall *call = fc->call;
  PassedHeaders passed = { .connection = http_call_header (call, "Connection") };
  RequestInput in = { .method = http_call_method (call),
                      .target = http_call_target (call),
                      .authorization = http_call_header (call, "Authorization"),
                      .idempotency_key = http_call_header (call, "Idempotency-Key"),
                      .budget = http_call_header (call, "X-Budget"),
                      .deadline_ms = http_call_header (call, "X-Deadline-Ms"),
                      .received_us = http_call_started_us (call) };

  passed.list = talloc_array (NULL, const char *, 0);
  http_call_each_header (call, pass_header, &passed);
  in.headers = passed.list;
  in.n_headers = passed.n;
  in.body = http_call_body (call, &in.body_len);
  fc->request = request_new (fc->worker, &fc->worker->deps, &in, &CALLER, fc);
  talloc_free (passed.list);
  http_call_drop_body (call);
}

static bool
is_key_request (const HttpCall *call)
{
  return !strcmp (http_call_method (call), "POST") && !strcmp (http_call_target (call), "/v1/keys");
}

static void
on_request (void *data, HttpCall *call, HttpFault fault)
{
  Worker *w = data;
  FrontCall *fc = talloc_zero (call, FrontCall);

  fc->worker = w;
  fc->call = call;
  http_call_set_data (call, fc);
  atomic_fetch_add (&w->open_calls, 1);
  if (fault == HTTP_FAULT_BODY_TOO_LARGE)
    refuse (fc, ERR_BODY_TOO_LARGE, "the body is too large");
  else if (fault == HTTP_FAULT_HEADERS_TOO_LARGE)
    refuse (fc, ERR_HEADERS_TOO_LARGE, "the headers are too large");
  else if (!atomic_load (w->accepting))
    refuse (fc, ERR_DRAINING, "this host takes no new requests");
  else if (is_key_request (call))
    issue_key (w, call);
  else
    start_request (fc);
}

static void
on_drained (void *data, HttpCall *call)
{
  FrontCall *fc = data;

  (void)call;
  if (fc->request)
    request_caller_ready (fc->request);
}

static void
on_gone (void *data, HttpCall *call)
{
  FrontCall *fc = data;
  Request *r = fc->request;

  (void)call;
  fc->request = NULL;
  if (r)
    request_client_gone (r);
}

static void
on_closed (void *data, HttpCall *call)
{
  FrontCall *fc = data;

  on_gone (data, call);
  atomic_fetch_sub (&fc->worker->open_calls, 1);
}

static const HttpServerEvents EVENTS = { on_request, on_drained, on_gone, on_closed };

const HttpServerEvents *
front_call_events (void)
{
  return &EVENTS;
}

const char *
front_call_timeout_answer (void)
{
  return "{\"error\":{\"kind\":\"request_timeout\",\"outcome\":\"not_run\",\"retryable\":true,"
         "\"message\":\"the request did not arrive in time\",\"request_id\":\"\"}}";
}
