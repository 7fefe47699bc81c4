/* The connection of an exchange: which one it may use, and what its socket shows. */
#include "http/client_impl.h"

#include <errno.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* @return the socket of the exchange's connection, or -1 if it has been closed. */
int
exchange_connection_fd (const HttpExchange *x)
{
  char *remote_ip = NULL;
  long remote_port = 0;
  long local_port = 0;

  curl_easy_getinfo (x->easy, CURLINFO_PRIMARY_IP, &remote_ip);
  curl_easy_getinfo (x->easy, CURLINFO_PRIMARY_PORT, &remote_port);
  curl_easy_getinfo (x->easy, CURLINFO_LOCAL_PORT, &local_port);
  return connection_table_find (x->client->connections,
                                &(ConnectionEnds){ remote_ip, (int)remote_port, (int)local_port });
}

/* libcurl keeps the connection of an exchange whose response was complete, also if that response was rejected; the one
 * that the request is due may still come on it. Shut down, it counts as stale. */
void
exchange_shut_connection (HttpExchange *x)
{
  int fd = exchange_connection_fd (x);

  if (fd >= 0)
    shutdown (fd, SHUT_RDWR);
}

curl_socket_t
exchange_open_socket (void *data, curlsocktype purpose, struct curl_sockaddr *address)
{
  HttpExchange *x = data;

  (void)purpose;
  x->last_step_ms = timers_now_ms (loop_timers (x->client->loop));
  x->opened_fd = socket (address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  return x->opened_fd;
}

/* May be called long after the exchange that opened the connection has ended. */
int
exchange_close_socket (void *data, curl_socket_t fd)
{
  HttpClient *client = data;
  HttpExchange *x = connection_table_user (client->connections, fd);
  int unread = 0;

  if (x && ioctl (fd, SIOCOUTQ, &unread) == 0)
    x->closed_unread = unread > 0;
  connection_table_remove (client->connections, fd);
  return close (fd);
}

/* @return whether an idle connection holds unread bytes, which belong to no request, or was closed or reset by the server.
 * libcurl 7.88 uses such a connection again. */
static bool
is_stale (int fd)
{
  char byte;

  if (fd < 0)
    return false;
  return recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) >= 0
         || (errno != EAGAIN && errno != EINTR);
}

static bool
is_usable (const ConnectionTable *connections, int fd)
{
  return !is_stale (fd) && !connection_table_is_doubted (connections, fd);
}

/* To be called on the connection that the exchange is to use. */
static bool
connection_proves_end (HttpExchange *x, int fd)
{
  if (!x->uses_tunnel)
    return true;
  if (x->proves_end)
    connection_table_set_end_proved (x->client->connections, fd);
  return connection_table_is_end_proved (x->client->connections, fd);
}

/* libcurl retries a request by itself if a reused connection turns out to be closed. Whether a retry is
 * allowed is decided by the user of the exchange, so libcurl's own retry is aborted here. */
int
exchange_on_before_request (void *data, char *remote_ip, char *local_ip, int remote_port,
                            int local_port)
{
  HttpExchange *x = data;
  ConnectionTable *connections = x->client->connections;
  ConnectionEnds ends = { remote_ip, remote_port, local_port };

  int fd;

  (void)local_ip;
  if (x->request_started)
    return CURL_PREREQFUNC_ABORT;
  if (http_exchange_opened_connection (x))
    connection_table_add (connections, &ends, x->opened_fd);
  fd = connection_table_find (connections, &ends);
  if (!http_exchange_opened_connection (x))
    x->stale_connection = !is_usable (connections, fd);
  if (x->stale_connection)
    return CURL_PREREQFUNC_ABORT;
  x->head.is_reused = !http_exchange_opened_connection (x);
  x->proves_end = connection_proves_end (x, fd);
  x->used_fd = fd;
  connection_table_set_user (connections, fd, x);
  x->request_started = true;
  x->last_step_ms = timers_now_ms (loop_timers (x->client->loop));
  return CURL_PREREQFUNC_OK;
}
