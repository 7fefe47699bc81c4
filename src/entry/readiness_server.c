#include "entry/readiness_server.h"

#include <talloc.h>

#include "http/server.h"

#define READ_TIMEOUT_MS  10000
#define MAX_CONNECTIONS  32
#define MAX_HEADER_BYTES 4096

struct ReadinessServer
{
  bool (*ready) (void *data);
  void *data;
  HttpServer *server;
};

static void
on_request (void *data, HttpCall *call, HttpFault fault)
{
  ReadinessServer *r = data;
  bool ready = !fault && r->ready (r->data);

  http_call_answer (call, ready ? 200 : 503, NULL, 0, "", 0);
}

static void
ignore_event (void *data, HttpCall *call)
{
  (void)data;
  (void)call;
}

static const HttpServerEvents EVENTS = { on_request, ignore_event, ignore_event, ignore_event };

ReadinessServer *
readiness_server_new (const void *ctx, Loop *loop, const char *listen, bool (*ready) (void *data),
                      void *data)
{
  ReadinessServer *r = talloc_zero (ctx, ReadinessServer);
  HttpServerOptions options = { .listen = listen,
                                .max_header = MAX_HEADER_BYTES,
                                .read_timeout_ms = READ_TIMEOUT_MS,
                                .max_connections = MAX_CONNECTIONS,
                                .events = &EVENTS,
                                .data = r };

  r->ready = ready;
  r->data = data;
  r->server = http_server_new (r, loop, &options);
  if (r->server)
    return r;
  talloc_free (r);
  return NULL;
}
