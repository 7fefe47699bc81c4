#include "http/client_impl.h"

#include <errno.h>
#include <linux/sockios.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

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

static void start_time_limit (HttpExchange *x, int64_t ms);

static HttpResult
failure_of (HttpExchange *x, bool timed_out)
{
  curl_off_t uploaded = 0;

  if (x->response_started)
    return timed_out ? HTTP_TIMED_OUT_PARTIAL : HTTP_FAILED_PARTIAL;
  if (!x->request_started)
    return timed_out ? HTTP_TIMED_OUT_CONNECT : HTTP_FAILED_CONNECT;
  if (timed_out)
    return HTTP_TIMED_OUT_NO_RESPONSE;
  curl_easy_getinfo (x->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  return (size_t)uploaded < x->body_len ? HTTP_FAILED_SENDING : HTTP_FAILED_NO_RESPONSE;
}

/* --- End of the response ----------------------------------------------------------------- */

static const char *
find_header (HttpExchange *x, const char *name, unsigned origin)
{
  struct curl_header *header;

  if (curl_easy_header (x->easy, name, 0, origin, -1, &header) != CURLHE_OK)
    return NULL;
  return header->value;
}

static bool
is_chunked (HttpExchange *x)
{
  const char *codings = find_header (x, "Transfer-Encoding", CURLH_HEADER);
  const char *last = codings ? strrchr (codings, ',') : NULL;

  last = last ? last + 1 : codings;
  if (last)
    last += strspn (last, " \t");
  return last && !strncasecmp (last, "chunked", 7);
}

/* libcurl goes on without a length if it can't use the stated one. */
static bool
has_length (HttpExchange *x)
{
  curl_off_t length = -1;

  curl_easy_getinfo (x->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  return length >= 0;
}

bool
http_exchange_has_framed_end (HttpExchange *x)
{
  int status = http_exchange_status (x);

  return x->is_head || status == 204 || status == 304 || is_chunked (x) || has_length (x);
}

/* A server that closes its connection with a part of the request still on the way resets it then, and only its kernel knows
 * whether its response had come to an end: libcurl sees the end in order that comes first. */
static bool
request_was_read (HttpExchange *x)
{
  curl_off_t uploaded = 0;

  curl_easy_getinfo (x->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  return (size_t)uploaded == x->body_len && !x->closed_unread;
}

/* @return whether all of a response with a length has come, although the rest of its request could not be sent. */
static bool
has_come_whole (HttpExchange *x, CURLcode code)
{
  curl_off_t length = -1;
  curl_off_t received = 0;

  if (code != CURLE_SEND_ERROR || x->is_head || is_chunked (x))
    return false;
  curl_easy_getinfo (x->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  curl_easy_getinfo (x->easy, CURLINFO_SIZE_DOWNLOAD_T, &received);
  return length >= 0 && received == length;
}

static HttpResult
result_of (HttpExchange *x, CURLcode code)
{
  bool is_complete = (code == CURLE_OK || has_come_whole (x, code)) && !x->aborted;

  /* libcurl takes a connection that is closed in the middle of a head for the end of a response without a body. */
  if (is_complete && x->head_complete
      && (http_exchange_has_framed_end (x) || (x->proves_end && request_was_read (x))))
    return HTTP_COMPLETE;
  return failure_of (x, code == CURLE_OPERATION_TIMEDOUT || x->timed_out);
}

HttpResult
http_exchange_failure_point (HttpExchange *x)
{
  return failure_of (x, false);
}

void
http_exchange_abort (HttpExchange *x)
{
  x->aborted = true;
}

static void
remove_from_multi (HttpExchange *x)
{
  if (x->in_multi)
    curl_multi_remove_handle (x->client->multi, x->easy);
  x->in_multi = false;
  if (connection_table_user (x->client->connections, x->used_fd) == x)
    connection_table_set_user (x->client->connections, x->used_fd, NULL);
}

static int64_t
time_left_ms (const HttpExchange *x, int64_t now)
{
  int64_t end_ms = x->last_step_ms + x->timeout_ms;
  int64_t last_ms = x->last_step_ms + STEADY_RESPONSE_FACTOR * x->timeout_ms;

  if (x->last_step_ms == 0)
    return 0;
  if (x->received_ms > 0)
    end_ms = x->received_ms + x->stall_timeout_ms;
  return (end_ms < last_ms ? end_ms : last_ms) - now;
}

/* The limit is not libcurl's CURLOPT_TIMEOUT_MS: after a stall of the loop, libcurl ends an exchange in the very call
 * that tells it that the response has arrived. Timers fire after the sockets have been read. For the same reason the time
 * counts from the last step, connecting or the start of the request, if a stall has delayed that. */
static void
on_time_limit (void *data)
{
  HttpExchange *x = data;
  int64_t now = timers_now_ms (loop_timers (x->client->loop));
  int64_t left_ms = time_left_ms (x, now);
  HttpResult result;

  x->time_limit = NULL;
  /* An exchange that has completed is reported by client_reap(). */
  if (left_ms > 0 || x->client->reap_timer)
    {
      start_time_limit (x, left_ms);
      return;
    }
  result = failure_of (x, true);
  remove_from_multi (x);
  x->events->done (x->data, x, result);
}

static void
start_time_limit (HttpExchange *x, int64_t ms)
{
  x->time_limit = timers_start (loop_timers (x->client->loop), x, ms, on_time_limit, x);
}

static void
release_body (HttpExchange *x)
{
  talloc_unlink (x, x->body_owner);
  x->body = NULL;
}

static void
report_headers (HttpExchange *x)
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

/* Nothing of the request was sent. @return false if the exchange cannot be started again. */
static bool
restart_on_new_connection (HttpExchange *x)
{
  x->stale_connection = false;
  counter_add (counter_get ("pond_stale_connections_total", "",
                            "Idle connections not used again: unread bytes, closed, or in doubt."),
               1);
  curl_easy_setopt (x->easy, CURLOPT_FRESH_CONNECT, 1L);
  x->in_multi = curl_multi_add_handle (x->client->multi, x->easy) == CURLM_OK;
  return x->in_multi;
}

/* @return the socket of the exchange's connection, or -1 if it has been closed. */
static int
connection_fd (const HttpExchange *x)
{
  char *remote_ip = NULL;
  long remote_port = 0;
  long local_port = 0;

  curl_easy_getinfo (x->easy, CURLINFO_PRIMARY_IP, &remote_ip);
  curl_easy_getinfo (x->easy, CURLINFO_PRIMARY_PORT, &remote_port);
  curl_easy_getinfo (x->easy, CURLINFO_LOCAL_PORT, &local_port);
  return connection_table_find (x->client->connections,
                                &(ConnectionEnds){ remote_ip, (int)remote_port, (int)local_port });
}

/* libcurl keeps the connection of an exchange whose response was complete, also if that response was rejected; the one
 * that the request is due may still come on it. Shut down, it counts as stale. */
static void
shut_connection (HttpExchange *x)
{
  int fd = connection_fd (x);

  if (fd >= 0)
    shutdown (fd, SHUT_RDWR);
}

void
client_reap (HttpClient *client)
{
  CURLMsg *msg;
  int n_queued;

  while ((msg = curl_multi_info_read (client->multi, &n_queued)))
    {
      HttpExchange *x = NULL;
      HttpResult result;

      if (msg->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, &x);
      result = result_of (x, msg->data.result);
      remove_from_multi (x);
      if (x->stale_connection && restart_on_new_connection (x))
        continue;
      TALLOC_FREE (x->time_limit);
      if (result == HTTP_COMPLETE)
        {
          connection_table_trust (client->connections, connection_fd (x));
          report_headers (x);
        }
      if (result == HTTP_COMPLETE && x->aborted)
        shut_connection (x);
      x->events->done (x->data, x, result);
    }
}

/* Called by libcurl after each pass over the exchange. What has arrived by the limit is read first, so that a stall of the loop
 * doesn't count: a few passes are enough for that. */
static int
on_progress (void *data, curl_off_t total, curl_off_t received, curl_off_t to_send, curl_off_t sent)
{
  HttpExchange *x = data;

  (void)total, (void)to_send, (void)sent;
  if (received != x->body_bytes || !x->response_started
      || time_left_ms (x, timers_now_ms (loop_timers (x->client->loop))) > 0)
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

static size_t
on_body (char *bytes, size_t size, size_t n, void *data)
{
  HttpExchange *x = data;

  count_received (x, size * n + PACKET_OVERHEAD_BYTES);
  note_received (x);
  report_headers (x);
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

static size_t
on_header (char *bytes, size_t size, size_t n, void *data)
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

static curl_socket_t
open_socket (void *data, curlsocktype purpose, struct curl_sockaddr *address)
{
  HttpExchange *x = data;

  (void)purpose;
  x->last_step_ms = timers_now_ms (loop_timers (x->client->loop));
  x->opened_fd = socket (address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  return x->opened_fd;
}

/* May be called long after the exchange that opened the connection has ended. */
static int
close_socket (void *data, curl_socket_t fd)
{
  HttpClient *client = data;
  HttpExchange *x = connection_table_user (client->connections, fd);
  int unread = 0;

  if (x && ioctl (fd, SIOCOUTQ, &unread) == 0)
    x->closed_unread = unread > 0;
  connection_table_remove (client->connections, fd);
  return close (fd);
}

/* @return whether an idle connection holds unread bytes, which belong to no request, or was closed or reset by the server.
 * libcurl 7.88 uses such a connection again. */
static bool
is_stale (int fd)
{
  char byte;

  if (fd < 0)
    return false;
  return recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) >= 0
         || (errno != EAGAIN && errno != EINTR);
}

static bool
is_usable (const ConnectionTable *connections, int fd)
{
  return !is_stale (fd) && !connection_table_is_doubted (connections, fd);
}

/* To be called on the connection that the exchange is to use. */
static bool
connection_proves_end (HttpExchange *x, int fd)
{
  if (!x->uses_tunnel)
    return true;
  if (x->proves_end)
    connection_table_set_end_proved (x->client->connections, fd);
  return connection_table_is_end_proved (x->client->connections, fd);
}

/* libcurl retries a request by itself if a reused connection turns out to be closed. Whether a retry is
 * allowed is decided by the user of the exchange, so libcurl's own retry is aborted here. */
static int
on_before_request (void *data, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
  HttpExchange *x = data;
  ConnectionTable *connections = x->client->connections;
  ConnectionEnds ends = { remote_ip, remote_port, local_port };

  int fd;

  (void)local_ip;
  if (x->request_started)
    return CURL_PREREQFUNC_ABORT;
  if (http_exchange_opened_connection (x))
    connection_table_add (connections, &ends, x->opened_fd);
  fd = connection_table_find (connections, &ends);
  if (!http_exchange_opened_connection (x))
    x->stale_connection = !is_usable (connections, fd);
  if (x->stale_connection)
    return CURL_PREREQFUNC_ABORT;
  x->head.is_reused = !http_exchange_opened_connection (x);
  x->proves_end = connection_proves_end (x, fd);
  x->used_fd = fd;
  connection_table_set_user (connections, fd, x);
  x->request_started = true;
  x->last_step_ms = timers_now_ms (loop_timers (x->client->loop));
  return CURL_PREREQFUNC_OK;
}

static int
exchange_destroy (HttpExchange *x)
{
  remove_from_multi (x);
  curl_slist_free_all (x->headers);
  if (x->easy)
    curl_easy_cleanup (x->easy);
  return 0;
}

static void
set_tunnel (CURL *e, const char *proxy)
{
  curl_easy_setopt (e, CURLOPT_NOPROXY, proxy ? "" : "*");
  if (!proxy)
    return;
  curl_easy_setopt (e, CURLOPT_PROXY, proxy);
  curl_easy_setopt (e, CURLOPT_PROXYTYPE, (long)CURLPROXY_HTTP);
  curl_easy_setopt (e, CURLOPT_HTTPPROXYTUNNEL, 1L);
}

static void
set_options (HttpExchange *x, const HttpRequest *request)
{
  CURL *e = x->easy;

  curl_easy_setopt (e, CURLOPT_PRIVATE, x);
  curl_easy_setopt (e, CURLOPT_URL, request->url);
  curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  /* libcurl would otherwise resolve dot segments, after the request's route was chosen by its path. */
  curl_easy_setopt (e, CURLOPT_PATH_AS_IS, 1L);
  if (x->is_head)
    curl_easy_setopt (e, CURLOPT_NOBODY, 1L);
  if (request->receive_buffer_bytes)
    curl_easy_setopt (e, CURLOPT_BUFFERSIZE, (long)request->receive_buffer_bytes);
  curl_easy_setopt (e, CURLOPT_NOSIGNAL, 1L);
  set_tunnel (e, request->tunnel_over);
  curl_easy_setopt (e, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (e, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS, (long)request->connect_timeout_ms);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, x);
  curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (e, CURLOPT_HEADERDATA, x);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, x->headers);
  curl_easy_setopt (e, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (e, CURLOPT_XFERINFOFUNCTION, on_progress);
  curl_easy_setopt (e, CURLOPT_XFERINFODATA, x);
  curl_easy_setopt (e, CURLOPT_PREREQFUNCTION, on_before_request);
  curl_easy_setopt (e, CURLOPT_PREREQDATA, x);
  curl_easy_setopt (e, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (e, CURLOPT_OPENSOCKETDATA, x);
  curl_easy_setopt (e, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (e, CURLOPT_CLOSESOCKETDATA, x->client);
  if (request->max_idle_ms)
    curl_easy_setopt (e, CURLOPT_MAXAGE_CONN, (long)((request->max_idle_ms + 999) / 1000));
  if (request->own_connection)
    {
      curl_easy_setopt (e, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (e, CURLOPT_FORBID_REUSE, 1L);
    }
  if (request->body)
    {
      curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body_len);
      curl_easy_setopt (e, CURLOPT_POSTFIELDS, x->body);
    }
}

static void
keep_body (HttpExchange *x, const HttpRequest *request)
{
  x->body = request->body;
  x->body_len = request->body_len;
  if (request->body_owner)
    x->body_owner = talloc_reference (x, request->body_owner);
  else
    x->body = x->body_owner
        = talloc_memdup (x, request->body, request->body_len ? request->body_len : 1);
}

HttpExchange *
http_client_start (HttpClient *client, const void *ctx, const HttpRequest *request,
                   const HttpEvents *events, void *data)
{
  HttpExchange *x = talloc_zero (ctx, HttpExchange);
  size_t bytes = strlen (request->url) + request->body_len + PACKET_OVERHEAD_BYTES;

  if (!x)
    return NULL;
  x->client = client;
  x->used_fd = -1;
  x->is_control = request->is_control;
  x->is_head = !strcmp (request->method, "HEAD");
  x->uses_tunnel = request->tunnel_over != NULL;
  x->events = events;
  x->data = data;
  talloc_set_destructor (x, exchange_destroy);
  x->easy = curl_easy_init ();
  if (!x->easy)
    {
      talloc_free (x);
      return NULL;
    }
  if (request->body)
    keep_body (x, request);
  for (size_t i = 0; i < request->n_headers; i++)
    {
      x->headers = curl_slist_append (x->headers, request->headers[i]);
      bytes += strlen (request->headers[i]) + 2;
    }
  if (!x->is_control)
    traffic_sent (bytes);
  /* libcurl would otherwise wait for "100 Continue" before it sends a body above 1 KB. */
  x->headers = curl_slist_append (x->headers, "Expect:");
  set_options (x, request);
  if (curl_multi_add_handle (client->multi, x->easy) != CURLM_OK)
    {
      talloc_free (x);
      return NULL;
    }
  x->in_multi = true;
  x->timeout_ms = request->timeout_ms;
  x->stall_timeout_ms = request->stall_timeout_ms;
  start_time_limit (x, x->timeout_ms);
  return x;
}

void
http_exchange_resume (HttpExchange *x)
{
  curl_easy_pause (x->easy, CURLPAUSE_CONT);
  client_schedule_reap (x->client);
}

const char *
http_exchange_header (HttpExchange *x, const char *name)
{
  return find_header (x, name, CURLH_HEADER);
}

const char *
http_exchange_interim_header (HttpExchange *x, const char *name)
{
  return find_header (x, name, CURLH_1XX);
}

void
http_exchange_each_header (HttpExchange *x,
                           void (*fn) (void *data, const char *name, const char *value), void *data)
{
  struct curl_header *header = NULL;

  while ((header = curl_easy_nextheader (x->easy, CURLH_HEADER, -1, header)))
    fn (data, header->name, header->value);
}

bool
http_exchange_opened_connection (HttpExchange *x)
{
  long connects = 0;

  curl_easy_getinfo (x->easy, CURLINFO_NUM_CONNECTS, &connects);
  return connects > 0;
}

int
http_exchange_status (HttpExchange *x)
{
  long status = 0;

  curl_easy_getinfo (x->easy, CURLINFO_RESPONSE_CODE, &status);
  return (int)status;
}

int
http_exchange_tunnel_status (HttpExchange *x)
{
  long status = 0;

  curl_easy_getinfo (x->easy, CURLINFO_HTTP_CONNECTCODE, &status);
  return (int)status;
}
