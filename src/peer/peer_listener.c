#include "peer/peer_listener.h"

#include <errno.h>
#include <netinet/in.h>
#include <unistd.h>

#include <talloc.h>

#include "core/list.h"
#include "core/log.h"
#include "core/address.h"
#include "peer/frame.h"

#define LISTEN_BACKLOG      256
/* Limits the work per event, so that one busy sender does not starve the others. */
#define MAX_READS_PER_EVENT 16

struct PeerListener
{
  Loop *loop;
  const PeerTcpOptions *options;
  PeerStats *stats;
  PeerListenerFn fn;
  void *data;
  int fd;
  List connections;
  size_t n_connections;
};

typedef struct
{
  ListNode node;
  PeerListener *listener;
  FrameReader *reader;
  int fd;
  int64_t last_read_us;
} IncomingConnection;

static int
connection_destroy (IncomingConnection *c)
{
  list_remove (&c->node);
  c->listener->n_connections--;
  /* Frees the event first: tevent must not watch a closed descriptor. */
  talloc_free_children (c);
  close (c->fd);
  return 0;
}

/* @return false if the connection must be closed. */
static bool
deliver_frames (IncomingConnection *c)
{
  PeerListener *listener = c->listener;
  const uint8_t *payload;
  size_t len;
  FrameResult result;

  while ((result = frame_reader_next (c->reader, &payload, &len)) == FRAME_READY)
    {
      Pond__Envelope *env = pond__envelope__unpack (NULL, len, payload);

      if (!env)
        {
          peer_stats_bad_frame (listener->stats);
          return false;
        }
      listener->fn (listener->data, env, len + FRAME_HEADER_BYTES);
      pond__envelope__free_unpacked (env, NULL);
    }
  if (result == FRAME_MALFORMED)
    peer_stats_bad_frame (listener->stats);
  return result != FRAME_MALFORMED;
}

/* @return false if the connection must be closed. */
static bool
read_frames (IncomingConnection *c)
{
  for (int i = 0; i < MAX_READS_PER_EVENT; i++)
    {
      size_t available;
      uint8_t *buf = frame_reader_reserve (c->reader, &available);
      ssize_t n = recv (c->fd, buf, available, 0);

      if (n == 0)
        return false;
      if (n < 0)
        return errno == EAGAIN || errno == EINTR;
      c->last_read_us = loop_monotonic_us ();
      frame_reader_commit (c->reader, (size_t)n);
      if (!deliver_frames (c))
        return false;
    }
  return true;
}

static void
on_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  (void)ev;
  (void)fde;
  (void)flags;
  if (!read_frames (data))
    talloc_free (data);
}

static void
add_connection (PeerListener *listener, int fd)
{
  IncomingConnection *c = talloc_zero (listener, IncomingConnection);

  c->listener = listener;
  c->fd = fd;
  c->reader = frame_reader_new (c, listener->options->max_frame_bytes);
  c->last_read_us = loop_monotonic_us ();
  list_append (&listener->connections, &c->node);
  listener->n_connections++;
  talloc_set_destructor (c, connection_destroy);
  tevent_add_fd (loop_tevent (listener->loop), c, fd, TEVENT_FD_READ, on_ready, c);
}

static void
on_accept (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  PeerListener *listener = data;
  int fd = accept4 (listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void)ev;
  (void)fde;
  (void)flags;
  if (fd < 0)
    return;
  if (listener->n_connections >= listener->options->max_incoming_connections)
    {
      listener->stats->rejected_connections++;
      close (fd);
      return;
    }
  add_connection (listener, fd);
}

static int
open_listening_socket (const char *listen_address)
{
  Address address;
  int one = 1;
  int fd;

  if (!address_parse (listen_address, &address))
    return -1;
  fd = socket (address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address.storage, address.len) == 0
      && listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  close (fd);
  return -1;
}

static int
listener_destroy (PeerListener *listener)
{
  /* The destructors of the connections refer to the listener. */
  talloc_free_children (listener);
  if (listener->fd >= 0)
    close (listener->fd);
  return 0;
}

PeerListener *
peer_listener_new (const void *ctx, Loop *loop, const PeerTcpOptions *options, PeerStats *stats,
                   PeerListenerFn fn, void *data)
{
  PeerListener *listener = talloc_zero (ctx, PeerListener);

  *listener
      = (PeerListener){ .loop = loop, .options = options, .stats = stats, .fn = fn, .data = data };
  list_init (&listener->connections);
  talloc_set_destructor (listener, listener_destroy);
  listener->fd = open_listening_socket (options->listen);
  if (listener->fd < 0)
    {
      log_event (LOG_LEVEL_ERR, "peer", "cannot_listen", "address=%s", options->listen);
      talloc_free (listener);
      return NULL;
    }
  tevent_add_fd (loop_tevent (loop), listener, listener->fd, TEVENT_FD_READ, on_accept, listener);
  return listener;
}

uint16_t
peer_listener_port (const PeerListener *listener)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
  } addr = { .v6 = { 0 } };
  socklen_t len = sizeof addr;

  if (getsockname (listener->fd, &addr.any, &len) < 0)
    return 0;
  return ntohs (addr.any.sa_family == AF_INET6 ? addr.v6.sin6_port : addr.v4.sin_port);
}

void
peer_listener_close_inactive (PeerListener *listener, int64_t before_us)
{
  ListNode *next;

  for (ListNode *n = list_first (&listener->connections); n; n = next)
    {
      IncomingConnection *c = LIST_ENTRY (n, IncomingConnection, node);

      next = list_next (&listener->connections, n);
      if (c->last_read_us < before_us)
        talloc_free (c);
    }
}
