#include "peer/peer_connection.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <talloc.h>

/* TCP_USER_TIMEOUT: the kernel closes a connection whose data stays unacknowledged for this long.
 * Without it, a connection would still wait for its next retransmission after a network partition of
 * more than a few seconds has ended. */
#define UNACKED_TIMEOUT_MS 5000

typedef enum
{
  CONNECTION_CLOSED,
  CONNECTION_CONNECTING,
  CONNECTION_ESTABLISHED,
  CONNECTION_BACKOFF
} ConnectionState;

struct PeerConnection
{
  PeerConnectionShared *shared;
  Address address;
  ConnectionState state;
  int fd;
  struct tevent_fd *event;
  Timer *timer; /* connect timeout or end of the backoff */
  unsigned failures;
  int64_t last_queued_us;
  int64_t
      sign_of_life_us; /* the connection was established, or a message of the peer arrived on another one */
  SendQueue queue;
};

static void start_connect (PeerConnection *conn);

static void
close_connection (PeerConnection *conn)
{
  TALLOC_FREE (conn->event);
  TALLOC_FREE (conn->timer);
  if (conn->fd >= 0)
    close (conn->fd);
  conn->fd = -1;
  conn->state = CONNECTION_CLOSED;
  send_queue_drop_partial (&conn->queue);
}

static void
on_backoff_timer (void *data)
{
  PeerConnection *conn = data;

  conn->timer = NULL;
  conn->state = CONNECTION_CLOSED;
  if (!send_queue_is_empty (&conn->queue))
    start_connect (conn);
}

static int64_t
next_backoff_ms (PeerConnection *conn)
{
  const PeerTcpOptions *o = &conn->shared->options;
  int64_t ms = o->backoff_min_ms;

  for (unsigned i = 1; i < conn->failures && ms < o->backoff_max_ms; i++)
    ms *= 2;
  if (ms > o->backoff_max_ms)
    ms = o->backoff_max_ms;
  return ms / 2 + (int64_t)rng_below (&conn->shared->rng, (uint64_t)(ms / 2 + 1));
}

static void
start_backoff (PeerConnection *conn)
{
  conn->state = CONNECTION_BACKOFF;
  conn->timer = timers_start (loop_timers (conn->shared->loop), conn, next_backoff_ms (conn),
                              on_backoff_timer, conn);
}

/* The queued messages are dropped because they are outdated; their senders retry if necessary. */
static void
on_connect_failed (PeerConnection *conn)
{
  close_connection (conn);
  peer_stats_connect (&conn->shared->stats, 0);
  send_queue_drop_all (&conn->queue);
  conn->failures++;
  start_backoff (conn);
}

/* Reconnects after a backoff: a peer that closes every connection at once would otherwise keep the
 * loop busy. */
static void
on_connection_lost (PeerConnection *conn)
{
  close_connection (conn);
  if (!send_queue_is_empty (&conn->queue))
    start_backoff (conn);
}

static void
send_queued (PeerConnection *conn)
{
  const uint8_t *bytes;
  size_t len;
  bool would_block = false;

  while (!would_block && send_queue_peek (&conn->queue, &bytes, &len))
    {
      ssize_t n = send (conn->fd, bytes, len, MSG_NOSIGNAL);

      if (n < 0 && errno != EAGAIN && errno != EINTR)
        {
          on_connection_lost (conn);
          return;
        }
      would_block = n < 0;
      if (n > 0)
        send_queue_advance (&conn->queue, (size_t)n);
    }
  tevent_fd_set_flags (conn->event, TEVENT_FD_READ | (would_block ? TEVENT_FD_WRITE : 0));
}

static void
on_connect_completed (PeerConnection *conn)
{
  int error = 0;
  socklen_t len = sizeof error;

  if (getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 || error)
    {
      on_connect_failed (conn);
      return;
    }
  TALLOC_FREE (conn->timer);
  peer_stats_connect (&conn->shared->stats, 1);
  conn->failures = 0;
  conn->state = CONNECTION_ESTABLISHED;
  conn->sign_of_life_us = loop_monotonic_us ();
  send_queued (conn);
}

/* The peer sends nothing on this connection, so that readable means closed. */
static void
on_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  PeerConnection *conn = data;
  char byte;

  (void)ev;
  (void)fde;
  if (conn->state == CONNECTION_CONNECTING)
    {
      on_connect_completed (conn);
      return;
    }
  if ((flags & TEVENT_FD_READ) && recv (conn->fd, &byte, 1, 0) >= 0)
    {
      on_connection_lost (conn);
      return;
    }
  if ((flags & TEVENT_FD_READ) && errno != EAGAIN && errno != EINTR)
    {
      on_connection_lost (conn);
      return;
    }
  send_queued (conn);
}

static void
on_connect_timeout (void *data)
{
  PeerConnection *conn = data;

  conn->timer = NULL;
  on_connect_failed (conn);
}

static int
open_socket (const Address *address)
{
  int fd = socket (address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int one = 1;
  unsigned timeout_ms = UNACKED_TIMEOUT_MS;

  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
  return fd;
}

static void
start_connect (PeerConnection *conn)
{
  PeerConnectionShared *shared = conn->shared;

  conn->state = CONNECTION_CONNECTING;
  conn->fd = open_socket (&conn->address);
  if (conn->fd < 0
      || (connect (conn->fd, (struct sockaddr *)&conn->address.storage, conn->address.len) < 0
          && errno != EINPROGRESS))
    {
      on_connect_failed (conn);
      return;
    }
  conn->event
      = tevent_add_fd (loop_tevent (shared->loop), conn, conn->fd, TEVENT_FD_WRITE, on_ready, conn);
  conn->timer = timers_start (loop_timers (shared->loop), conn, shared->options.connect_timeout_ms,
                              on_connect_timeout, conn);
}

/* --- Interface --------------------------------------------------------------------------- */

static int
connection_destroy (PeerConnection *conn)
{
  close_connection (conn);
  send_queue_drop_all (&conn->queue);
  return 0;
}

PeerConnection *
peer_connection_new (const void *ctx, PeerConnectionShared *shared, const Address *address)
{
  PeerConnection *conn = talloc_zero (ctx, PeerConnection);

  conn->shared = shared;
  conn->address = *address;
  conn->fd = -1;
  send_queue_init (&conn->queue, &shared->quota);
  talloc_set_destructor (conn, connection_destroy);
  return conn;
}

void
peer_connection_set_address (PeerConnection *conn, const Address *address)
{
  if (address_equal (&conn->address, address))
    return;
  close_connection (conn);
  conn->address = *address;
  conn->failures = 0;
  if (!send_queue_is_empty (&conn->queue))
    start_connect (conn);
}

void
peer_connection_heard (PeerConnection *conn)
{
  conn->sign_of_life_us = loop_monotonic_us ();
}

/* Bytes that a proxy on the way has acknowledged and does not pass on look delivered to the kernel. What was sent is still
 * delivered if the connection is sound. */
static void
close_if_unheard (PeerConnection *conn)
{
  int64_t limit_us = conn->shared->options.unheard_limit_ms * 1000;

  if (conn->state == CONNECTION_ESTABLISHED
      && loop_monotonic_us () - conn->sign_of_life_us > limit_us)
    close_connection (conn);
}

void
peer_connection_send (PeerConnection *conn, uint8_t *frame, size_t len,
                      Pond__Envelope__BodyCase kind)
{
  close_if_unheard (conn);
  send_queue_push (&conn->queue, conn, frame, len, kind);
  conn->last_queued_us = loop_monotonic_us ();
  if (conn->state == CONNECTION_ESTABLISHED)
    send_queued (conn);
  else if (conn->state == CONNECTION_CLOSED && !send_queue_is_empty (&conn->queue))
    start_connect (conn);
}

void
peer_connection_close_idle (PeerConnection *conn, int64_t before_us)
{
  if (conn->state == CONNECTION_ESTABLISHED && send_queue_is_empty (&conn->queue)
      && conn->last_queued_us < before_us)
    close_connection (conn);
}
