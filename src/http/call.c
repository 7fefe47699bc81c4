#include "http/server_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#include <talloc.h>

#include "core/log.h"
#include "http/traffic.h"

/* High-water mark of the output of a stream: a slow client must not fill this host's memory. */
#define STREAM_HIGH_WATER_BYTES 8192

/* --- The request ------------------------------------------------------------------------- */

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
  return request_head_target (&call->head);
}

const char *
http_call_header (const HttpCall *call, const char *name)
{
  return request_head_value (&call->head, name);
}

void
http_call_each_header (const HttpCall *call,
                       void (*fn) (void *data, const char *name, const char *value), void *data)
{
  request_head_each (&call->head, fn, data);
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
http_call_set_deadline (HttpCall *call, int64_t deadline_ms)
{
  call->deadline_ms = deadline_ms;
}

/* --- The response ------------------------------------------------------------------------ */

static void
put (HttpCall *call, const char *bytes, size_t len)
{
  Connection *c = call->connection;

  if (output_buffer_len (&c->output) == 0)
    c->taken_ms = timers_now_ms (loop_timers (c->server->loop));
  output_buffer_append (&c->output, c, bytes, len);
}

static void
put_text (HttpCall *call, const char *text)
{
  put (call, text, strlen (text));
}

static void
put_line (HttpCall *call, const char *name, const char *value)
{
  put_text (call, name);
  put_text (call, ": ");
  put_text (call, value);
  put_text (call, "\r\n");
}

/* Headers that say where a response ends, or how its connection goes on, are this server's. */
static bool
is_own_header (const char *name)
{
  return !strcasecmp (name, "Content-Length") || !strcasecmp (name, "Transfer-Encoding")
         || !strcasecmp (name, "Connection") || !strcasecmp (name, "Date");
}

/* A line end in a header could begin another one, or a body. */
static bool
is_sound_header (const HttpHeader *header)
{
  if (*header->name && !strpbrk (header->name, "\r\n \t:") && !strpbrk (header->value, "\r\n"))
    return true;
  log_event (LOG_LEVEL_WARNING, "http", "header_dropped", "name_bytes=%zu value_bytes=%zu",
             strlen (header->name), strlen (header->value));
  return false;
}

static void
put_status_line (HttpCall *call, int status)
{
  char line[80];

  snprintf (line, sizeof line, "HTTP/1.1 %03d %s\r\n", status,
            http_status_str ((enum http_status)status));
  put_text (call, line);
}

static void
put_date (HttpCall *call)
{
  time_t now = time (NULL);
  struct tm tm;
  char text[40];

  gmtime_r (&now, &tm);
  strftime (text, sizeof text, "%a, %d %b %Y %H:%M:%S GMT", &tm);
  put_line (call, "Date", text);
}

static void
put_connection (HttpCall *call)
{
  if (!call->keep_alive || call->server->close_after_response)
    put_line (call, "Connection", "close");
  else if (!call->accepts_chunks)
    put_line (call, "Connection", "Keep-Alive");
}

static void
put_length (HttpCall *call, size_t len)
{
  char text[24];

  snprintf (text, sizeof text, "%zu", len);
  put_line (call, "Content-Length", text);
}

static bool
may_have_body (int status)
{
  return status >= 200 && status != 204 && status != 304;
}

/* Without chunks the end of a streamed response is that of its connection. */
static void
choose_framing (HttpCall *call, int status, bool streamed)
{
  call->has_body = may_have_body (status) && strcmp (call->method, "HEAD") != 0;
  call->is_chunked = streamed && call->accepts_chunks;
  if (streamed && may_have_body (status) && !call->is_chunked)
    call->keep_alive = false;
}

static void
put_head (HttpCall *call, int status, const HttpHeader *headers, size_t n_headers)
{
  size_t before = output_buffer_len (&call->connection->output);

  call->has_response = true;
  put_status_line (call, status);
  put_date (call);
  for (size_t i = 0; i < n_headers; i++)
    if (!is_own_header (headers[i].name) && is_sound_header (&headers[i]))
      put_line (call, headers[i].name, headers[i].value);
  put_connection (call);
  traffic_sent (output_buffer_len (&call->connection->output) - before + PACKET_OVERHEAD_BYTES);
}

static bool
cannot_respond (const HttpCall *call)
{
  return call->has_response || call->aborted || call->client_gone;
}

void
http_call_respond (HttpCall *call, int status, const HttpHeader *headers, size_t n_headers,
                   const char *body, size_t len)
{
  if (cannot_respond (call))
    return;
  choose_framing (call, status, false);
  put_head (call, status, headers, n_headers);
  if (may_have_body (status))
    put_length (call, len);
  put_text (call, "\r\n");
  if (call->has_body)
    {
      put (call, body, len);
      traffic_sent (len);
    }
  call->ended = true;
  connection_schedule_progress (call->connection);
}

void
http_call_begin_response (HttpCall *call, int status, const HttpHeader *headers, size_t n_headers)
{
  if (cannot_respond (call))
    return;
  choose_framing (call, status, true);
  put_head (call, status, headers, n_headers);
  if (call->is_chunked && may_have_body (status))
    put_line (call, "Transfer-Encoding", "chunked");
  put_text (call, "\r\n");
  connection_schedule_progress (call->connection);
}

static void
put_chunk (HttpCall *call, const char *bytes, size_t len)
{
  char size[24];

  snprintf (size, sizeof size, "%zx\r\n", len);
  put_text (call, size);
  put (call, bytes, len);
  put_text (call, "\r\n");
}

bool
http_call_write (HttpCall *call, const char *bytes, size_t len)
{
  if (!call->has_response || call->ended || call->aborted || call->client_gone)
    return true;
  if (!call->has_body || len == 0)
    return true;
  if (call->is_chunked)
    put_chunk (call, bytes, len);
  else
    put (call, bytes, len);
  traffic_sent (len + PACKET_OVERHEAD_BYTES);
  connection_schedule_progress (call->connection);
  call->write_blocked = output_buffer_len (&call->connection->output) >= STREAM_HIGH_WATER_BYTES;
  return !call->write_blocked;
}

void
http_call_end_response (HttpCall *call)
{
  if (call->ended || call->aborted)
    return;
  call->ended = true;
  if (call->has_body && call->is_chunked)
    put_text (call, "0\r\n\r\n");
  connection_schedule_progress (call->connection);
}

void
http_call_abort (HttpCall *call)
{
  if (call->aborted)
    return;
  call->aborted = true;
  connection_schedule_progress (call->connection);
}
