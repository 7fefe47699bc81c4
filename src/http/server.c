#include "http/server_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/log.h"

#define SWEEP_INTERVAL_MS 1000

/* A request of which more has arrived than was read is not late because of its client. A client that always has a few
 * bytes on the way must not hold its connection for ever, so that it is spared by so many sweeps. */
#define MAX_SPARED_SWEEPS 2

/* Time in which a client is to end a connection after its last response. */
#define DRAIN_LIMIT_MS 2000

/* The library's own limit, in bytes, is for all servers of the process and must never apply: each server has its own
 * (request_parser.c). */
#define PARSER_MAX_HEAD_BYTES (UINT32_C (1) << 30)

/* --- Connections ------------------------------------------------------------------------- */

/* Takes one event at a time, because handling one may free the connection of another. */
static void
on_hangup (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  HttpServer *server = data;
  struct epoll_event event;

  (void)ev;
  (void)fde;
  (void)flags;
  while (epoll_wait (server->hangup_fd, &event, 1, 0) == 1)
    {
      Connection *c = event.data.ptr;

      if (c->call)
        call_client_gone (c->call);
    }
}

static void
on_accepted (void *data, int fd, const Address *peer)
{
  (void)peer;
  connection_add (data, fd);
}

/* What a sweep has closed, for its log line. */
typedef struct
{
  int idle;
  int incomplete; /* a request did not arrive in time */
  int unread;     /* of these, connections with received bytes that were not read */
  int64_t max_idle_ms;
} SweepSummary;

static void
add_to_summary (SweepSummary *summary, const Connection *c, int64_t age_ms)
{
  summary->unread += connection_has_unread_bytes (c);
  if (c->call)
    {
      summary->incomplete++;
      return;
    }
  summary->idle++;
  if (age_ms > summary->max_idle_ms)
    summary->max_idle_ms = age_ms;
}

static void
log_sweep (const HttpServer *server, const SweepSummary *summary)
{
  if (summary->idle + summary->incomplete == 0)
    return;
  log_event (LOG_LEVEL_INFO, "http", "connections_expired",
             "idle=%d incomplete=%d unread=%d max_idle_ms=%" PRId64 " limit_ms=%" PRId64
             " connections=%zu",
             summary->idle, summary->incomplete, summary->unread, summary->max_idle_ms,
             server->idle_timeout_ms, server->n_connections);
}

/* The client may know the limit that was in force when it got its last response, or a newer one. */
static int64_t
idle_limit_ms (const Connection *c)
{
  int64_t newest_ms = c->server->idle_timeout_ms;

  return c->idle_limit_ms > newest_ms ? c->idle_limit_ms : newest_ms;
}

static bool
is_expired (const Connection *c, int64_t age_ms)
{
  HttpCall *call = c->call;

  if (c->is_draining)
    return age_ms >= DRAIN_LIMIT_MS;
  if (!call)
    return age_ms >= idle_limit_ms (c) && !connection_has_unread_bytes (c);
  if (call->delivered || age_ms < c->server->read_timeout_ms)
    return false;
  return !connection_has_unread_bytes (c) || ++call->n_spared > MAX_SPARED_SWEEPS;
}

/* No response has been begun for the request, so that writing to the socket is safe. */
static void
send_timeout (const Connection *c)
{
  const char *body = c->server->timeout_body;
  char head[192];
  int len = snprintf (head, sizeof head,
                      "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\n"
                      "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                      strlen (body));

  if (send (c->fd, head, (size_t)len, MSG_NOSIGNAL | MSG_MORE) > 0)
    (void)!send (c->fd, body, strlen (body), MSG_NOSIGNAL);
  shutdown (c->fd, SHUT_RDWR);
}

static void
end_slow_client (Connection *c, int64_t now)
{
  counter_add (
      counter_get ("pond_slow_clients_closed_total", "",
                   "Connections of clients that took no response, or were past their deadline."),
      1);
  log_event (LOG_LEVEL_NOTICE, "http", "client_too_slow",
             "waiting_bytes=%zu nothing_taken_ms=%" PRId64 " age_ms=%" PRId64,
             output_buffer_len (&c->output), now - c->taken_ms, now - c->call->started_ms);
  connection_reset (c);
}

/* Closes idle connections and those whose request does not arrive in time.
 *
 * After a stall this may run before the sockets are served: only the client's silence counts. */
static void
close_expired_connections (void *data)
{
  HttpServer *server = data;
  Timers *timers = loop_timers (server->loop);
  int64_t now = timers_now_ms (timers);
  SweepSummary summary = { 0 };
  ListNode *next;

  timers_start (timers, server, SWEEP_INTERVAL_MS, close_expired_connections, server);
  for (ListNode *n = list_first (&server->connections); n; n = next)
    {
      Connection *c = LIST_ENTRY (n, Connection, node);
      int64_t age_ms = now - (c->call ? c->call->started_ms : c->idle_since_ms);

      next = list_next (&server->connections, n);
      if (connection_is_taken_too_slowly (c, now))
        {
          end_slow_client (c, now);
          continue;
        }
      if (!is_expired (c, age_ms))
        continue;
      add_to_summary (&summary, c, age_ms);
      if (c->call)
        send_timeout (c);
      connection_close (c);
    }
  log_sweep (server, &summary);
}

/* --- Set-up ------------------------------------------------------------------------------ */

static int
server_destroy (HttpServer *server)
{
  ListNode *n;

  server->stopping = true;
  /* tevent must stop watching the descriptors before they are closed. */
  TALLOC_FREE (server->hangup_event);
  TALLOC_FREE (server->listener);
  while ((n = list_first (&server->connections)))
    connection_close (LIST_ENTRY (n, Connection, node));
  if (server->hangup_fd >= 0)
    close (server->hangup_fd);
  return 0;
}

static bool
start_listener (HttpServer *server, const HttpServerOptions *options)
{
  ListenerOptions listener_options = {
    .loop = server->loop, .listen = options->listen, .on_accept = on_accepted, .data = server
  };

  server->listener = listener_new (server, &listener_options);
  return server->listener != NULL;
}

HttpServer *
http_server_new (const void *ctx, Loop *loop, const HttpServerOptions *options)
{
  HttpServer *server = talloc_zero (ctx, HttpServer);

  http_parser_set_max_header_size (PARSER_MAX_HEAD_BYTES);
  server->loop = loop;
  server->events = options->events;
  server->data = options->data;
  server->max_body_bytes = options->max_body_bytes;
  server->max_header_bytes = options->max_header_bytes;
  server->body_quota = options->body_quota;
  server->take_timeout_ms = options->take_timeout_ms;
  server->max_connections = options->max_connections;
  http_server_set_timeouts (server, options->read_timeout_ms, options->idle_timeout_ms);
  server->timeout_body
      = talloc_strdup (server, options->timeout_body ? options->timeout_body : "{}");
  list_init (&server->connections);
  list_init (&server->idle);
  server->hangup_fd = epoll_create1 (EPOLL_CLOEXEC);
  talloc_set_destructor (server, server_destroy);
  server->receive_buffer = talloc_size (server, HTTP_RECEIVE_BYTES);
  if (server->hangup_fd < 0 || !start_listener (server, options))
    {
      talloc_free (server);
      return NULL;
    }
  server->hangup_event = tevent_add_fd (loop_tevent (loop), server, server->hangup_fd,
                                        TEVENT_FD_READ, on_hangup, server);
  timers_start (loop_timers (loop), server, SWEEP_INTERVAL_MS, close_expired_connections, server);
  return server;
}

void
http_server_set_timeouts (HttpServer *server, int64_t read_timeout_ms, int64_t idle_timeout_ms)
{
  server->read_timeout_ms = read_timeout_ms;
  server->idle_timeout_ms = idle_timeout_ms ? idle_timeout_ms : read_timeout_ms;
}

uint16_t
http_server_port (const HttpServer *server)
{
  return listener_port (server->listener);
}

size_t
http_server_open_calls (const HttpServer *server)
{
  return server->open_calls;
}

void
http_server_refuse_connections (HttpServer *server, bool on)
{
  listener_refuse (server->listener, on);
}

void
http_server_close_after_response (HttpServer *server, bool on)
{
  server->close_after_response = on;
}
