#include "http/server_impl.h"

#include <string.h>

#include <talloc.h>

#include "http/traffic.h"

/* High-water mark of the output buffer of a stream: a slow client must not fill this host's memory. */
#define STREAM_HIGH_WATER_BYTES 8192
/* libmicrohttpd allocates a block of this size for each streamed response, and uses it only for
 * HTTP/1.0 clients. */
#define STREAM_BLOCK_BYTES      256
/* A larger output buffer is freed as soon as it is empty. */
#define MAX_IDLE_OUTPUT_BYTES   1024

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
} HeaderCallback;

static enum MHD_Result
on_header_value (void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
  HeaderCallback *callback = cls;

  (void)kind;
  callback->fn (callback->data, name, value ? value : "");
  return MHD_YES;
}

void
http_call_each_header (const HttpCall *call,
                       void (*fn) (void *data, const char *name, const char *value), void *data)
{
  HeaderCallback callback = { fn, data };

  MHD_get_connection_values (call->mhd, MHD_HEADER_KIND, on_header_value, &callback);
}

const char *
http_call_body (const HttpCall *call, size_t *len)
{
  *len = call->body_len;
  return call->body ? call->body : "";
}

void
http_call_free_body (HttpCall *call)
{
  if (call->body)
    talloc_unlink (call, call->body);
  call->body = NULL;
  call->body_len = 0;
  if (call->server->body_quota)
    buffer_quota_release (call->server->body_quota, call->body_quota_bytes);
  call->body_quota_bytes = 0;
}

void *
http_call_body_owner (const HttpCall *call)
{
  return call->body;
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
  server_schedule_run (call->server);
}

static void
set_response (HttpCall *call, int status, struct MHD_Response *response, const HttpHeader *headers,
              size_t n_headers)
{
  size_t bytes = PACKET_OVERHEAD_BYTES;

  for (size_t i = 0; i < n_headers; i++)
    {
      MHD_add_response_header (response, headers[i].name, headers[i].value);
      bytes += strlen (headers[i].name) + strlen (headers[i].value) + 4;
    }
  traffic_sent (bytes);
  if (call->server->close_after_response || call->fault == HTTP_FAULT_FRAMING)
    MHD_add_response_header (response, "Connection", "close");
  call->response = response;
  call->status = status;
  call_resume (call);
}

static bool
cannot_respond (const HttpCall *call)
{
  return call->response || call->response_queued || call->aborted || call->client_gone;
}

void
http_call_respond (HttpCall *call, int status, const HttpHeader *headers, size_t n_headers,
                   const char *body, size_t len)
{
  if (cannot_respond (call))
    return;
  traffic_sent (len);
  set_response (call, status,
                MHD_create_response_from_buffer (len, (void *)body, MHD_RESPMEM_MUST_COPY), headers,
                n_headers);
}

static void
report_writable (struct tevent_context *ev, struct tevent_immediate *im, void *data)
{
  HttpCall *call = data;

  (void)ev;
  (void)im;
  if (!call->client_gone && !call->aborted)
    call->server->events->writable (call->data, call);
}

/* The writable event is reported from the loop, because its handler may write to the call, which must not
 * happen inside read_stream(). */
static void
schedule_writable (HttpCall *call)
{
  if (!call->write_blocked)
    return;
  call->write_blocked = false;
  if (!call->writable_event)
    call->writable_event = tevent_create_immediate (call);
  tevent_schedule_immediate (call->writable_event, loop_tevent (call->server->loop),
                             report_writable, call);
}

static ssize_t
read_stream (void *cls, uint64_t pos, char *buf, size_t max)
{
  HttpCall *call = cls;
  size_t n = call->output_end - call->output_start;

  (void)pos;
  if (call->aborted && (n == 0 || call->client_gone))
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
  memcpy (buf, call->output + call->output_start, n);
  call->output_start += n;
  if (call->output_start == call->output_end)
    {
      call->output_start = 0;
      call->output_end = 0;
      if (call->output_size > MAX_IDLE_OUTPUT_BYTES)
        {
          TALLOC_FREE (call->output);
          call->output_size = 0;
        }
      schedule_writable (call);
    }
  return (ssize_t)n;
}

void
http_call_begin_response (HttpCall *call, int status, const HttpHeader *headers, size_t n_headers)
{
  if (cannot_respond (call))
    return;
  call->streaming = true;
  set_response (call, status,
                MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                                                   read_stream, call, NULL),
                headers, n_headers);
}

static void
reserve_output (HttpCall *call, size_t len)
{
  size_t size = call->output_size ? call->output_size : 256;

  if (call->output_start > 0)
    {
      memmove (call->output, call->output + call->output_start,
               call->output_end - call->output_start);
      call->output_end -= call->output_start;
      call->output_start = 0;
    }
  while (size < call->output_end + len)
    size *= 2;
  if (size == call->output_size)
    return;
  call->output = talloc_realloc_size (call, call->output, size);
  call->output_size = size;
}

bool
http_call_write (HttpCall *call, const char *bytes, size_t len)
{
  if (!call->streaming || call->ended || call->aborted || call->client_gone)
    return true;
  if (call->output_end + len > call->output_size)
    reserve_output (call, len);
  memcpy (call->output + call->output_end, bytes, len);
  call->output_end += len;
  traffic_sent (len + PACKET_OVERHEAD_BYTES);
  call_resume (call);
  call->write_blocked = call->output_end - call->output_start >= STREAM_HIGH_WATER_BYTES;
  return !call->write_blocked;
}

void
http_call_end_response (HttpCall *call)
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
call_queue_response (HttpCall *call)
{
  enum MHD_Result result;

  if (!call->response || call->client_gone || (call->aborted && !call->streaming))
    return MHD_NO;
  call->response_queued = true;
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
  http_call_free_body (call);
  talloc_free (call);
}
