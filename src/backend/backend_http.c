#include "backend/backend_http.h"

#include <stdio.h>

#include <talloc.h>

#define STREAM_RECEIVE_BUFFER_BYTES 1024

/* In addition to the limit of a direct connection: another host needs time to say that it can't connect either. */
#define TUNNEL_EXTRA_MS 200

#define TUNNEL_STATUS_NOT_CONNECTED 502
#define TUNNEL_STATUS_TIMED_OUT     504

typedef struct
{
  Backend backend;
  BackendHttpOptions options;
} BackendHttp;

typedef struct
{
  BackendCall call;
  HttpExchange *exchange;
  ReachRoute route;
  const BackendEvents *events;
  void *data;
} BackendHttpCall;

static FailurePoint
failure_point (HttpResult result)
{
  switch (result)
    {
    case HTTP_FAILED_CONNECT:
    case HTTP_TIMED_OUT_CONNECT:
      return FAIL_CONNECT;
    case HTTP_FAILED_SENDING:
      return FAIL_PARTLY_SENT;
    case HTTP_FAILED_NO_RESPONSE:
    case HTTP_TIMED_OUT_NO_RESPONSE:
      return FAIL_NO_RESPONSE;
    case HTTP_COMPLETE:
    case HTTP_FAILED_PARTIAL:
    case HTTP_TIMED_OUT_PARTIAL:
      break;
    }
  return FAIL_RESPONSE_TRUNCATED;
}

/* --- Reach ------------------------------------------------------------------------------- */

static int64_t
now_ms (const BackendHttp *b)
{
  return timers_now_ms (http_client_timers (b->options.client));
}

static ReachRoute
choose_route (const BackendHttp *b, const BackendRequest *r)
{
  ReachRoute route = { .server = "" };

  if (b->options.reach)
    return reach_choose (b->options.reach, r->address, r->regions, now_ms (b));
  snprintf (route.server, sizeof route.server, "%s", r->address);
  return route;
}

static void
report_answer (const BackendHttpCall *c)
{
  const BackendHttp *b = (const BackendHttp *)c->call.backend;

  if (b->options.reach)
    reach_answered (b->options.reach, &c->route, http_exchange_opened_connection (c->exchange),
                    now_ms (b));
}

static ReachResult
reach_result (const BackendHttpCall *c)
{
  int status = c->route.helper[0] ? http_exchange_tunnel_status (c->exchange) : 0;

  if (status == TUNNEL_STATUS_NOT_CONNECTED || status == TUNNEL_STATUS_TIMED_OUT)
    return REACH_SERVER_UNREACHABLE;
  return status > 0 ? REACH_HELPER_REFUSES : REACH_NO_CONNECTION;
}

static void
report_result (const BackendHttpCall *c, HttpResult result)
{
  const BackendHttp *b = (const BackendHttp *)c->call.backend;

  if (b->options.reach && (result == HTTP_FAILED_CONNECT || result == HTTP_TIMED_OUT_CONNECT))
    reach_failed (b->options.reach, &c->route, reach_result (c), now_ms (b));
}

/* --- Events ------------------------------------------------------------------------------ */

static void
on_headers (void *data, HttpExchange *exchange, int status)
{
  BackendHttpCall *c = data;

  report_answer (c);
  if (!c->events->headers (c->data, &c->call, status))
    http_exchange_abort (exchange);
}

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  BackendHttpCall *c = data;

  switch (c->events->body (c->data, bytes, len))
    {
    case BACKEND_PAUSE:
      return false;
    case BACKEND_ABORT:
      http_exchange_abort (exchange);
      break;
    case BACKEND_CONTINUE:
      break;
    }
  return true;
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  BackendHttpCall *c = data;
  bool timed_out = result == HTTP_TIMED_OUT_CONNECT || result == HTTP_TIMED_OUT_NO_RESPONSE
                   || result == HTTP_TIMED_OUT_PARTIAL;

  (void)exchange;
  report_result (c, result);
  if (result == HTTP_COMPLETE)
    c->events->end (c->data);
  else
    c->events->failed (c->data, failure_point (result), timed_out);
  talloc_free (c);
}

static const HttpEvents EVENTS = { on_headers, on_body, on_done };

static BackendCall *
start (Backend *backend, const BackendRequest *r, const BackendEvents *events, void *data)
{
  BackendHttp *b = (BackendHttp *)backend;
  BackendHttpCall *c = talloc_zero (b, BackendHttpCall);
  char *url = talloc_asprintf (c, "http://%s%s", r->address, r->target);
  HttpRequest request
      = { .method = r->method,
          .url = url,
          .headers = r->headers,
          .n_headers = r->n_headers,
          .body = r->body,
          .body_owner = r->body_owner,
          .body_len = r->body_len,
          .connect_timeout_ms = b->options.connect_timeout_ms,
          .timeout_ms = r->timeout_ms,
          .own_connection = r->own_connection,
          .max_idle_ms = r->max_idle_ms,
          .receive_buffer_bytes = r->small_receive_buffer ? STREAM_RECEIVE_BUFFER_BYTES : 0 };

  c->call.backend = backend;
  c->route = choose_route (b, r);
  if (c->route.helper[0])
    {
      request.tunnel_over = c->route.helper;
      request.connect_timeout_ms += TUNNEL_EXTRA_MS;
    }
  c->events = events;
  c->data = data;
  c->exchange = http_client_start (b->options.client, c, &request, &EVENTS, c);
  talloc_free (url);
  if (c->exchange)
    return &c->call;
  talloc_free (c);
  return NULL;
}

static FailurePoint
cancel (BackendCall *call)
{
  BackendHttpCall *c = (BackendHttpCall *)call;
  FailurePoint point = failure_point (http_exchange_failure_point (c->exchange));

  talloc_free (c);
  return point;
}

static void
resume (BackendCall *call)
{
  http_exchange_resume (((BackendHttpCall *)call)->exchange);
}

static const char *
header (BackendCall *call, const char *name)
{
  return http_exchange_header (((BackendHttpCall *)call)->exchange, name);
}

static const char *
interim_header (BackendCall *call, const char *name)
{
  return http_exchange_interim_header (((BackendHttpCall *)call)->exchange, name);
}

static void
each_header (BackendCall *call, BackendHeaderFn fn, void *data)
{
  http_exchange_each_header (((BackendHttpCall *)call)->exchange, fn, data);
}

static bool
is_first_exchange (BackendCall *call)
{
  return http_exchange_opened_connection (((BackendHttpCall *)call)->exchange);
}

static bool
has_framed_end (BackendCall *call)
{
  return http_exchange_has_framed_end (((BackendHttpCall *)call)->exchange);
}

static bool
is_direct (BackendCall *call)
{
  return ((BackendHttpCall *)call)->route.helper[0] == '\0';
}

static const BackendOps OPS
    = { start,          cancel,   resume, header, interim_header, each_header, is_first_exchange,
        has_framed_end, is_direct };

Backend *
backend_http_new (const void *ctx, const BackendHttpOptions *options)
{
  BackendHttp *b = talloc_zero (ctx, BackendHttp);

  b->backend.ops = &OPS;
  b->options = *options;
  return &b->backend;
}
