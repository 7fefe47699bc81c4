#include "http/server_impl.h"

#include <string.h>

#include <talloc.h>

#include "http/traffic.h"

/* Above this much waiting output a stream is held back: a slow reader must not fill our memory. */
#define STREAM_HIGH_WATER 8192
/* libmicrohttpd keeps a block of this size for each streamed answer, and uses it only towards HTTP/1.0
 * clients. */
#define STREAM_BLOCK      256
/* A larger output buffer is given back as soon as it is empty. */
#define KEPT_OUTPUT       1024

void
http_call_set_data (HttpCall *call, void *call_data)
{
  call->data = call_data;
}

void *
http_call_data (const HttpCall *call)
{
  return call->data;
}

const char *
http_call_method (const HttpCall *call)
{
  return call->method;
}

const char *
http_call_target (const HttpCall *call)
{
  return call->target;
}

const char *
http_call_header (const HttpCall *call, const char *name)
{
  return MHD_lookup_connection_value (call->mhd, MHD_HEADER_KIND, name);
}

typedef struct
{
  void (*fn) (void *data, const char *name, const char *value);
  void *data;
} EachHeader;

static enum MHD_Result
one_header (void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
  EachHeader *each = cls;

  (void)kind;
  each->fn (each->data, name, value ? value : "");
  return MHD_YES;
}

void
http_call_each_header (const HttpCall *call,
                       void (*fn) (void *data, const char *name, const char *value), void *data)
{
  EachHeader each = { fn, data };

  MHD_get_connection_values (call->mhd, MHD_HEADER_KIND, one_header, &each);
}

const char *
http_call_body (const HttpCall *call, size_t *len)
{
  *len = call->body_len;
  return call->body ? call->body : "";
}

void
http_call_drop_body (HttpCall *call)
{
  TALLOC_FREE (call->body);
  call->body_len = 0;
}

int64_t
http_call_started_us (const HttpCall *call)
{
  return call->started_us;
}

int64_t
http_call_started_ms (const HttpCall *call)
{
  return call->started_ms;
}

void
call_resume (HttpCall *call)
{
  if (!call->suspended)
    return;
  call->suspended = false;
  MHD_resume_connection (call->mhd);
  server_run_soon (call->server);
}

static void
set_response (HttpCall *call, int status, struct MHD_Response *response, const HttpHeader *headers,
              size_t n_headers)
{
  size_t bytes = PACKET_BYTES;

  for (size_t i = 0; i < n_headers; i++)
    {
      MHD_add_response_header (response, headers[i].name, headers[i].value);
      bytes += strlen (headers[i].name) + strlen (headers[i].value) + 4;
    }
  traffic_sent (bytes);
  if (call->server->close_after_answer || call->fault == HTTP_FAULT_FRAMING)
    MHD_add_response_header (response, "Connection", "close");
  call->response = response;
  call->status = status;
  call_resume (call);
}

static bool
is_answered (const HttpCall *call)
{
  return call->response || call->queued || call->aborted || call->gone;
}

void
http_call_answer (HttpCall *call, int status, const HttpHeader *headers, size_t n_headers,
                  const char *body, size_t len)
{
  if (is_answered (call))
    return;
  traffic_sent (len);
  set_response (call, status,
                MHD_create_response_from_buffer (len, (void *)body, MHD_RESPMEM_MUST_COPY), headers,
                n_headers);
}

static void
drain_later (struct tevent_context *ev, struct tevent_immediate *im, void *data)
{
  HttpCall *call = data;

  (void)ev;
  (void)im;
  if (!call->gone && !call->aborted)
    call->server->events->drained (call->data, call);
}

/* The event comes from the loop: the owner may write at once, which must not happen inside the
 * reader. */
static void
unblock (HttpCall *call)
{
  if (!call->blocked)
    return;
  call->blocked = false;
  if (!call->drain_now)
    call->drain_now = tevent_create_immediate (call);
  tevent_schedule_immediate (call->drain_now, loop_tevent (call->server->loop), drain_later, call);
}

static ssize_t
read_stream (void *cls, uint64_t pos, char *buf, size_t max)
{
  HttpCall *call = cls;
  size_t n = call->out_len - call->out_at;

  (void)pos;
  if (call->aborted && (n == 0 || call->gone))
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (n == 0 && call->ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (n == 0)
    {
      call->suspended = true;
      MHD_suspend_connection (call->mhd);
      return 0;
    }
  if (n > max)
    n = max;
  memcpy (buf, call->out + call->out_at, n);
  call->out_at += n;
  if (call->out_at == call->out_len)
    {
      call->out_at = 0;
      call->out_len = 0;
      if (call->out_size > KEPT_OUTPUT)
        {
          TALLOC_FREE (call->out);
          call->out_size = 0;
        }
      unblock (call);
    }
  return (ssize_t)n;
}

void
http_call_begin (HttpCall *call, int status, const HttpHeader *headers, size_t n_headers)
{
  if (is_answered (call))
    return;
  call->streaming = true;
  set_response (
      call, status,
      MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, STREAM_BLOCK, read_stream, call, NULL),
      headers, n_headers);
}

static void
reserve_out (HttpCall *call, size_t len)
{
  size_t size = call->out_size ? call->out_size : 256;

  if (call->out_at > 0)
    {
      memmove (call->out, call->out + call->out_at, call->out_len - call->out_at);
      call->out_len -= call->out_at;
      call->out_at = 0;
    }
  while (size < call->out_len + len)
    size *= 2;
  if (size == call->out_size)
    return;
  call->out = talloc_realloc_size (call, call->out, size);
  call->out_size = size;
}

bool
http_call_write (HttpCall *call, const char *bytes, size_t len)
{
  if (!call->streaming || call->ended || call->aborted || call->gone)
    return true;
  if (call->out_len + len > call->out_size)
    reserve_out (call, len);
  memcpy (call->out + call->out_len, bytes, len);
  call->out_len += len;
  traffic_sent (len + PACKET_BYTES);
  call_resume (call);
  call->blocked = call->out_len - call->out_at >= STREAM_HIGH_WATER;
  return !call->blocked;
}

void
http_call_end (HttpCall *call)
{
  if (call->ended || call->aborted)
    return;
  call->ended = true;
  call_resume (call);
}

void
http_call_abort (HttpCall *call)
{
  if (call->aborted)
    return;
  call->aborted = true;
  call_resume (call);
}

enum MHD_Result
call_queue (HttpCall *call)
{
  enum MHD_Result result;

  if (!call->response || call->gone || (call->aborted && !call->streaming))
    return MHD_NO;
  call->queued = true;
  result = MHD_queue_response (call->mhd, (unsigned)call->status, call->response);
  MHD_destroy_response (call->response);
  call->response = NULL;
  return result;
}

void
call_free (HttpCall *call)
{
  if (call->response)
    MHD_destroy_response (call->response);
  talloc_free (call);
}
