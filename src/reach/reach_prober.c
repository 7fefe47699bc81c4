#include "reach/reach_prober.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "core/address.h"
#include "core/log.h"

#define TICK_MS        100
#define MAX_PROBES     16
#define PROBE_LIMIT_MS 600 /* longer than a helper takes to say that it can't connect */
#define RESPONSE_BYTES 256

struct ReachProber
{
  ReachProberOptions options;
  int n_probes;
};

typedef struct
{
  ReachProber *prober;
  ReachRoute route;
  int fd;
  struct tevent_fd *event;
} Probe;

static int
probe_destroy (Probe *p)
{
  p->prober->n_probes--;
  TALLOC_FREE (p->event);
  if (p->fd >= 0)
    close (p->fd);
  return 0;
}

static void
finish (Probe *p, ReachResult result)
{
  ReachProber *prober = p->prober;
  ReachRoute route = p->route;

  talloc_free (p);
  log_event (LOG_LEVEL_DEBUG, "reach", "probed", "address=%s helper=%s result=%d", route.server,
             route.helper[0] ? route.helper : "-", (int)result);
  reach_probed (prober->options.reach, &route, result,
                timers_now_ms (loop_timers (prober->options.loop)));
  reach_prober_run (prober);
}

static void
on_limit (void *data)
{
  finish (data, REACH_NO_CONNECTION);
}

static ReachResult
result_of_status (int status)
{
  switch (status)
    {
    case 200:
      return REACH_CONNECTED;
    case 502:
    case 504:
      return REACH_SERVER_UNREACHABLE;
    default:
      return REACH_HELPER_REFUSES;
    }
}

static void
on_response (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Probe *p = data;
  char text[RESPONSE_BYTES + 1];
  ssize_t n = recv (p->fd, text, RESPONSE_BYTES, 0);
  int status = 0;

  (void)ev;
  (void)fde;
  (void)flags;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  text[n > 0 ? n : 0] = '\0';
  if (n <= 0 || sscanf (text, "HTTP/1.1 %d", &status) != 1)
    finish (p, REACH_NO_CONNECTION);
  else
    finish (p, result_of_status (status));
}

static void
ask_helper (Probe *p)
{
  char text[RESPONSE_BYTES];
  int n = snprintf (text, sizeof text, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", p->route.server,
                    p->route.server);

  if (send (p->fd, text, (size_t)n, MSG_NOSIGNAL) != n)
    {
      finish (p, REACH_NO_CONNECTION);
      return;
    }
  TALLOC_FREE (p->event);
  p->event = tevent_add_fd (loop_tevent (p->prober->options.loop), p, p->fd, TEVENT_FD_READ,
                            on_response, p);
}

static void
on_connected (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Probe *p = data;
  int error = 0;
  socklen_t len = sizeof error;

  (void)ev;
  (void)fde;
  (void)flags;
  if (getsockopt (p->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0 || error)
    finish (p, REACH_NO_CONNECTION);
  else if (p->route.helper[0])
    ask_helper (p);
  else
    finish (p, REACH_CONNECTED);
}

static void
on_start_failed (void *data)
{
  finish (data, REACH_NO_CONNECTION);
}

static void
start_probe (ReachProber *prober, const ReachRoute *route)
{
  Probe *p = talloc_zero (prober, Probe);
  Timers *timers = loop_timers (prober->options.loop);
  Address address;

  p->prober = prober;
  p->route = *route;
  p->fd = -1;
  prober->n_probes++;
  talloc_set_destructor (p, probe_destroy);
  if (address_parse (route->helper[0] ? route->helper : route->server, &address))
    p->fd = socket (address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (p->fd < 0
      || (connect (p->fd, (struct sockaddr *)&address.storage, address.len) < 0
          && errno != EINPROGRESS))
    {
      timers_start (timers, p, 0, on_start_failed, p);
      return;
    }
  timers_start (timers, p, PROBE_LIMIT_MS, on_limit, p);
  /* tevent reports errors only to those who wait for reading. */
  p->event = tevent_add_fd (loop_tevent (prober->options.loop), p, p->fd,
                            TEVENT_FD_READ | TEVENT_FD_WRITE, on_connected, p);
}

void
reach_prober_run (ReachProber *prober)
{
  int64_t now = timers_now_ms (loop_timers (prober->options.loop));
  ReachRoute route;

  while (prober->n_probes < MAX_PROBES && reach_next_probe (prober->options.reach, &route, now))
    start_probe (prober, &route);
}

static void
on_tick (void *data)
{
  ReachProber *prober = data;

  timers_start (loop_timers (prober->options.loop), prober, TICK_MS, on_tick, prober);
  reach_prober_run (prober);
}

ReachProber *
reach_prober_new (const void *ctx, const ReachProberOptions *options)
{
  ReachProber *prober = talloc_zero (ctx, ReachProber);

  prober->options = *options;
  timers_start (loop_timers (options->loop), prober, TICK_MS, on_tick, prober);
  return prober;
}
