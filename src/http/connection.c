#include "http/server_impl.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "core/counter.h"

/* The kernel resets a connection that is closed with unread bytes, and a client that is still sending would lose its
 * response: this much of what it sends is discarded before. */
#define MAX_DRAINED_BYTES ((size_t)256 << 10)

/* A client goes by its own clock, and what it still takes just after its deadline may be all that it lacks. */
#define DEADLINE_SLACK_MS 1000

/* --- Start and end ----------------------------------------------------------------------- */

/* Connections above the limit wait in the listen backlog until another one ends or is idle. */
static void
update_listener (HttpServer *server)
{
  bool is_full = server->n_connections >= server->max_connections
                 && (server->has_no_room || list_is_empty (&server->idle));

  if (server->listener)
    listener_pause (server->listener, is_full);
}

void
connection_set_busy (Connection *c)
{
  if (!c->is_idle)
    return;
  c->is_idle = false;
  list_remove (&c->idle_node);
  update_listener (c->server);
}

void
connection_set_idle (Connection *c)
{
  c->idle_since_ms = timers_now_ms (loop_timers (c->server->loop));
  c->idle_limit_ms = c->server->idle_timeout_ms;
  connection_set_busy (c);
  c->is_idle = true;
  c->server->has_no_room = false;
  list_append (&c->server->idle, &c->idle_node);
  update_listener (c->server);
}

/* Without chunks the end of the connection would make a response that was broken off look complete. */
static void
reset_on_close (const Connection *c)
{
  struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

void
connection_close (Connection *c)
{
  HttpServer *server = c->server;
  HttpCall *call = c->call;

  TALLOC_FREE (c->event);
  if (call && call->has_response && call->has_body && !call->is_chunked && !call->ended)
    reset_on_close (c);
  if (call && !call->aborted)
    call_client_gone (call);
  c->call = NULL;
  epoll_ctl (server->hangup_fd, EPOLL_CTL_DEL, c->fd, NULL);
  close (c->fd);
  list_remove (&c->node);
  server->n_connections--;
  server->has_no_room = false;
  if (call)
    call_finish (call);
  connection_set_busy (c);
  update_listener (server);
  talloc_free (c);
}

bool
connection_has_unread_bytes (const Connection *c)
{
  char byte;

  return recv (c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* --- Output ------------------------------------------------------------------------------ */

/* Ends the connection after its last response, once the client has ended it too. */
static void
drain (Connection *c)
{
  shutdown (c->fd, SHUT_WR);
  c->is_draining = true;
  TALLOC_FREE (c->unread);
  connection_set_idle (c);
  TEVENT_FD_READABLE (c->event);
}

/* The response has been sent. @return false if the connection has been closed. */
static bool
finish_call (Connection *c)
{
  HttpCall *call = c->call;
  bool keep_alive = call->keep_alive && !c->server->close_after_response;
  bool was_read = call->fault == HTTP_FAULT_NONE;

  c->call = NULL;
  call_finish (call);
  if (keep_alive)
    {
      request_parser_init (c);
      connection_set_idle (c);
      TEVENT_FD_READABLE (c->event);
      return true;
    }
  if (!was_read || c->unread || connection_has_unread_bytes (c))
    {
      drain (c);
      return true;
    }
  connection_close (c);
  return false;
}

/* Reads what was received behind the last request. @return false if the connection has been closed. */
static bool
read_bytes (Connection *c, const char *bytes, size_t len)
{
  while (len > 0 && !(c->call && c->call->received))
    {
      size_t n = request_parser_read (c, bytes, len);

      bytes += n;
      len -= n;
    }
  if (len > 0)
    {
      c->unread = talloc_memdup (c, bytes, len);
      c->n_unread = len;
    }
  if (c->call && c->call->received && !c->call->delivered && !call_deliver (c->call))
    {
      connection_close (c);
      return false;
    }
  return true;
}

static bool
read_pipelined (Connection *c)
{
  char *bytes = c->unread;
  size_t len = c->n_unread;
  bool is_open;

  c->unread = NULL;
  c->n_unread = 0;
  if (!bytes)
    return true;
  /* Bytes that remain unread are copied before these are freed. */
  is_open = read_bytes (c, bytes, len);
  if (is_open)
    talloc_free (bytes);
  return is_open;
}

static void
report_writable (HttpCall *call)
{
  if (!call->write_blocked)
    return;
  call->write_blocked = false;
  call->server->events->writable (call->data, call);
}

static bool
must_end (const HttpCall *call, size_t n_waiting)
{
  return call->client_gone || (call->aborted && n_waiting == 0);
}

/* @return false if the socket takes no bytes any more. */
static bool
flush (Connection *c)
{
  size_t before = output_buffer_len (&c->output);
  bool works = output_buffer_flush (&c->output, c->fd);

  if (output_buffer_len (&c->output) < before)
    c->taken_ms = timers_now_ms (loop_timers (c->server->loop));
  return works;
}

/* What the socket can take is offered to it first: after a stall the loop may not have served it yet. */
bool
connection_is_taken_too_slowly (Connection *c, int64_t now_ms)
{
  const HttpCall *call = c->call;
  int64_t limit_ms = c->server->take_timeout_ms;

  if (!call || output_buffer_len (&c->output) == 0)
    return false;
  if (!flush (c) || output_buffer_len (&c->output) == 0)
    return false;
  if (limit_ms > 0 && now_ms - c->taken_ms >= limit_ms)
    return true;
  return call->deadline_ms > 0 && now_ms - call->deadline_ms >= DEADLINE_SLACK_MS;
}

void
connection_reset (Connection *c)
{
  reset_on_close (c);
  connection_close (c);
}

/* Sends what waits, and goes on with the connection as far as it can. */
static void
progress (Connection *c)
{
  for (;;)
    {
      bool works = flush (c);
      size_t n_waiting = output_buffer_len (&c->output);
      HttpCall *call = c->call;

      if (!call)
        return;
      if (!works || must_end (call, n_waiting))
        {
          connection_close (c);
          return;
        }
      if (n_waiting > 0)
        {
          TEVENT_FD_WRITEABLE (c->event);
          return;
        }
      TEVENT_FD_NOT_WRITEABLE (c->event);
      if (!call->ended)
        {
          if (call->has_response)
            report_writable (call);
          return;
        }
      if (!finish_call (c) || !read_pipelined (c))
        return;
    }
}

static void
on_progress (struct tevent_context *ev, struct tevent_immediate *im, void *data)
{
  (void)ev;
  (void)im;
  progress (data);
}

void
connection_schedule_progress (Connection *c)
{
  if (!c->progress_event)
    c->progress_event = tevent_create_immediate (c);
  tevent_schedule_immediate (c->progress_event, loop_tevent (c->server->loop), on_progress, c);
}

/* --- Input ------------------------------------------------------------------------------- */

static bool
is_temporary (ssize_t n)
{
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

static void
discard (Connection *c, ssize_t n)
{
  if (n > 0)
    c->drained_bytes += (size_t)n;
  if ((n <= 0 && !is_temporary (n)) || c->drained_bytes > MAX_DRAINED_BYTES)
    connection_close (c);
}

static void
receive (Connection *c)
{
  ssize_t n;

  if (c->call && c->call->received)
    {
      TEVENT_FD_NOT_READABLE (c->event);
      return;
    }
  n = recv (c->fd, c->server->receive_buffer, HTTP_RECEIVE_BYTES, 0);
  if (c->is_draining)
    {
      discard (c, n);
      return;
    }
  if (n > 0 && read_bytes (c, c->server->receive_buffer, (size_t)n))
    progress (c);
  else if (n <= 0 && !is_temporary (n))
    connection_close (c);
}

static void
on_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  (void)ev;
  (void)fde;
  if (flags & TEVENT_FD_WRITE)
    progress (data);
  else if (flags & TEVENT_FD_READ)
    receive (data);
}

/* Those with bytes on the way are left alone: a request may be among them. */
void
server_make_room (HttpServer *server)
{
  if (server->n_connections < server->max_connections)
    return;
  for (ListNode *n = list_first (&server->idle); n; n = list_next (&server->idle, n))
    {
      Connection *c = LIST_ENTRY (n, Connection, idle_node);

      if (connection_has_unread_bytes (c))
        continue;
      counter_add (counter_get ("pond_idle_connections_closed_total", "",
                                "Idle connections closed to make room for others."),
                   1);
      connection_close (c);
      return;
    }
  server->has_no_room = true;
}

void
connection_add (HttpServer *server, int fd)
{
  Connection *c = talloc_zero (server, Connection);
  struct epoll_event hangup = { .events = EPOLLRDHUP | EPOLLET, .data = { .ptr = c } };
  bool has_no_room;
  int on = 1;

  c->server = server;
  c->fd = fd;
  request_parser_init (c);
  server_make_room (server);
  has_no_room = server->has_no_room;
  list_append (&server->connections, &c->node);
  server->n_connections++;
  connection_set_idle (c);
  server->has_no_room = has_no_room;
  update_listener (server);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  epoll_ctl (server->hangup_fd, EPOLL_CTL_ADD, fd, &hangup);
  c->event = tevent_add_fd (loop_tevent (server->loop), c, fd, TEVENT_FD_READ, on_ready, c);
}
