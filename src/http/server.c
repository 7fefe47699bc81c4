#include "http/server_impl.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "core/log.h"

#define SWEEP_INTERVAL_MS 1000

/* A request of which more has arrived than was read is not late because of its client. A client that always has a few
 * bytes on the way must not hold its connection for ever, so that it is spared by so many sweeps. */
#define MAX_SPARED_SWEEPS 2

/* libmicrohttpd rejects headers that exceed its memory pool with an HTML page of its own. The pool is
 * larger than max_header_bytes, so that clients usually get this server's response. */
#define POOL_EXTRA_BYTES 1024

/* Resuming a connection does not make libmicrohttpd's epoll descriptor readable. An immediate event
 * would cause one run per resumed connection, and each run walks all suspended ones: with 1000 streams
 * that took a fifth of the worker's time. The eventfd is handled after the sockets that are already
 * ready, so that one run serves all connections that they resumed. */
void
server_schedule_run (HttpServer *server)
{
  uint64_t one = 1;

  if (server->run_scheduled)
    return;
  server->run_scheduled = true;
  if (write (server->wake_fd, &one, sizeof one) < 0)
    log_event (LOG_LEVEL_ERR, "http", "cannot_wake", "errno=%d", errno);
}

/* A streamed token takes three runs: libmicrohttpd fetches it, sends it and suspends the connection.
 * Other sockets are served after that. */
#define MAX_CONSECUTIVE_RUNS 4

static void
run_daemon (HttpServer *server)
{
  MHD_UNSIGNED_LONG_LONG timeout = 1;

  for (int i = 0; i < MAX_CONSECUTIVE_RUNS; i++)
    {
      MHD_run (server->daemon);
      /* close_expired_connections() handles timeouts; only work that is ready now needs another run. */
      if (MHD_get_timeout (server->daemon, &timeout) != MHD_YES || timeout > 0)
        return;
    }
  server_schedule_run (server);
}

static void
on_wake (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  HttpServer *server = data;
  uint64_t n;

  (void)ev;
  (void)fde;
  (void)flags;
  if (read (server->wake_fd, &n, sizeof n) < 0)
    return;
  server->run_scheduled = false;
  run_daemon (server);
}

static void
on_daemon_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  (void)ev;
  (void)fde;
  (void)flags;
  run_daemon (data);
}

/* --- Connections ------------------------------------------------------------------------- */

void
call_client_gone (HttpCall *call)
{
  if (!call->delivered || call->client_gone)
    return;
  call->client_gone = true;
  call->server->events->client_gone (call->data, call);
  http_call_abort (call);
}

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

/* Connections above the limit wait in the listen backlog until another one ends. */
static void
pause_listener_if_full (HttpServer *server)
{
  if (server->listener)
    listener_pause (server->listener, server->n_connections >= server->max_connections);
}

/* libmicrohttpd closes a connection that it cannot add. */
static void
on_accepted (void *data, int fd, const Address *peer)
{
  HttpServer *server = data;

  MHD_add_connection (server->daemon, fd, (const struct sockaddr *)&peer->storage, peer->len);
  server_schedule_run (server);
}

void
connection_set_idle (Connection *c)
{
  c->idle_since_ms = timers_now_ms (loop_timers (c->server->loop));
  c->idle_limit_ms = c->server->idle_timeout_ms;
}

static void
add_connection (HttpServer *server, struct MHD_Connection *mhd, void **context)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
  Connection *c = talloc_zero (server, Connection);
  struct epoll_event event = { .events = EPOLLRDHUP | EPOLLET, .data = { .ptr = c } };

  c->server = server;
  c->fd = info->connect_fd;
  connection_set_idle (c);
  list_append (&server->connections, &c->node);
  server->n_connections++;
  pause_listener_if_full (server);
  epoll_ctl (server->hangup_fd, EPOLL_CTL_ADD, c->fd, &event);
  *context = c;
}

static void
on_connection (void *cls, struct MHD_Connection *mhd, void **context,
               enum MHD_ConnectionNotificationCode code)
{
  Connection *c = *context;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      add_connection (cls, mhd, context);
      return;
    }
  if (!c)
    return;
  epoll_ctl (c->server->hangup_fd, EPOLL_CTL_DEL, c->fd, NULL);
  list_remove (&c->node);
  c->server->n_connections--;
  pause_listener_if_full (c->server);
  *context = NULL;
  talloc_free (c);
}

/* What a sweep has closed, for its log line. */
typedef struct
{
  int idle;
  int incomplete; /* a request did not arrive in time */
  int unread;     /* of these, connections with received bytes that were not read */
  int64_t max_idle_ms;
} SweepSummary;

static bool
has_unread_bytes (const Connection *c)
{
  char byte;

  return recv (c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static void
add_to_summary (SweepSummary *summary, const Connection *c, int64_t age_ms)
{
  summary->unread += has_unread_bytes (c);
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

  if (!call)
    return age_ms >= idle_limit_ms (c) && !has_unread_bytes (c);
  if (call->delivered || age_ms < c->server->read_timeout_ms)
    return false;
  return !has_unread_bytes (c) || ++call->n_spared > MAX_SPARED_SWEEPS;
}

/* Closes idle connections and those whose request does not arrive in time. libmicrohttpd's own timeout
 * restarts with each byte, so that a slow sender would never reach it.
 *
 * After a stall this may run before the sockets are served: what has arrived is read first, so that only
 * the client's silence counts. */
static void
close_expired_connections (void *data)
{
  HttpServer *server = data;
  Timers *timers = loop_timers (server->loop);
  int64_t now = timers_now_ms (timers);
  SweepSummary summary = { 0 };
  char head[192];

  timers_start (timers, server, SWEEP_INTERVAL_MS, close_expired_connections, server);
  run_daemon (server);
  for (ListNode *n = list_first (&server->connections); n; n = list_next (&server->connections, n))
    {
      Connection *c = LIST_ENTRY (n, Connection, node);
      int64_t age_ms = now - (c->call ? c->call->started_ms : c->idle_since_ms);

      if (!is_expired (c, age_ms))
        continue;
      add_to_summary (&summary, c, age_ms);
      if (c->call)
        {
          int len = snprintf (head, sizeof head,
                              "HTTP/1.1 408 Request Timeout\r\nContent-Type: application/json\r\n"
                              "Content-Length: %zu\r\nConnection: close\r\n\r\n",
                              strlen (server->timeout_body));

          /* No response is queued for this request, so that writing to the socket is safe. */
          if (send (c->fd, head, (size_t)len, MSG_NOSIGNAL | MSG_MORE) > 0)
            (void)!send (c->fd, server->timeout_body, strlen (server->timeout_body), MSG_NOSIGNAL);
        }
      shutdown (c->fd, SHUT_RDWR);
    }
  log_sweep (server, &summary);
  run_daemon (server);
}

/* --- Set-up ------------------------------------------------------------------------------ */

static int
server_destroy (HttpServer *server)
{
  server->stopping = true;
  /* tevent must stop watching the descriptors before they are closed. */
  TALLOC_FREE (server->daemon_event);
  TALLOC_FREE (server->hangup_event);
  TALLOC_FREE (server->wake_event);
  TALLOC_FREE (server->listener);
  if (server->daemon)
    {
      /* MHD_stop_daemon() must not be called with suspended connections. */
      for (ListNode *n = list_first (&server->connections); n;
           n = list_next (&server->connections, n))
        {
          HttpCall *call = LIST_ENTRY (n, Connection, node)->call;

          if (!call)
            continue;
          call_client_gone (call);
          http_call_abort (call);
        }
      MHD_run (server->daemon);
      MHD_stop_daemon (server->daemon);
    }
  if (server->hangup_fd >= 0)
    close (server->hangup_fd);
  if (server->wake_fd >= 0)
    close (server->wake_fd);
  return 0;
}

static bool
start_daemon (HttpServer *server, const HttpServerOptions *options)
{
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET;

  server->daemon = MHD_start_daemon (
      flags, 0, NULL, NULL, server_on_access, server, MHD_OPTION_CONNECTION_LIMIT,
      options->max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)(options->max_header_bytes + POOL_EXTRA_BYTES), MHD_OPTION_URI_LOG_CALLBACK,
      server_on_request_line, server, MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
      MHD_OPTION_NOTIFY_COMPLETED, server_on_completed, server, MHD_OPTION_STRICT_FOR_CLIENT, 1,
      MHD_OPTION_END);
  return server->daemon != NULL;
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
  const union MHD_DaemonInfo *info;

  server->loop = loop;
  server->events = options->events;
  server->data = options->data;
  server->max_body_bytes = options->max_body_bytes;
  server->max_header_bytes = options->max_header_bytes;
  server->body_quota = options->body_quota;
  server->max_connections = options->max_connections;
  http_server_set_timeouts (server, options->read_timeout_ms, options->idle_timeout_ms);
  server->timeout_body
      = talloc_strdup (server, options->timeout_body ? options->timeout_body : "{}");
  list_init (&server->connections);
  server->hangup_fd = epoll_create1 (EPOLL_CLOEXEC);
  talloc_set_destructor (server, server_destroy);
  server->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (server->hangup_fd < 0 || server->wake_fd < 0 || !start_daemon (server, options)
      || !start_listener (server, options))
    {
      talloc_free (server);
      return NULL;
    }
  info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  server->daemon_event = tevent_add_fd (loop_tevent (loop), server, info->epoll_fd, TEVENT_FD_READ,
                                        on_daemon_ready, server);
  server->hangup_event = tevent_add_fd (loop_tevent (loop), server, server->hangup_fd,
                                        TEVENT_FD_READ, on_hangup, server);
  server->wake_event = tevent_add_fd (loop_tevent (loop), server, server->wake_fd, TEVENT_FD_READ,
                                      on_wake, server);
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
