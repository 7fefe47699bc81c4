#include "http/client_impl.h"

#include <string.h>

#include <talloc.h>

#include "core/counter.h"
#include "http/traffic.h"

static void start_time_limit (HttpExchange *x, int64_t ms);

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

int64_t
exchange_time_left_ms (const HttpExchange *x, int64_t now)
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
  int64_t left_ms = exchange_time_left_ms (x, now);
  HttpResult result;

  x->time_limit = NULL;
  /* An exchange that has completed is reported by client_reap(). */
  if (left_ms > 0 || x->client->reap_timer)
    {
      start_time_limit (x, left_ms);
      return;
    }
  result = exchange_failure (x, true);
  remove_from_multi (x);
  x->events->done (x->data, x, result);
}

static void
start_time_limit (HttpExchange *x, int64_t ms)
{
  x->time_limit = timers_start (loop_timers (x->client->loop), x, ms, on_time_limit, x);
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
      result = exchange_result (x, msg->data.result);
      remove_from_multi (x);
      if (x->stale_connection && restart_on_new_connection (x))
        continue;
      TALLOC_FREE (x->time_limit);
      if (result == HTTP_COMPLETE)
        {
          connection_table_trust (client->connections, exchange_connection_fd (x));
          exchange_report_headers (x);
        }
      if (result == HTTP_COMPLETE && x->aborted)
        exchange_shut_connection (x);
      x->events->done (x->data, x, result);
    }
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
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, exchange_on_body);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, x);
  curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, exchange_on_header);
  curl_easy_setopt (e, CURLOPT_HEADERDATA, x);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, x->headers);
  curl_easy_setopt (e, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (e, CURLOPT_XFERINFOFUNCTION, exchange_on_progress);
  curl_easy_setopt (e, CURLOPT_XFERINFODATA, x);
  curl_easy_setopt (e, CURLOPT_PREREQFUNCTION, exchange_on_before_request);
  curl_easy_setopt (e, CURLOPT_PREREQDATA, x);
  curl_easy_setopt (e, CURLOPT_OPENSOCKETFUNCTION, exchange_open_socket);
  curl_easy_setopt (e, CURLOPT_OPENSOCKETDATA, x);
  curl_easy_setopt (e, CURLOPT_CLOSESOCKETFUNCTION, exchange_close_socket);
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
