#include "proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "core/list.h"

#define BUFFER_BYTES 65536
#define DELAY_MS     120

typedef struct
{
  int from;
  int to;
  char *bytes;
  size_t len;
  bool eof;      /* the sender has closed its side */
  bool eof_sent; /* the receiver has been sent the end of file */
  bool delayed;  /* until the timer of the connection fires */
} Pipe;

typedef struct
{
  ListNode node;
  Proxy *proxy;
  struct tevent_fd *client;
  struct tevent_fd *server;
  Pipe up;   /* from client to server */
  Pipe down; /* from server to client */
  Timer *timer;
} Connection;

struct Proxy
{
  Loop *loop;
  int fd;
  struct tevent_fd *listener;
  struct sockaddr_in target;
  ProxyMode mode;
  List connections;
};

static const char *const MODE_NAMES[PROXY_MODES]
    = { "pass", "delay", "hold_up", "hold_down", "hold", "reset" };

static int
connection_destroy (Connection *c)
{
  list_remove (&c->node);
  return 0;
}

static void
reset (Connection *c)
{
  struct linger linger = { .l_onoff = 1 }; /* linger time 0: close() sends a reset */

  setsockopt (c->up.from, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  setsockopt (c->up.to, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  talloc_free (c);
}

static bool
is_held (const Connection *c, const Pipe *p)
{
  ProxyMode mode = c->proxy->mode;

  if (mode == PROXY_HOLD || p->delayed)
    return true;
  return mode == (p == &c->up ? PROXY_HOLD_UP : PROXY_HOLD_DOWN);
}

static void
update_events (Connection *c)
{
  const Pipe *up = &c->up;
  const Pipe *down = &c->down;
  uint16_t client = 0;
  uint16_t server = 0;

  if (!up->eof && up->len < BUFFER_BYTES)
    client |= TEVENT_FD_READ;
  if (down->len > 0 && !is_held (c, down))
    client |= TEVENT_FD_WRITE;
  if (!down->eof && down->len < BUFFER_BYTES)
    server |= TEVENT_FD_READ;
  if (up->len > 0 && !is_held (c, up))
    server |= TEVENT_FD_WRITE;
  tevent_fd_set_flags (c->client, client);
  tevent_fd_set_flags (c->server, server);
}

static void
on_delay (void *data)
{
  Connection *c = data;

  c->timer = NULL;
  c->up.delayed = c->down.delayed = false;
  update_events (c);
}

/* @return false on an error of the connection. */
static bool
read_input (Connection *c, Pipe *p)
{
  ssize_t n = read (p->from, p->bytes + p->len, BUFFER_BYTES - p->len);

  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  if (n == 0)
    p->eof = true;
  p->len += (size_t)n;
  if (c->proxy->mode != PROXY_DELAY)
    return true;
  p->delayed = true;
  if (!c->timer)
    c->timer = timers_start (loop_timers (c->proxy->loop), c, DELAY_MS, on_delay, c);
  return true;
}

static bool
write_output (Pipe *p)
{
  ssize_t n = p->len ? send (p->to, p->bytes, p->len, MSG_NOSIGNAL) : 0;

  if (n < 0)
    return errno == EAGAIN || errno == EINTR;
  p->len -= (size_t)n;
  memmove (p->bytes, p->bytes + n, p->len);
  if (p->eof && p->len == 0 && !p->eof_sent)
    {
      p->eof_sent = true;
      shutdown (p->to, SHUT_WR);
    }
  return true;
}

static bool
forward (Connection *c, Pipe *in, Pipe *out, uint16_t flags)
{
  if ((flags & TEVENT_FD_READ) && !read_input (c, in))
    return false;
  if (!is_held (c, in) && !write_output (in))
    return false;
  if ((flags & TEVENT_FD_WRITE) && !is_held (c, out) && !write_output (out))
    return false;
  return !(in->eof_sent && out->eof_sent);
}

static void
on_socket (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Connection *c = data;
  bool is_client = fde == c->client;
  Pipe *in = is_client ? &c->up : &c->down;
  Pipe *out = is_client ? &c->down : &c->up;

  (void)ev;
  if (!forward (c, in, out, flags))
    reset (c);
  else
    update_events (c);
}

static void
add_connection (Proxy *p, int client, int server)
{
  Connection *c = talloc_zero (p, Connection);
  struct tevent_context *ev = loop_tevent (p->loop);

  c->proxy = p;
  c->up = (Pipe){ .from = client, .to = server, .bytes = talloc_size (c, BUFFER_BYTES) };
  c->down = (Pipe){ .from = server, .to = client, .bytes = talloc_size (c, BUFFER_BYTES) };
  c->client = tevent_add_fd (ev, c, client, TEVENT_FD_READ, on_socket, c);
  c->server = tevent_add_fd (ev, c, server, TEVENT_FD_READ, on_socket, c);
  tevent_fd_set_auto_close (c->client);
  tevent_fd_set_auto_close (c->server);
  list_append (&p->connections, &c->node);
  talloc_set_destructor (c, connection_destroy);
}

static void
on_listener (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Proxy *p = data;
  int client = accept4 (p->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  int server;

  (void)ev;
  (void)fde;
  (void)flags;
  if (client < 0)
    return;
  server = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (p->mode != PROXY_RESET
      && (connect (server, (struct sockaddr *)&p->target, sizeof p->target) == 0
          || errno == EINPROGRESS))
    {
      add_connection (p, client, server);
      return;
    }
  close (server);
  close (client);
}

Proxy *
proxy_new (const void *ctx, Loop *loop, int port, int target_port)
{
  Proxy *p = talloc_zero (ctx, Proxy);
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  p->loop = loop;
  p->fd = fd;
  p->target = address;
  p->target.sin_port = htons ((uint16_t)target_port);
  list_init (&p->connections);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) < 0 || listen (fd, 512) < 0)
    {
      close (fd);
      talloc_free (p);
      return NULL;
    }
  p->listener = tevent_add_fd (loop_tevent (loop), p, fd, TEVENT_FD_READ, on_listener, p);
  tevent_fd_set_auto_close (p->listener);
  return p;
}

void
proxy_set_mode (Proxy *p, ProxyMode mode)
{
  ListNode *next;

  p->mode = mode;
  for (ListNode *n = list_first (&p->connections); n; n = next)
    {
      Connection *c = LIST_ENTRY (n, Connection, node);

      next = list_next (&p->connections, n);
      if (mode == PROXY_RESET)
        reset (c);
      else
        update_events (c);
    }
}

ProxyMode
proxy_mode (const Proxy *p)
{
  return p->mode;
}

const char *
proxy_mode_name (ProxyMode mode)
{
  return MODE_NAMES[mode];
}
