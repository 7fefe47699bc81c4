#include "http/server_impl.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <talloc.h>

#include "http/traffic.h"

/* A body that is too long is read and dropped up to this factor of the limit, because a client that
 * is still sending may lose an early answer to a reset. */
#define DISCARD_FACTOR 4

void *
server_on_request_line (void *cls, const char *uri, struct MHD_Connection *mhd)
{
  HttpServer *server = cls;
  HttpCall *call = talloc_zero (server, HttpCall);

  (void)mhd;
  call->server = server;
  call->target = talloc_strdup (call, uri);
  call->started_us = loop_monotonic_us ();
  call->started_ms = timers_now_ms (loop_timers (server->loop));
  server->open_calls++;
  return call;
}

static void
add_size (void *data, const char *name, const char *value)
{
  *(size_t *)data += strlen (name) + strlen (value) + 4;
}

typedef struct
{
  int lengths;
  int encodings;
  bool fault;
} Framing;

static void
add_framing (void *data, const char *name, const char *value)
{
  Framing *f = data;

  if (!strcasecmp (name, "Content-Length"))
    {
      f->lengths++;
      f->fault |= !*value || strspn (value, "0123456789") != strlen (value);
    }
  if (!strcasecmp (name, "Transfer-Encoding"))
    {
      f->encodings++;
      f->fault |= strcasecmp (value, "chunked") != 0;
    }
}

/* A request whose end two parsers could see at different places may carry a second one. */
static bool
framing_is_ambiguous (const HttpCall *call)
{
  Framing f = { 0 };

  http_call_each_header (call, add_framing, &f);
  return f.fault || f.lengths + f.encodings > 1;
}

/* @return false if the rest of the request is not worth reading. */
static bool
check_limits (HttpCall *call)
{
  size_t header = strlen (call->target);
  const char *length = http_call_header (call, "Content-Length");
  unsigned long long n = length ? strtoull (length, NULL, 10) : 0;

  if (framing_is_ambiguous (call))
    {
      call->fault = HTTP_FAULT_FRAMING;
      return false;
    }
  http_call_each_header (call, add_size, &header);
  traffic_received (header + PACKET_BYTES);
  if (header > call->server->max_header)
    call->fault = HTTP_FAULT_HEADERS_TOO_LARGE;
  else if (n > call->server->max_body)
    call->fault = HTTP_FAULT_BODY_TOO_LARGE;
  return n <= call->server->max_body * DISCARD_FACTOR;
}

static void
deliver (HttpCall *call)
{
  call->delivered = true;
  if (call->fault)
    http_call_drop_body (call);
  call->server->events->request (call->server->data, call, call->fault);
}

static enum MHD_Result
first_look (HttpCall *call, struct MHD_Connection *mhd, const char *method)
{
  call->mhd = mhd;
  call->connection
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
  call->connection->call = call;
  call->method = talloc_strdup (call, method);
  if (check_limits (call))
    return MHD_YES;
  deliver (call);
  return call_queue (call);
}

static void
add_body (HttpCall *call, const char *bytes, size_t len)
{
  traffic_received (len);
  if (call->fault)
    return;
  if (call->body_len + len > call->server->max_body)
    {
      call->fault = HTTP_FAULT_BODY_TOO_LARGE;
      http_call_drop_body (call);
      return;
    }
  call->body = talloc_realloc_size (call, call->body, call->body_len + len + 1);
  memcpy (call->body + call->body_len, bytes, len);
  call->body_len += len;
  call->body[call->body_len] = '\0';
}

enum MHD_Result
server_on_access (void *cls, struct MHD_Connection *mhd, const char *url, const char *method,
                  const char *version, const char *upload, size_t *upload_len, void **context)
{
  HttpCall *call = *context;

  (void)cls;
  (void)url;
  (void)version;
  if (!call->mhd)
    return first_look (call, mhd, method);
  if (*upload_len > 0)
    {
      add_body (call, upload, *upload_len);
      *upload_len = 0;
      return MHD_YES;
    }
  if (!call->delivered)
    deliver (call);
  if (call->response || call->aborted)
    return call_queue (call);
  call->suspended = true;
  MHD_suspend_connection (mhd);
  return MHD_YES;
}

void
server_on_completed (void *cls, struct MHD_Connection *mhd, void **context,
                     enum MHD_RequestTerminationCode code)
{
  HttpCall *call = *context;

  (void)cls;
  (void)mhd;
  if (!call)
    return;
  *context = NULL;
  call->suspended = false;
  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && !call->aborted)
    call_client_gone (call);
  if (call->connection)
    {
      call->connection->call = NULL;
      call->connection->since_ms = timers_now_ms (loop_timers (call->server->loop));
    }
  if (call->delivered)
    call->server->events->closed (call->data, call);
  call->server->open_calls--;
  call_free (call);
}
