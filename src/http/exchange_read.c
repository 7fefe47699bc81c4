/* What libcurl reports of an exchange while it reads the response. */
#include "http/client_impl.h"

#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/log.h"
#include "http/traffic.h"

/* Limits of the header lines of one response. libcurl's own limits are too high for many exchanges at a
 * time, because it keeps about 100 bytes in addition to each line. */
#define MAX_HEAD_BYTES 32768
#define MAX_HEAD_LINES 200

/* libcurl serves an exchange with bytes to read before it returns to the loop, and those of many exchanges in one call. Bytes that are neither
 * head nor body, such as extensions of a chunk, have no limit there, and no timer fires meanwhile. */
#define MAX_IDLE_PASSES 3

static void
release_body (HttpExchange *x)
{
  talloc_unlink (x, x->body_owner);
  x->body = NULL;
}

void
exchange_report_headers (HttpExchange *x)
{
  curl_off_t uploaded = 0;

  if (x->headers_reported)
    return;
  x->headers_reported = true;
  /* A long streamed response would otherwise keep its request body until it ends. */
  curl_easy_getinfo (x->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  if (x->body && (size_t)uploaded >= x->body_len)
    release_body (x);
  if (x->events->headers)
    x->events->headers (x->data, x, http_exchange_status (x));
}

/* Called by libcurl after each pass over the exchange. What has arrived by the limit is read first, so that a stall of the loop
 * doesn't count: a few passes are enough for that. */
int
exchange_on_progress (void *data, curl_off_t total, curl_off_t received, curl_off_t to_send,
                      curl_off_t sent)
{
  HttpExchange *x = data;

  (void)total, (void)to_send, (void)sent;
  if (received != x->body_bytes || !x->response_started
      || exchange_time_left_ms (x, timers_now_ms (loop_timers (x->client->loop))) > 0)
    {
      x->body_bytes = received;
      x->idle_passes = 0;
      return 0;
    }
  x->timed_out = ++x->idle_passes > MAX_IDLE_PASSES;
  return x->timed_out;
}

static void
count_received (const HttpExchange *x, size_t bytes)
{
  if (!x->is_control)
    traffic_received (bytes);
}

static void
note_received (HttpExchange *x)
{
  x->response_started = true;
  if (x->stall_timeout_ms > 0)
    x->received_ms = timers_now_ms (loop_timers (x->client->loop));
}

size_t
exchange_on_body (char *bytes, size_t size, size_t n, void *data)
{
  HttpExchange *x = data;

  count_received (x, size * n + PACKET_OVERHEAD_BYTES);
  note_received (x);
  exchange_report_headers (x);
  if (!x->aborted && x->events->body (x->data, x, bytes, size * n))
    return x->aborted ? CURL_WRITEFUNC_ERROR : size * n;
  return x->aborted ? CURL_WRITEFUNC_ERROR : CURL_WRITEFUNC_PAUSE;
}

/* Lines of interim (1xx) heads and of trailers come too. */
static void
note_head_line (HttpExchange *x, const char *line, size_t len)
{
  if (len > 0 && (line[0] == '\n' || (len > 1 && line[0] == '\r' && line[1] == '\n')))
    x->head_complete = http_exchange_status (x) >= 200;
}

static void
note_head_fault (ResponseHeadFault fault)
{
  char labels[48];

  snprintf (labels, sizeof labels, "fault=\"%s\"", response_head_fault_name (fault));
  counter_add (counter_get ("pond_response_heads_rejected_total", labels,
                            "Heads of responses that are malformed or joined to another one."),
               1);
  log_event (LOG_LEVEL_NOTICE, "http", "response_head_rejected", "fault=%s",
             response_head_fault_name (fault));
}

/* Trailers belong to no head. @return whether the line may be part of the response. */
static bool
check_head_line (HttpExchange *x, const char *line, size_t len)
{
  ResponseHeadFault fault;

  if (x->head_complete)
    return true;
  fault = response_head_add_line (&x->head, line, len);
  if (fault != RESPONSE_HEAD_SOUND)
    note_head_fault (fault);
  return fault == RESPONSE_HEAD_SOUND;
}

/* A line of the proxy's answer, which comes before the request is started. */
static void
note_tunnel_line (HttpExchange *x, const char *line, size_t len)
{
  static const char PROVED[] = TUNNEL_END_HEADER ": " TUNNEL_END_PROVED "\r\n";

  if (len == sizeof PROVED - 1 && !memcmp (line, PROVED, len))
    x->proves_end = true;
}

size_t
exchange_on_header (char *bytes, size_t size, size_t n, void *data)
{
  HttpExchange *x = data;

  x->head_bytes += size * n;
  x->head_lines++;
  if (x->request_started)
    {
      count_received (x, size * n);
      note_received (x);
      if (!check_head_line (x, bytes, size * n))
        return 0;
      note_head_line (x, bytes, size * n);
    }
  else
    note_tunnel_line (x, bytes, size * n);
  return x->head_bytes <= MAX_HEAD_BYTES && x->head_lines <= MAX_HEAD_LINES ? size * n : 0;
}
