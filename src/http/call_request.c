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

HttpCall *
call_new (Connection *c)
{
  HttpServer *server = c->server;
  HttpCall *call = talloc_zero (server, HttpCall);

  call->server = server;
  call->connection = c;
  call->method = "";
  call->head.max_bytes = server->max_header_bytes;
  call->started_us = loop_monotonic_us ();
  call->started_ms = timers_now_ms (loop_timers (server->loop));
  server->open_calls++;
  connection_set_busy (c);
  return call;
}

/* --- Head -------------------------------------------------------------------------------- */

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
  return f.malformed || f.n_content_lengths + f.n_transfer_encodings > 1
         || (f.n_transfer_encodings > 0 && !call->accepts_chunks);
}

static void
count_host (void *data, const char *name, const char *value)
{
  (void)value;
  *(int *)data += !strcasecmp (name, "Host");
}

/* @return whether the target names another host than @p host does. */
static bool
names_another_host (const char *target, const char *host)
{
  static const char SCHEME[] = "http://";
  size_t len;

  if (strncasecmp (target, SCHEME, sizeof SCHEME - 1) != 0)
    return false;
  target += sizeof SCHEME - 1;
  len = strcspn (target, "/?#");
  return len != strlen (host) || strncasecmp (target, host, len) != 0;
}

/* Readers may choose one of several names (RFC 9112, section 3.2). */
static bool
host_is_ambiguous (const HttpCall *call)
{
  const char *host = http_call_header (call, "Host");
  int n = 0;

  http_call_each_header (call, count_host, &n);
  return n > 1 || (!host && call->accepts_chunks)
         || (host && names_another_host (http_call_target (call), host));
}

/* --- Body -------------------------------------------------------------------------------- */

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

/* Such a client has not sent the body, so that it can be told of a fault at once. Any other may be told only when it has
 * sent all: the connection's end would cost it the response. */
bool
call_waits_to_send (const HttpCall *call)
{
  const char *expect = http_call_header (call, "Expect");

  return expect && !strcasecmp (expect, "100-continue");
}

bool
call_check_head (HttpCall *call)
{
  const char *length = http_call_header (call, "Content-Length");
  unsigned long long n = length ? strtoull (length, NULL, 10) : 0;

  traffic_received (call->head.bytes + PACKET_OVERHEAD_BYTES);
  if (call->head.is_too_large)
    {
      call->fault = HTTP_FAULT_HEADERS_TOO_LARGE;
      return true;
    }
  if (framing_is_ambiguous (call) || host_is_ambiguous (call))
    call->fault = HTTP_FAULT_FRAMING;
  if (call->fault)
    return false;
  if (n > call->server->max_body_bytes)
    call->fault = HTTP_FAULT_BODY_TOO_LARGE;
  else
    acquire_body (call, n);
  return (!call->fault || !call_waits_to_send (call))
         && n <= call->server->max_body_bytes * MAX_DISCARD_FACTOR;
}

void
call_append_body (HttpCall *call, const char *bytes, size_t len)
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

/* --- Delivery ---------------------------------------------------------------------------- */

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

bool
call_deliver (HttpCall *call)
{
  if (call->server->stopping || client_has_left (call))
    return false;
  call->delivered = true;
  if (call->fault)
    http_call_free_body (call);
  call->server->events->request (call->server->data, call, call->fault);
  return true;
}

void
call_client_gone (HttpCall *call)
{
  if (!call->delivered || call->client_gone)
    return;
  call->client_gone = true;
  call->server->events->client_gone (call->data, call);
  http_call_abort (call);
}

void
call_finish (HttpCall *call)
{
  HttpServer *server = call->server;

  if (call->delivered)
    server->events->closed (call->data, call);
  server->open_calls--;
  http_call_free_body (call);
  talloc_free (call);
}
