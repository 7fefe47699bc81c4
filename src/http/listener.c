#include "http/listener.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <unistd.h>

#include <talloc.h>

#include "core/log.h"

#define LISTEN_BACKLOG 1024

/* Delay before another attempt to open the port. */
#define REOPEN_DELAY_MS 100

struct Listener
{
  ListenerOptions options;
  Address address; /* with the port that the kernel chose */
  int fd;          /* -1: not listening */
  struct tevent_fd *event;
  bool refusing;
  bool paused;
  Timer *reopen_timer;
};

static bool open_port (Listener *l);

/* --- Connections ------------------------------------------------------------------------- */

/* @return the number of connections that were accepted. */
static int
accept_all (Listener *l)
{
  int n = 0;

  while (l->fd >= 0 && !l->paused)
    {
      Address peer = { .len = sizeof peer.storage };
      int fd = accept4 (l->fd, (struct sockaddr *)&peer.storage, &peer.len,
                        SOCK_NONBLOCK | SOCK_CLOEXEC);

      if (fd < 0 && errno != EINTR && errno != ECONNABORTED)
        break;
      if (fd < 0)
        continue;
      n++;
      l->options.on_accept (l->options.data, fd, &peer);
    }
  return n;
}

static void
on_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  (void)ev;
  (void)fde;
  (void)flags;
  accept_all (data);
}

/* --- The port ---------------------------------------------------------------------------- */

static void
close_port (Listener *l)
{
  TALLOC_FREE (l->event);
  if (l->fd >= 0)
    close (l->fd);
  l->fd = -1;
}

static void
update_event (Listener *l)
{
  TALLOC_FREE (l->event);
  if (l->fd >= 0 && !l->paused)
    l->event = tevent_add_fd (loop_tevent (l->options.loop), l, l->fd, TEVENT_FD_READ, on_ready, l);
}

static int
open_listening_socket (const Address *address)
{
  int on = 1;
  int fd = socket (address->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  /* SO_REUSEPORT, because several workers listen on the same port. */
  if (setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0
      && setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) == 0
      && bind (fd, (const struct sockaddr *)&address->storage, address->len) == 0
      && listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
on_reopen (void *data)
{
  Listener *l = data;

  l->reopen_timer = NULL;
  if (!l->refusing && l->fd < 0)
    open_port (l);
}

static bool
open_port (Listener *l)
{
  l->fd = open_listening_socket (&l->address);
  if (l->fd < 0)
    {
      log_event (LOG_LEVEL_WARNING, "http", "cannot_listen", "errno=%d", errno);
      if (!l->reopen_timer)
        l->reopen_timer
            = timers_start (loop_timers (l->options.loop), l, REOPEN_DELAY_MS, on_reopen, l);
      return false;
    }
  update_event (l);
  return true;
}

uint16_t
listener_port (const Listener *l)
{
  const struct sockaddr_storage *s = &l->address.storage;

  if (s->ss_family == AF_INET6)
    return ntohs (((const struct sockaddr_in6 *)s)->sin6_port);
  return ntohs (((const struct sockaddr_in *)s)->sin_port);
}

void
listener_refuse (Listener *l, bool on)
{
  int accepted;

  if (l->refusing == on)
    return;
  l->refusing = on;
  if (!on)
    {
      if (l->fd < 0 && open_port (l))
        log_event (LOG_LEVEL_INFO, "http", "port_opened", "port=%u", listener_port (l));
      return;
    }
  accepted = accept_all (l);
  close_port (l);
  log_event (LOG_LEVEL_INFO, "http", "port_closed", "port=%u accepted=%d", listener_port (l),
             accepted);
}

void
listener_pause (Listener *l, bool on)
{
  if (l->paused == on)
    return;
  l->paused = on;
  update_event (l);
}

/* --- Set-up ------------------------------------------------------------------------------ */

static int
listener_destroy (Listener *l)
{
  close_port (l);
  return 0;
}

Listener *
listener_new (const void *ctx, const ListenerOptions *options)
{
  Listener *l = talloc_zero (ctx, Listener);

  l->options = *options;
  l->fd = -1;
  talloc_set_destructor (l, listener_destroy);
  if (!address_parse (options->listen, &l->address) || !open_port (l))
    {
      talloc_free (l);
      return NULL;
    }
  l->address.len = sizeof l->address.storage;
  getsockname (l->fd, (struct sockaddr *)&l->address.storage, &l->address.len);
  return l;
}
