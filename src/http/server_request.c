#include "http/server_impl.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <talloc.h>

#include "core/counter.h"
#include "http/traffic.h"

/* A body above the limit is read and discarded up to this multiple of it: a client that is still
 * sending when the connection closes may get a reset and so never read the error response. */
#define MAX_DISCARD_FACTOR 4

void *
server_on_request_line (void *cls, const char *uri, struct MHD_Connection *mhd)
{
  HttpServer *server = cls;
  HttpCall *call = talloc_zero (server, HttpCall);

  call->server = server;
  call->connection
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
  call->connection->call = call;
  call->target = talloc_strdup (call, uri);
  call->started_us = loop_monotonic_us ();
  call->started_ms = timers_now_ms (loop_timers (server->loop));
  server->open_calls++;
  return call;
}

static void
add_header_size (void *data, const char *name, const char *value)
{
  *(size_t *)data += strlen (name) + strlen (value) + 4;
}

typedef struct
{
  int n_content_lengths;
  int n_transfer_encodings;
  bool malformed;
} Framing;

static void
check_framing_header (void *data, const char *name, const char *value)
{
  Framing *f = data;

  if (!strcasecmp (name, "Content-Length"))
    {
      f->n_content_lengths++;
      f->malformed |= !*value || strspn (value, "0123456789") != strlen (value);
    }
  if (!strcasecmp (name, "Transfer-Encoding"))
    {
      f->n_transfer_encodings++;
      f->malformed |= strcasecmp (value, "chunked") != 0;
    }
}

/* Guards against request smuggling: if two parsers see the end of a request at different places, it
 * can carry a second request. */
static bool
framing_is_ambiguous (const HttpCall *call)
{
  Framing f = { 0 };

  http_call_each_header (call, check_framing_header, &f);
  return f.malformed || f.n_content_lengths + f.n_transfer_encodings > 1;
}

/* @return false, with the call's fault set, if the body would have more bytes than there is room for. */
static bool
acquire_body (HttpCall *call, size_t bytes)
{
  size_t more = bytes > call->body_quota_bytes ? bytes - call->body_quota_bytes : 0;

  if (call->server->body_quota
      && !buffer_quota_acquire (call->server->body_quota, call->body_quota_bytes, more))
    {
      call->fault = HTTP_FAULT_NO_ROOM;
      http_call_free_body (call);
      counter_add (counter_get ("pond_request_bodies_refused_total", "",
                                "Requests refused because other bodies used up the memory."),
                   1);
      return false;
    }
  call->body_quota_bytes += more;
  return true;
}

/* A client that waits for "100 Continue" has not sent the body, so that it can be told at once. Any other may be told
 * only when it has sent all: the connection's end would cost it the response. */
static bool
client_waits_to_send (const HttpCall *call)
{
  const char *expect = http_call_header (call, "Expect");

  return expect && !strcasecmp (expect, "100-continue");
}

/* Sets the call's fault if the headers have one. @return false if the body must not be read. */
static bool
check_request_head (HttpCall *call)
{
  size_t header_bytes = strlen (call->target);
  const char *length = http_call_header (call, "Content-Length");
  unsigned long long n = length ? strtoull (length, NULL, 10) : 0;

  if (framing_is_ambiguous (call))
    {
      call->fault = HTTP_FAULT_FRAMING;
      return false;
    }
  http_call_each_header (call, add_header_size, &header_bytes);
  traffic_received (header_bytes + PACKET_OVERHEAD_BYTES);
  if (header_bytes > call->server->max_header_bytes)
    call->fault = HTTP_FAULT_HEADERS_TOO_LARGE;
  else if (n > call->server->max_body_bytes)
    call->fault = HTTP_FAULT_BODY_TOO_LARGE;
  else if (!acquire_body (call, n))
    return !client_waits_to_send (call);
  return n <= call->server->max_body_bytes * MAX_DISCARD_FACTOR;
}

static void
deliver_request (HttpCall *call)
{
  call->delivered = true;
  if (call->fault)
    http_call_free_body (call);
  call->server->events->request (call->server->data, call, call->fault);
}

/* The end of a connection is told only once, which may have been before its request was read. */
static bool
client_has_left (const HttpCall *call)
{
  struct pollfd fd = { .fd = call->connection->fd, .events = POLLRDHUP };

  if (poll (&fd, 1, 0) <= 0 || !(fd.revents & (POLLRDHUP | POLLHUP | POLLERR)))
    return false;
  counter_add (counter_get ("pond_requests_abandoned_total", "",
                            "Requests whose clients had left before they were read."),
               1);
  return true;
}

static enum MHD_Result
start_call (HttpCall *call, struct MHD_Connection *mhd, const char *method)
{
  call->mhd = mhd;
  call->method = talloc_strdup (call, method);
  if (check_request_head (call))
    return MHD_YES;
  deliver_request (call);
  return call_queue_response (call);
}

static void
append_body (HttpCall *call, const char *bytes, size_t len)
{
  traffic_received (len);
  if (call->fault)
    return;
  if (call->body_len + len > call->server->max_body_bytes)
    {
      call->fault = HTTP_FAULT_BODY_TOO_LARGE;
      http_call_free_body (call);
      return;
    }
  if (call->body_len + len > call->body_quota_bytes && !acquire_body (call, call->body_len + len))
    return;
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
  if (call->server->stopping && !call->delivered)
    return MHD_NO;
  if (!call->mhd)
    return start_call (call, mhd, method);
  if (*upload_len > 0)
    {
      append_body (call, upload, *upload_len);
      *upload_len = 0;
      return MHD_YES;
    }
  if (!call->delivered && client_has_left (call))
    return MHD_NO;
  if (!call->delivered)
    deliver_request (call);
  if (call->response || call->aborted)
    return call_queue_response (call);
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
      connection_set_idle (call->connection);
    }
  if (call->delivered)
    call->server->events->closed (call->data, call);
  call->server->open_calls--;
  call_free (call);
}
