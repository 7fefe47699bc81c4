#include "canned_server.h"

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <talloc.h>

#include "harness.h"

#define CLOSE_TIMEOUT_S 60

/* Waits until the client closes: closing a socket with unread bytes would reset the connection, and the
 * response could be lost. */
static void
close_gracefully (int fd)
{
  struct timeval limit = { CLOSE_TIMEOUT_S, 0 };
  char rest[4096];

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  shutdown (fd, SHUT_WR);
  while (recv (fd, rest, sizeof rest, 0) > 0)
    ;
  close (fd);
}

static void *
serve (void *data)
{
  CannedServer *s = data;
  int fd;

  while ((fd = accept (s->listener, NULL, NULL)) >= 0)
    {
      char request[4096];

      if (recv (fd, request, sizeof request, 0) > 0)
        s->requests++;
      if (s->response && send (fd, s->response, strlen (s->response), MSG_NOSIGNAL) < 0)
        fprintf (stderr, "canned_server: sending the response failed\n");
      close_gracefully (fd);
    }
  return NULL;
}

char *
canned_server_start (void *ctx, CannedServer *s, const char *response)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t len = sizeof at;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  *s = (CannedServer){ .listener = socket (AF_INET, SOCK_STREAM, 0), .response = response };
  CU_ASSERT_EQUAL (bind (s->listener, (struct sockaddr *)&at, sizeof at), 0);
  CU_ASSERT_EQUAL (listen (s->listener, 16), 0);
  getsockname (s->listener, (struct sockaddr *)&at, &len);
  CU_ASSERT_EQUAL (pthread_create (&s->thread, NULL, serve, s), 0);
  return talloc_asprintf (ctx, "127.0.0.1:%u", ntohs (at.sin_port));
}

void
canned_server_stop (CannedServer *s)
{
  shutdown (s->listener, SHUT_RDWR);
  pthread_join (s->thread, NULL);
  close (s->listener);
}

typedef struct
{
  int fd;
} BoundSocket;

static int
bound_socket_destroy (BoundSocket *bound)
{
  return close (bound->fd);
}

char *
closed_address (void *ctx)
{
  BoundSocket *bound = talloc (ctx, BoundSocket);
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t len = sizeof at;

  bound->fd = socket (AF_INET, SOCK_STREAM, 0);
  talloc_set_destructor (bound, bound_socket_destroy);
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL (bind (bound->fd, (struct sockaddr *)&at, sizeof at), 0);
  getsockname (bound->fd, (struct sockaddr *)&at, &len);
  return talloc_asprintf (ctx, "127.0.0.1:%u", ntohs (at.sin_port));
}
