#include "operator/operator_server.h"

#include <string.h>

#include <talloc.h>

#include "relay/error_json.h"
#include "core/counter.h"
#include "http/server.h"

struct OperatorServer
{
  OperatorServerOptions options;
  HttpServer *server;
};

static const char BUDGETS_PREFIX[] = "/v1/budgets/";

static void
respond_text (HttpCall *call, int status, const char *type, const char *text)
{
  HttpHeader header = { "Content-Type", type };

  http_call_respond (call, status, &header, 1, text, strlen (text));
}

static void
respond_json (HttpCall *call, int status, const char *json)
{
  respond_text (call, status, "application/json", json);
}

static void
respond_error (HttpCall *call, ErrKind kind, const char *detail)
{
  Err err = ERR_INIT;

  err_set (&err, kind, "%s", detail);
  respond_json (call, err_info (kind)->http_status, error_json (call, &err, OUTCOME_NOT_RUN, ""));
}

static void
respond_readiness (OperatorServer *s, HttpCall *call)
{
  if (s->options.is_ready (s->options.data))
    respond_json (call, 200, "{\"ready\":true}");
  else
    respond_json (call, 503, "{\"ready\":false}");
}

static void
respond_budget (OperatorServer *s, HttpCall *call, const char *name)
{
  char *json = s->options.budget_json (s->options.data, call, name);

  if (json)
    respond_json (call, 200, json);
  else
    respond_error (call, ERR_UNKNOWN_BUDGET, "there is no budget of that name");
}

static void
handle_get (OperatorServer *s, HttpCall *call, const char *target)
{
  if (!strcmp (target, "/metrics"))
    respond_text (call, 200, "text/plain; version=0.0.4", counters_print (call));
  else if (!strcmp (target, "/healthz"))
    respond_json (call, 200, "{\"healthy\":true}");
  else if (!strcmp (target, "/readyz"))
    respond_readiness (s, call);
  else if (!strcmp (target, "/v1/state"))
    respond_json (call, 200, s->options.state_json (s->options.data, call));
  else if (!strcmp (target, "/v1/summary"))
    respond_json (call, 200, s->options.summary_json (s->options.data, call));
  else if (!strncmp (target, BUDGETS_PREFIX, sizeof BUDGETS_PREFIX - 1))
    respond_budget (s, call, target + sizeof BUDGETS_PREFIX - 1);
  else
    respond_error (call, ERR_UNKNOWN_PATH, "there is no such path");
}

static void
on_request (void *data, HttpCall *call, HttpFault fault)
{
  OperatorServer *s = data;
  const char *method = http_call_method (call);
  const char *target = http_call_target (call);

  if (fault)
    respond_error (call, ERR_BAD_REQUEST, "the request is too large");
  else if (!strcmp (method, "GET"))
    handle_get (s, call, target);
  else if (!strcmp (method, "POST") && !strcmp (target, "/v1/drain"))
    {
      s->options.start_drain (s->options.data);
      respond_json (call, 202, "{\"draining\":true}");
    }
  else
    respond_error (call, ERR_UNKNOWN_PATH, "there is no such method and path");
}

static void
ignore_event (void *data, HttpCall *call)
{
  (void)data;
  (void)call;
}

static const HttpServerEvents SERVER_EVENTS
    = { on_request, ignore_event, ignore_event, ignore_event };

OperatorServer *
operator_server_new (const void *ctx, Loop *loop, const OperatorServerOptions *options)
{
  OperatorServer *s = talloc_zero (ctx, OperatorServer);
  HttpServerOptions server = { .listen = options->listen,
                               .max_body_bytes = 65536,
                               .max_header_bytes = 8192,
                               .read_timeout_ms = 10000,
                               .max_connections = 64,
                               .events = &SERVER_EVENTS,
                               .data = s };

  s->options = *options;
  s->server = http_server_new (s, loop, &server);
  if (s->server)
    return s;
  talloc_free (s);
  return NULL;
}

uint16_t
operator_server_port (const OperatorServer *s)
{
  return http_server_port (s->server);
}
