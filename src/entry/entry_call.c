#include "entry/entry_call.h"

#include <string.h>

#include <talloc.h>

#include "core/log.h"
#include "relay/relay_counters.h"

typedef struct
{
  EntryShared *shared;
  HttpCall *call;
  Relay *relay; /* NULL before it starts and after it is over */
} EntryCall;

/* --- Answers ----------------------------------------------------------------------------- */

#define MAX_RETURNED 64

static size_t
copy_headers (HttpHeader *list, const RelayHeader *headers, size_t n)
{
  size_t kept = 0;

  for (size_t i = 0; i < n && kept < MAX_RETURNED; i++)
    list[kept++] = (HttpHeader){ headers[i].name, headers[i].value };
  if (kept < n)
    log_event (LOG_LEVEL_WARNING, "entry", "headers_dropped", "headers=%zu kept=%zu", n, kept);
  return kept;
}

static void
answer (void *data, int status, const RelayHeader *headers, size_t n_headers, const char *body,
        size_t len)
{
  EntryCall *e = data;
  HttpHeader list[MAX_RETURNED];
  size_t n = copy_headers (list, headers, n_headers);

  http_call_answer (e->call, status, list, n, body, len);
}

static void
begin (void *data, int status, const RelayHeader *headers, size_t n_headers)
{
  EntryCall *e = data;
  HttpHeader list[MAX_RETURNED];
  size_t n = copy_headers (list, headers, n_headers);

  http_call_begin (e->call, status, list, n);
}

static bool
write_bytes (void *data, const char *bytes, size_t len)
{
  return http_call_write (((EntryCall *)data)->call, bytes, len);
}

static void
end (void *data)
{
  http_call_end (((EntryCall *)data)->call);
}

static void
abort_call (void *data)
{
  http_call_abort (((EntryCall *)data)->call);
}

static void
released (void *data)
{
  ((EntryCall *)data)->relay = NULL;
}

static const RelayCaller CALLER = { answer, begin, write_bytes, end, abort_call, released };

/* --- Requests ---------------------------------------------------------------------------- */

static bool
check_fault (HttpFault fault, Err *err)
{
  switch (fault)
    {
    case HTTP_FAULT_BODY_TOO_LARGE:
      return err_set (err, ERR_BODY_TOO_LARGE, "the body is too large");
    case HTTP_FAULT_HEADERS_TOO_LARGE:
      return err_set (err, ERR_HEADERS_TOO_LARGE, "the headers are too large");
    case HTTP_FAULT_FRAMING:
      return err_set (err, ERR_BAD_REQUEST, "the end of the body is ambiguous");
    case HTTP_FAULT_NONE:
      break;
    }
  return true;
}

static bool
check_draining (const EntryShared *shared, Err *err)
{
  if (!atomic_load (&shared->refusing))
    return true;
  err_set (err, ERR_DRAINING, "this host stops in a moment");
  return false;
}

static void
start (EntryCall *e, HttpFault fault)
{
  const RelayDeps *deps = &e->shared->deps;
  const Catalog *catalog = current_catalog_get (e->shared->catalog);
  void *memory = talloc_new (NULL);
  RelayRequest *request = talloc_zero (memory, RelayRequest);
  Err err = ERR_INIT;
  bool ok;

  request->id = "";
  ok = check_fault (fault, &err)
       && deps->dialect->ops->decode (deps->dialect, memory, e->call, catalog, request, &err)
       && check_draining (e->shared, &err);
  if (ok)
    {
      /* The relay looks at routes and services of this configuration until it ends. */
      catalog_attach (memory, catalog);
      e->relay = relay_new (deps, memory, request, http_call_started_ms (e->call), &CALLER, e);
      return;
    }
  if (err.kind == ERR_NOT_READY || err.kind == ERR_NO_SERVER || err.kind == ERR_DRAINING)
    err.retry_after_ms = 300;
  relay_refuse (deps, request->id, &err, &CALLER, e);
  catalog_unref (catalog);
  talloc_free (memory);
}

static void
on_request (void *data, HttpCall *call, HttpFault fault)
{
  EntryShared *shared = data;
  EntryCall *e = talloc_zero (call, EntryCall);

  e->shared = shared;
  e->call = call;
  http_call_set_data (call, e);
  atomic_fetch_add (&shared->open, 1);
  counter_add (relay_counters ()->requests, 1);
  counter_add (relay_counters ()->open, 1);
  start (e, fault);
}

static void
on_drained (void *data, HttpCall *call)
{
  EntryCall *e = data;

  (void)call;
  if (e->relay)
    relay_caller_ready (e->relay);
}

static void
on_gone (void *data, HttpCall *call)
{
  EntryCall *e = data;
  Relay *relay = e->relay;

  (void)call;
  e->relay = NULL;
  if (relay)
    relay_caller_gone (relay);
}

static void
on_closed (void *data, HttpCall *call)
{
  EntryCall *e = data;

  on_gone (data, call);
  atomic_fetch_sub (&e->shared->open, 1);
  counter_add (relay_counters ()->open, -1);
}

static const HttpServerEvents EVENTS = { on_request, on_drained, on_gone, on_closed };

const HttpServerEvents *
entry_call_events (void)
{
  return &EVENTS;
}

const char *
entry_call_timeout_answer (void)
{
  return "{\"error\":{\"kind\":\"request_timeout\",\"outcome\":\"not_run\",\"retryable\":true,"
         "\"message\":\"the request did not arrive in time\",\"request_id\":\"\"}}";
}
