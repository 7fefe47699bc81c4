#include "http/client_impl.h"

#include <talloc.h>

#include "core/log.h"

#define MAX_IDLE_CONNECTIONS 1024L

/* The tevent watch of one of libcurl's sockets. */
typedef struct
{
  HttpClient *client;
  curl_socket_t fd;
  struct tevent_fd *event;
} SocketWatch;

/* Completed exchanges are reported from the loop, never from inside a libcurl call. */
static void
on_reap_timer (void *data)
{
  HttpClient *client = data;

  client->reap_timer = NULL;
  client_reap (client);
}

void
client_schedule_reap (HttpClient *client)
{
  if (!client->reap_timer)
    client->reap_timer
        = timers_start (loop_timers (client->loop), client, 0, on_reap_timer, client);
}

static void
on_ready (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  SocketWatch *w = data;
  HttpClient *client = w->client;
  int running;
  int action = 0;

  (void)ev;
  (void)fde;
  if (flags & TEVENT_FD_READ)
    action |= CURL_CSELECT_IN;
  if (flags & TEVENT_FD_WRITE)
    action |= CURL_CSELECT_OUT;
  curl_multi_socket_action (client->multi, w->fd, action, &running);
  client_reap (client);
}

static int
on_socket (CURL *easy, curl_socket_t fd, int poll, void *data, void *socket_data)
{
  HttpClient *client = data;
  SocketWatch *w = socket_data;
  uint16_t flags = 0;

  (void)easy;
  if (poll == CURL_POLL_REMOVE)
    {
      talloc_free (w);
      curl_multi_assign (client->multi, fd, NULL);
      return 0;
    }
  if (poll & CURL_POLL_IN)
    flags |= TEVENT_FD_READ;
  if (poll & CURL_POLL_OUT)
    flags |= TEVENT_FD_WRITE;
  if (w)
    {
      tevent_fd_set_flags (w->event, flags);
      return 0;
    }
  w = talloc_zero (client, SocketWatch);
  if (!w)
    return -1;
  w->client = client;
  w->fd = fd;
  w->event = tevent_add_fd (loop_tevent (client->loop), w, fd, flags, on_ready, w);
  curl_multi_assign (client->multi, fd, w);
  return 0;
}

static void
on_timeout (void *data)
{
  HttpClient *client = data;
  int running;

  client->timeout_timer = NULL;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  client_reap (client);
}

static int
on_timer (CURLM *multi, long timeout_ms, void *data)
{
  HttpClient *client = data;

  (void)multi;
  TALLOC_FREE (client->timeout_timer);
  if (timeout_ms >= 0)
    client->timeout_timer
        = timers_start (loop_timers (client->loop), client, timeout_ms, on_timeout, client);
  return 0;
}

Timers *
http_client_timers (const HttpClient *client)
{
  return loop_timers (client->loop);
}

void
http_client_doubt_connections (HttpClient *client)
{
  size_t n = connection_table_doubt_all (client->connections);

  if (n > 0)
    log_event (LOG_LEVEL_NOTICE, "http", "connections_doubted", "connections=%zu", n);
}

static int
client_destroy (HttpClient *client)
{
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, NULL);
  curl_multi_cleanup (client->multi);
  return 0;
}

HttpClient *
http_client_new (const void *ctx, Loop *loop)
{
  HttpClient *client = talloc_zero (ctx, HttpClient);

  if (!client)
    return NULL;
  client->loop = loop;
  client->multi = curl_multi_init ();
  if (!client->multi)
    {
      talloc_free (client);
      return NULL;
    }
  client->connections = connection_table_new (client);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
  talloc_set_destructor (client, client_destroy);
  return client;
}
