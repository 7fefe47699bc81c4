#include "operator/operator.h"

#include <string.h>

#include <talloc.h>

#include "relay/error_json.h"
#include "core/counter.h"
#include "http/server.h"

struct Operator
{
  OperatorOptions options;
  HttpServer *server;
};

static const char BUDGETS[] = "/v1/budgets/";

static void
send_text (HttpCall *call, int status, const char *type, const char *text)
{
  HttpHeader header = { "Content-Type", type };

  http_call_answer (call, status, &header, 1, text, strlen (text));
}

static void
send_json (HttpCall *call, int status, const char *json)
{
  send_text (call, status, "application/json", json);
}

static void
send_error (HttpCall *call, ErrKind kind, const char *detail)
{
  Err err = ERR_INIT;

  err_set (&err, kind, "%s", detail);
  send_json (call, err_info (kind)->http_status, error_json (call, &err, OUTCOME_NOT_RUN, ""));
}

static void
send_ready (Operator *op, HttpCall *call)
{
  if (op->options.ready (op->options.data))
    send_json (call, 200, "{\"ready\":true}");
  else
    send_json (call, 503, "{\"ready\":false}");
}

static void
send_budget (Operator *op, HttpCall *call, const char *name)
{
  char *json = op->options.budget (op->options.data, call, name);

  if (json)
    send_json (call, 200, json);
  else
    send_error (call, ERR_UNKNOWN_BUDGET, "there is no budget of that name");
}

static void
get (Operator *op, HttpCall *call, const char *target)
{
  if (!strcmp (target, "/metrics"))
    send_text (call, 200, "text/plain; version=0.0.4", counters_print (call));
  else if (!strcmp (target, "/healthz"))
    send_json (call, 200, "{\"healthy\":true}");
  else if (!strcmp (target, "/readyz"))
    send_ready (op, call);
  else if (!strcmp (target, "/v1/state"))
    send_json (call, 200, op->options.state (op->options.data, call));
  else if (!strncmp (target, BUDGETS, sizeof BUDGETS - 1))
    send_budget (op, call, target + sizeof BUDGETS - 1);
  else
    send_error (call, ERR_UNKNOWN_PATH, "there is no such path");
}

static void
on_request (void *data, HttpCall *call, HttpFault fault)
{
  Operator *op = data;
  const char *method = http_call_method (call);
  const char *target = http_call_target (call);

  if (fault)
    send_error (call, ERR_BAD_REQUEST, "the request is too large");
  else if (!strcmp (method, "GET"))
    get (op, call, target);
  else if (!strcmp (method, "POST") && !strcmp (target, "/v1/drain"))
    {
      op->options.drain (op->options.data);
      send_json (call, 202, "{\"draining\":true}");
    }
  else
    send_error (call, ERR_UNKNOWN_PATH, "there is no such method and path");
}

static void
ignore (void *data, HttpCall *call)
{
  (void)data;
  (void)call;
}

static const HttpServerEvents EVENTS = { on_request, ignore, ignore, ignore };

Operator *
operator_new (const void *ctx, Loop *loop, const OperatorOptions *options)
{
  Operator *op = talloc_zero (ctx, Operator);
  HttpServerOptions server = { .listen = options->listen,
                               .max_body = 65536,
                               .max_header = 8192,
                               .read_timeout_ms = 10000,
                               .max_connections = 64,
                               .events = &EVENTS,
                               .data = op };

  op->options = *options;
  op->server = http_server_new (op, loop, &server);
  if (op->server)
    return op;
  talloc_free (op);
  return NULL;
}

uint16_t
operator_port (const Operator *op)
{
  return http_server_port (op->server);
}
