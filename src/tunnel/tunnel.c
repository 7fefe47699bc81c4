#include "tunnel/tunnel.h"

#include <errno.h>
#include <inttypes.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "core/address.h"
#include "core/log.h"
#include "http/traffic.h"

/* Of a request: the names of a method and a server, and the few headers of an HTTP client. */
#define MAX_REQUEST_BYTES 1024
#define REQUEST_LIMIT_MS  1000
#define ADDRESS_BYTES     64

/* Shorter than the time that the other host waits for the tunnel. */
#define CONNECT_LIMIT_MS 300

/* Nothing has passed in either direction. Longer than servers pause, and than idle connections to them are kept. */
#define IDLE_LIMIT_MS 30000

/* Nothing has passed for so long, and the server has answered: no request is open. Clients give a stream up sooner. */
#define QUIET_MS 3000

/* Of bytes that one side has sent and the other has not taken. */
#define BUFFER_BYTES 16384

/* What the other host has not got yet is waited for so often before the tunnel is reset. */
#define FLUSH_INTERVAL_MS 10
#define MAX_FLUSHES       100

typedef struct
{
  char *bytes;
  size_t start;
  size_t end;
} Buffer;

/* One of the two connections. */
typedef struct
{
  Tunnel *tunnel;
  int fd; /* -1: none yet */
  struct tevent_fd *event;
  Buffer received; /* from it, and not yet sent on */
  bool ended;      /* it sends no more */
} Side;

typedef enum
{
  TUNNEL_REQUEST,
  TUNNEL_CONNECTING,
  TUNNEL_OPEN
} TunnelState;

struct Tunnel
{
  ListNode node;
  TunnelOptions options;
  TunnelState state;
  Side host;
  Side server;
  char address[ADDRESS_BYTES]; /* of the server */
  Timer *limit;
  int n_flushes;
  int64_t passed_ms;  /* when bytes passed last */
  bool awaits_server; /* they came from the other host */
  uint64_t bytes;
};

/* --- End --------------------------------------------------------------------------------- */

static void
close_side (Side *s)
{
  TALLOC_FREE (s->event);
  if (s->fd >= 0)
    close (s->fd);
  s->fd = -1;
}

static int
tunnel_destroy (Tunnel *t)
{
  list_remove (&t->node);
  close_side (&t->host);
  close_side (&t->server);
  if (t->state == TUNNEL_OPEN)
    log_event (LOG_LEVEL_DEBUG, "tunnel", "closed", "address=%s bytes=%" PRIu64, t->address,
               t->bytes);
  return 0;
}

/* @param resets whether the connection is reset when it is closed, by whomever: also by the kernel, if this process is
 * killed. */
static void
set_reset_on_close (const Side *s, bool resets)
{
  struct linger linger = { .l_onoff = resets };

  if (s->fd >= 0 && setsockopt (s->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger) < 0)
    log_event (LOG_LEVEL_WARNING, "tunnel", "linger_not_set", "errno=%d", errno);
}

/* A connection that was reset must not look as if it had ended: a response may have no other end. */
static void
reset (Tunnel *t, Side *s)
{
  set_reset_on_close (s, true);
  talloc_free (t);
}

static size_t
buffered (const Buffer *b)
{
  return b->end - b->start;
}

static int
bytes_on_the_way (const Side *s)
{
  int n = 0;

  return ioctl (s->fd, SIOCOUTQ, &n) == 0 ? n : 0;
}

static int
bytes_not_read (const Side *s)
{
  int n = 0;

  return ioctl (s->fd, FIONREAD, &n) == 0 ? n : 0;
}

/* A server that closes before it has read the whole request resets the connection then: its end in order proves nothing. */
static bool
server_has_read_all (const Tunnel *t)
{
  return buffered (&t->host.received) == 0 && bytes_not_read (&t->host) == 0
         && bytes_on_the_way (&t->server) == 0;
}

static void
reset_when_sent (void *data)
{
  Tunnel *t = data;

  t->limit = NULL;
  if (bytes_on_the_way (&t->host) == 0 || ++t->n_flushes > MAX_FLUSHES)
    reset (t, &t->host);
  else
    t->limit
        = timers_start (loop_timers (t->options.loop), t, FLUSH_INTERVAL_MS, reset_when_sent, t);
}

/* The server has closed its connection, and the other host has been sent all that came before. A reset would discard what
 * the other host has not got yet, which may be a whole response. */
static void
end (Tunnel *t)
{
  if (server_has_read_all (t))
    {
      set_reset_on_close (&t->host, false);
      talloc_free (t);
      return;
    }
  TALLOC_FREE (t->host.event);
  TALLOC_FREE (t->server.event);
  TALLOC_FREE (t->limit);
  reset_when_sent (t);
}

static void
respond (Tunnel *t, int status)
{
  char text[64];
  int n
      = snprintf (text, sizeof text, "HTTP/1.1 %d %s\r\n\r\n", status,
                  status == 200 ? "OK\r\n" TUNNEL_END_HEADER ": " TUNNEL_END_PROVED : "No Tunnel");

  if (send (t->host.fd, text, (size_t)n, MSG_NOSIGNAL) != n)
    log_event (LOG_LEVEL_INFO, "tunnel", "not_answered", "address=%s status=%d", t->address,
               status);
}

static void
refuse (Tunnel *t, int status)
{
  log_event (LOG_LEVEL_INFO, "tunnel", "refused", "address=%s status=%d", t->address, status);
  respond (t, status);
  talloc_free (t);
}

/* --- Bytes ------------------------------------------------------------------------------- */

static void
update_events (Tunnel *t)
{
  Side *sides[] = { &t->host, &t->server };

  for (int i = 0; i < 2; i++)
    {
      Side *s = sides[i];
      bool reads = !s->ended && buffered (&s->received) == 0;
      bool writes = buffered (&sides[1 - i]->received) > 0;

      tevent_fd_set_flags (s->event, (reads ? TEVENT_FD_READ : 0) | (writes ? TEVENT_FD_WRITE : 0));
    }
}

/* @return false if the tunnel has ended. */
static bool
send_on (Tunnel *t, Side *from, Side *to)
{
  Buffer *b = &from->received;

  while (buffered (b) > 0)
    {
      ssize_t n = send (to->fd, b->bytes + b->start, buffered (b), MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        return true;
      if (n < 0)
        {
          reset (t, from);
          return false;
        }
      b->start += (size_t)n;
      t->bytes += (uint64_t)n;
      traffic_sent ((size_t)n + PACKET_OVERHEAD_BYTES);
    }
  b->start = 0;
  b->end = 0;
  t->passed_ms = timers_now_ms (loop_timers (t->options.loop));
  return true;
}

/* Reads what fits into the buffer. @return false if the tunnel has ended. */
static bool
receive (Tunnel *t, Side *from, Side *to)
{
  Buffer *b = &from->received;
  ssize_t n = recv (from->fd, b->bytes, BUFFER_BYTES, 0);

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return true;
  if (n < 0)
    {
      reset (t, to);
      return false;
    }
  from->ended = n == 0;
  t->awaits_server = from == &t->host;
  b->end = (size_t)n;
  traffic_received (b->end);
  return send_on (t, from, to);
}

/* The server's end follows its last bytes. */
static bool
has_ended_in_order (const Tunnel *t)
{
  return !t->host.ended && t->server.ended && buffered (&t->server.received) == 0;
}

static void
on_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Side *s = data;
  Tunnel *t = s->tunnel;
  Side *other = s == &t->host ? &t->server : &t->host;

  (void)ev;
  (void)fde;
  if ((flags & TEVENT_FD_WRITE) && !send_on (t, other, s))
    return;
  if ((flags & TEVENT_FD_READ) && buffered (&s->received) == 0 && !receive (t, s, other))
    return;
  /* The other host that closes doesn't want the response any more. */
  if (t->host.ended)
    talloc_free (t);
  else if (has_ended_in_order (t))
    end (t);
  else
    update_events (t);
}

static void
watch (Side *s, uint16_t flags, tevent_fd_handler_t handler)
{
  Tunnel *t = s->tunnel;

  TALLOC_FREE (s->event);
  s->event = tevent_add_fd (loop_tevent (t->options.loop), t, s->fd, flags, handler, s);
}

static void
on_idle_timer (void *data)
{
  Tunnel *t = data;
  int64_t left_ms = t->passed_ms + IDLE_LIMIT_MS - timers_now_ms (loop_timers (t->options.loop));

  t->limit = NULL;
  if (left_ms > 0)
    t->limit = timers_start (loop_timers (t->options.loop), t, left_ms, on_idle_timer, t);
  else
    reset (t, &t->host);
}

/* --- Connection to the server ------------------------------------------------------------ */

static void
open_tunnel (Tunnel *t)
{
  t->state = TUNNEL_OPEN;
  t->host.received.bytes = talloc_size (t, BUFFER_BYTES);
  t->server.received.bytes = talloc_size (t, BUFFER_BYTES);
  t->passed_ms = timers_now_ms (loop_timers (t->options.loop));
  TALLOC_FREE (t->limit);
  t->limit = timers_start (loop_timers (t->options.loop), t, IDLE_LIMIT_MS, on_idle_timer, t);
  log_event (LOG_LEVEL_INFO, "tunnel", "opened", "address=%s", t->address);
  set_reset_on_close (&t->host, true);
  respond (t, 200);
  watch (&t->host, TEVENT_FD_READ, on_ready);
  watch (&t->server, TEVENT_FD_READ, on_ready);
}

static void
on_connected (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Tunnel *t = ((Side *)data)->tunnel;
  int error = 0;
  socklen_t len = sizeof error;

  (void)ev;
  (void)fde;
  (void)flags;
  if (getsockopt (t->server.fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 || error)
    refuse (t, 502);
  else
    open_tunnel (t);
}

static void
on_connect_limit (void *data)
{
  Tunnel *t = data;

  t->limit = NULL;
  refuse (t, 504);
}

/* The other host waits; if it leaves, so does the connection to the server. */
static void
on_host_while_connecting (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
                          void *data)
{
  Tunnel *t = ((Side *)data)->tunnel;

  (void)ev;
  (void)fde;
  (void)flags;
  talloc_free (t);
}

static void
connect_to_server (Tunnel *t)
{
  Address address;
  int one = 1;

  if (!address_parse (t->address, &address))
    {
      refuse (t, 400);
      return;
    }
  t->state = TUNNEL_CONNECTING;
  t->server.fd = socket (address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (t->server.fd < 0 || setsockopt (t->server.fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one) < 0
      || (connect (t->server.fd, (struct sockaddr *)&address.storage, address.len) < 0
          && errno != EINPROGRESS))
    {
      refuse (t, 502);
      return;
    }
  TALLOC_FREE (t->limit);
  t->limit = timers_start (loop_timers (t->options.loop), t, CONNECT_LIMIT_MS, on_connect_limit, t);
  watch (&t->host, TEVENT_FD_READ, on_host_while_connecting);
  /* tevent reports errors only to those who wait for reading. */
  watch (&t->server, TEVENT_FD_READ | TEVENT_FD_WRITE, on_connected);
}

/* --- Request ----------------------------------------------------------------------------- */

static void
on_request_limit (void *data)
{
  talloc_free (data);
}

static void
on_request_read (Tunnel *t, char *text)
{
  char *end = strstr (text, " HTTP/1.");
  int status;

  if (strncmp (text, "CONNECT ", 8) != 0 || !end || end - text - 8 >= ADDRESS_BYTES)
    {
      refuse (t, 400);
      return;
    }
  memcpy (t->address, text + 8, (size_t)(end - text - 8));
  status = t->options.check (t->options.data, t->address);
  if (status == 200)
    connect_to_server (t);
  else
    refuse (t, status);
}

/* The request is taken from the socket once all of it has arrived. Nothing may follow it before the answer. */
static void
on_request_bytes (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Tunnel *t = ((Side *)data)->tunnel;
  char text[MAX_REQUEST_BYTES + 1];
  ssize_t n = recv (t->host.fd, text, MAX_REQUEST_BYTES, MSG_PEEK);
  const char *end;

  (void)ev;
  (void)fde;
  (void)flags;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      talloc_free (t);
      return;
    }
  text[n] = '\0';
  end = strstr (text, "\r\n\r\n");
  if (!end && n < MAX_REQUEST_BYTES)
    return;
  if (!end || end + 4 != text + n || recv (t->host.fd, text, (size_t)n, 0) != n)
    refuse (t, 400);
  else
    on_request_read (t, text);
}

bool
tunnel_is_busy (const Tunnel *t, int64_t now_ms)
{
  return t->state != TUNNEL_OPEN || t->awaits_server || now_ms - t->passed_ms < QUIET_MS;
}

Tunnel *
tunnel_new (const void *ctx, const TunnelOptions *options, int fd, List *list)
{
  Tunnel *t = talloc_zero (ctx, Tunnel);
  int one = 1;

  t->options = *options;
  t->host = (Side){ .tunnel = t, .fd = fd };
  t->server = (Side){ .tunnel = t, .fd = -1 };
  list_append (list, &t->node);
  talloc_set_destructor (t, tunnel_destroy);
  if (setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one) < 0)
    log_event (LOG_LEVEL_DEBUG, "tunnel", "no_delay_not_set", "errno=%d", errno);
  t->limit = timers_start (loop_timers (options->loop), t, REQUEST_LIMIT_MS, on_request_limit, t);
  watch (&t->host, TEVENT_FD_READ, on_request_bytes);
  return t;
}
