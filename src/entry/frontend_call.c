#include "entry/frontend_call.h"

#include <string.h>

#include <talloc.h>

#include "core/log.h"
#include "relay/relay_counters.h"

typedef struct
{
  FrontendShared *shared;
  HttpCall *call;
  Relay *relay; /* NULL before it starts and after it has ended */
} FrontendCall;

/* --- Responses --------------------------------------------------------------------------- */

/* @return the headers as a talloc array. */
static HttpHeader *
copy_headers (const RelayHeader *headers, size_t n)
{
  HttpHeader *list = talloc_array (NULL, HttpHeader, (unsigned)n);

  for (size_t i = 0; i < n; i++)
    list[i] = (HttpHeader){ headers[i].name, headers[i].value };
  return list;
}

static void
respond (void *data, int status, const RelayHeader *headers, size_t n_headers, const char *body,
         size_t len)
{
  FrontendCall *c = data;
  HttpHeader *list = copy_headers (headers, n_headers);

  http_call_respond (c->call, status, list, n_headers, body, len);
  talloc_free (list);
}

static void
begin_response (void *data, int status, const RelayHeader *headers, size_t n_headers)
{
  FrontendCall *c = data;
  HttpHeader *list = copy_headers (headers, n_headers);

  http_call_begin_response (c->call, status, list, n_headers);
  talloc_free (list);
}

static bool
write_bytes (void *data, const char *bytes, size_t len)
{
  return http_call_write (((FrontendCall *)data)->call, bytes, len);
}

static void
end_response (void *data)
{
  http_call_end_response (((FrontendCall *)data)->call);
}

static void
abort_response (void *data)
{
  http_call_abort (((FrontendCall *)data)->call);
}

static void
on_relay_released (void *data)
{
  ((FrontendCall *)data)->relay = NULL;
}

static void
keep_until_taken (void *data, void *object)
{
  talloc_steal (((FrontendCall *)data)->call, object);
}

static const RelayClientOps CLIENT_OPS
    = { respond,        begin_response,    write_bytes,     end_response,
        abort_response, on_relay_released, keep_until_taken };

/* Retry-After of a request whose body finds no room. */
#define NO_ROOM_RETRY_MS 1000

/* --- Requests ---------------------------------------------------------------------------- */

static bool
check_http_fault (HttpFault fault, Err *err)
{
  switch (fault)
    {
    case HTTP_FAULT_BODY_TOO_LARGE:
      return err_set (err, ERR_BODY_TOO_LARGE, "the body is too large");
    case HTTP_FAULT_HEADERS_TOO_LARGE:
      return err_set (err, ERR_HEADERS_TOO_LARGE, "the headers are too large");
    case HTTP_FAULT_NO_ROOM:
      err->retry_after_ms = NO_ROOM_RETRY_MS;
      return err_set (err, ERR_OVERLOADED, "other requests' bodies use up the memory for them");
    case HTTP_FAULT_FRAMING:
      return err_set (err, ERR_BAD_REQUEST,
                      "the request is malformed, or where it ends is ambiguous");
    case HTTP_FAULT_NONE:
      break;
    }
  return true;
}

static bool
check_accepting (const FrontendShared *shared, Err *err)
{
  if (!atomic_load (&shared->refusing))
    return true;
  err_set (err, ERR_DRAINING, "this host stops in a moment");
  return false;
}

static void
start_relay (FrontendCall *c, HttpFault fault)
{
  const RelayDeps *deps = &c->shared->deps;
  const Catalog *catalog = current_catalog_get (c->shared->catalog);
  void *memory = talloc_new (NULL);
  RelayRequest *request = talloc_zero (memory, RelayRequest);
  Err err = ERR_INIT;
  bool ok;

  request->id = "";
  ok = check_http_fault (fault, &err)
       && deps->dialect->ops->decode_request (deps->dialect, memory, c->call, catalog, request,
                                              &err)
       && check_accepting (c->shared, &err);
  if (ok)
    {
      /* The relay uses routes and services of this configuration until it ends. */
      catalog_attach (memory, catalog);
      if (request->client_states_timeout)
        http_call_set_deadline (c->call,
                                http_call_started_ms (c->call) + request->client_timeout_ms);
      c->relay = relay_new (deps, memory, request, http_call_started_ms (c->call), &CLIENT_OPS, c);
      return;
    }
  if (err.kind == ERR_NOT_READY || err.kind == ERR_NO_SERVER || err.kind == ERR_DRAINING)
    err.retry_after_ms = 300;
  relay_refuse (deps, request->id, &err, &CLIENT_OPS, c);
  catalog_unref (catalog);
  talloc_free (memory);
}

static void
on_request (void *data, HttpCall *call, HttpFault fault)
{
  FrontendShared *shared = data;
  FrontendCall *c = talloc_zero (call, FrontendCall);

  c->shared = shared;
  c->call = call;
  http_call_set_data (call, c);
  atomic_fetch_add (&shared->open, 1);
  counter_add (relay_counters ()->requests, 1);
  counter_add (relay_counters ()->open_requests, 1);
  start_relay (c, fault);
}

static void
on_writable (void *data, HttpCall *call)
{
  FrontendCall *c = data;

  (void)call;
  if (c->relay)
    relay_client_writable (c->relay);
}

static void
on_client_gone (void *data, HttpCall *call)
{
  FrontendCall *c = data;
  Relay *relay = c->relay;

  (void)call;
  c->relay = NULL;
  if (relay)
    relay_client_gone (relay);
}

static void
on_closed (void *data, HttpCall *call)
{
  FrontendCall *c = data;

  on_client_gone (data, call);
  atomic_fetch_sub (&c->shared->open, 1);
  counter_add (relay_counters ()->open_requests, -1);
}

static const HttpServerEvents EVENTS = { on_request, on_writable, on_client_gone, on_closed };

const HttpServerEvents *
frontend_call_events (void)
{
  return &EVENTS;
}

const char *
frontend_call_timeout_body (void)
{
  return "{\"error\":{\"kind\":\"request_timeout\",\"outcome\":\"not_run\",\"retryable\":true,"
         "\"message\":\"the request did not arrive in time\",\"request_id\":\"\"}}";
}
