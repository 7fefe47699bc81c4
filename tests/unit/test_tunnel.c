/* Requests to a server over another host: what comes back, and what is refused. Over the loopback interface, with the HTTP
 * client that asks and the server that opens the tunnels in one loop. */
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <talloc.h>

#include "backend/backend_http.h"
#include "canned_server.h"
#include "harness.h"
#include "tunnel/tunnel_server.h"

#define GONE_LIMIT_MS 500 /* a client that leaves has to stop its server within this time */
#define LONG_BYTES    3000000

static const char RESPONSE[] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

typedef struct
{
  Loop *loop;
  HttpClient *client;
  TunnelServer *tunnels;
  char *helper; /* address of the tunnels */
  bool refuses_peers;
  bool knows_server;
  TunnelHelp help;
  bool done;
  HttpResult result;
  int status;
  int tunnel_status;
  size_t n_body;
} Fixture;

static bool
is_host (void *data, const Address *peer)
{
  (void)peer;
  return !((Fixture *)data)->refuses_peers;
}

static bool
is_server (void *data, const char *address)
{
  (void)address;
  return ((Fixture *)data)->knows_server;
}

static TunnelHelp
help (void *data, const char *address)
{
  (void)address;
  return ((Fixture *)data)->help;
}

static void
fixture_start (Fixture *f)
{
  TunnelServerOptions options = { .listen = "127.0.0.1:0",
                                  .max_tunnels = 4,
                                  .is_host = is_host,
                                  .is_server = is_server,
                                  .help = help,
                                  .data = f };

  *f = (Fixture){ .loop = loop_new (NULL), .knows_server = true };
  options.loop = f->loop;
  f->client = http_client_new (f->loop, f->loop);
  f->tunnels = tunnel_server_new (f->loop, &options);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->tunnels);
  f->helper = talloc_asprintf (f->loop, "127.0.0.1:%u", tunnel_server_port (f->tunnels));
}

static void
fixture_stop (Fixture *f)
{
  TALLOC_FREE (f->client);
  TALLOC_FREE (f->tunnels);
  talloc_free (f->loop);
}

static bool
on_body (void *data, HttpExchange *x, const char *bytes, size_t len)
{
  (void)x;
  (void)bytes;
  ((Fixture *)data)->n_body += len;
  return true;
}

static void
on_done (void *data, HttpExchange *x, HttpResult result)
{
  Fixture *f = data;

  f->done = true;
  f->result = result;
  f->status = http_exchange_status (x);
  f->tunnel_status = http_exchange_tunnel_status (x);
}

static const HttpEvents EVENTS = { .body = on_body, .done = on_done };

static HttpExchange *
start (Fixture *f, const char *server)
{
  HttpRequest request = { .method = "GET",
                          .url = talloc_asprintf (f->loop, "http://%s/x", server),
                          .connect_timeout_ms = 2000,
                          .timeout_ms = 5000,
                          .tunnel_over = f->helper };

  f->done = false;
  f->n_body = 0;
  return http_client_start (f->client, f->client, &request, &EVENTS, f);
}

static void
request (Fixture *f, const char *server)
{
  HttpExchange *x = start (f, server);

  while (!f->done)
    tevent_loop_once (loop_tevent (f->loop));
  talloc_free (x);
}

/* Guards against a response that is changed on its way over another host, and against one that is only read in part. */
static void
response_comes_whole_over_another_host (void)
{
  char *text = malloc (LONG_BYTES + 100);
  int head = sprintf (text, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", LONG_BYTES);
  Fixture f;
  CannedServer server;

  memset (text + head, 'x', LONG_BYTES);
  text[head + LONG_BYTES] = '\0';
  fixture_start (&f);
  request (&f, canned_server_start (f.loop, &server, text));
  CU_ASSERT_EQUAL (f.result, HTTP_COMPLETE);
  CU_ASSERT_EQUAL (f.status, 200);
  CU_ASSERT_EQUAL (f.n_body, LONG_BYTES);
  fixture_stop (&f);
  canned_server_stop (&server);
  free (text);
}

/* Guards against requests that count as sent although no server has seen them, and against a way into servers for everybody. */
static void
refused_tunnel_is_a_failed_connect (void)
{
  static const int STATUS[] = { 403, 503, 502, 502, 0 };

  for (int i = 0; i < 5; i++)
    {
      Fixture f;
      CannedServer server;
      char *address;

      fixture_start (&f);
      address = canned_server_start (f.loop, &server, RESPONSE);
      f.knows_server = i != 0;
      f.help = i == 1 ? TUNNEL_HELPS_NOBODY : i == 2 ? TUNNEL_CANNOT_CONNECT : TUNNEL_CONNECTS;
      f.refuses_peers = i == 4;
      request (&f, i == 3 ? closed_address (f.loop) : address);
      CU_ASSERT_EQUAL (f.result, HTTP_FAILED_CONNECT);
      CU_ASSERT_EQUAL (f.tunnel_status, STATUS[i]);
      CU_ASSERT_EQUAL (server.requests, 0);
      CU_ASSERT_EQUAL (tunnel_server_count (f.tunnels), 0);
      fixture_stop (&f);
      canned_server_stop (&server);
    }
}

/* Sends a head without a length and a part of the body. Then resets the connection, or waits until it is closed. */
typedef struct
{
  int listener;
  bool resets;
  pthread_t thread;
  atomic_bool was_closed;
} OddServer;

static void *
serve (void *data)
{
  static const char PART[] = "HTTP/1.1 200 OK\r\n\r\npart";
  OddServer *s = data;
  struct linger linger = { .l_onoff = 1 };
  int fd = accept (s->listener, NULL, NULL);
  char bytes[4096];

  if (recv (fd, bytes, sizeof bytes, 0) <= 0 || send (fd, PART, sizeof PART - 1, MSG_NOSIGNAL) < 0)
    CU_FAIL ("no request");
  usleep (50000);
  if (s->resets)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  else
    s->was_closed = recv (fd, bytes, sizeof bytes, 0) <= 0;
  close (fd);
  return NULL;
}

static char *
server_start (const void *ctx, OddServer *s, void *(*fn) (void *))
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t len = sizeof at;

  s->listener = socket (AF_INET, SOCK_STREAM, 0);
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL (bind (s->listener, (struct sockaddr *)&at, sizeof at), 0);
  CU_ASSERT_EQUAL (listen (s->listener, 4), 0);
  getsockname (s->listener, (struct sockaddr *)&at, &len);
  CU_ASSERT_EQUAL (pthread_create (&s->thread, NULL, fn, s), 0);
  return talloc_asprintf (ctx, "127.0.0.1:%u", ntohs (at.sin_port));
}

static char *
odd_server_start (const void *ctx, OddServer *s, bool resets)
{
  *s = (OddServer){ .resets = resets };
  return server_start (ctx, s, serve);
}

static void
odd_server_stop (OddServer *s)
{
  pthread_join (s->thread, NULL);
  close (s->listener);
}

/* Guards against a response that was reset on the way and looks complete. */
static void
reset_of_the_server_comes_through (void)
{
  Fixture f;
  OddServer server;

  fixture_start (&f);
  request (&f, odd_server_start (f.loop, &server, true));
  CU_ASSERT_EQUAL (f.result, HTTP_FAILED_PARTIAL);
  fixture_stop (&f);
  odd_server_stop (&server);
}

/* Opens the tunnels in a process of its own, which the test kills. */
typedef struct
{
  pid_t pid;
  int port;
} HelperProcess;

static void
run_helper (int port_fd)
{
  Fixture f;
  int port;

  fixture_start (&f);
  f.help = TUNNEL_CONNECTS;
  port = tunnel_server_port (f.tunnels);
  if (write (port_fd, &port, sizeof port) != sizeof port)
    _exit (1);
  for (;;)
    tevent_loop_once (loop_tevent (f.loop));
}

static HelperProcess
helper_process_start (void)
{
  HelperProcess h = { 0 };
  int fds[2];

  CU_ASSERT_EQUAL_FATAL (pipe (fds), 0);
  h.pid = fork ();
  if (h.pid == 0)
    run_helper (fds[1]);
  CU_ASSERT_EQUAL (read (fds[0], &h.port, sizeof h.port), sizeof h.port);
  close (fds[0]);
  close (fds[1]);
  return h;
}

/* Guards against an answer without a length that looks complete because the host on its way has ended: its process is
 * killed, or closes the tunnel as it stops. */
static void
end_of_the_helper_is_no_end_of_an_answer (void)
{
  for (int is_killed = 0; is_killed < 2; is_killed++)
    {
      HelperProcess helper = { 0 };
      Fixture f;
      OddServer server;
      HttpExchange *x;

      if (is_killed)
        helper = helper_process_start ();
      fixture_start (&f);
      if (is_killed)
        f.helper = talloc_asprintf (f.loop, "127.0.0.1:%d", helper.port);
      x = start (&f, odd_server_start (f.loop, &server, false));
      while (f.n_body == 0)
        tevent_loop_once (loop_tevent (f.loop));
      if (is_killed)
        kill (helper.pid, SIGKILL);
      else
        TALLOC_FREE (f.tunnels);
      while (!f.done)
        tevent_loop_once (loop_tevent (f.loop));
      CU_ASSERT_EQUAL (f.result, HTTP_FAILED_PARTIAL);
      talloc_free (x);
      odd_server_stop (&server);
      if (is_killed)
        waitpid (helper.pid, NULL, 0);
      fixture_stop (&f);
    }
}

/* On one connection: an answer with a length, then one without, which ends with the connection. */
static void *
serve_both_framings (void *data)
{
  static const char SECOND[] = "HTTP/1.1 200 OK\r\n\r\nwhole";
  OddServer *s = data;
  int fd = accept (s->listener, NULL, NULL);
  char bytes[4096];

  if (recv (fd, bytes, sizeof bytes, 0) <= 0
      || send (fd, RESPONSE, sizeof RESPONSE - 1, MSG_NOSIGNAL) < 0
      || recv (fd, bytes, sizeof bytes, 0) <= 0
      || send (fd, SECOND, sizeof SECOND - 1, MSG_NOSIGNAL) < 0)
    CU_FAIL ("no second request");
  close (fd);
  return NULL;
}

/* Guards against a whole answer that is broken off because it has no length and came over another host, also on a tunnel
 * that is used again. */
static void
end_of_the_server_comes_through (void)
{
  Fixture f;
  OddServer server;
  char *address;

  fixture_start (&f);
  address = server_start (f.loop, &server, serve_both_framings);
  request (&f, address);
  CU_ASSERT_EQUAL (f.result, HTTP_COMPLETE);
  request (&f, address);
  CU_ASSERT_EQUAL (f.result, HTTP_COMPLETE);
  CU_ASSERT_EQUAL (f.n_body, 5);
  fixture_stop (&f);
  odd_server_stop (&server);
}

/* Answers one request on each of two connections, with a length, and keeps them open. */
static void *
serve_two_connections (void *data)
{
  OddServer *s = data;
  int fds[2];
  char bytes[4096];

  for (int i = 0; i < 2; i++)
    {
      fds[i] = accept (s->listener, NULL, NULL);
      if (recv (fds[i], bytes, sizeof bytes, 0) <= 0
          || send (fds[i], RESPONSE, sizeof RESPONSE - 1, MSG_NOSIGNAL) < 0)
        CU_FAIL ("no request");
    }
  close (fds[0]);
  close (fds[1]);
  return NULL;
}

/* Guards against a request that is sent on a kept connection which was reset while it was idle, as a host that stops does with its
 * tunnels: it would count as one that may have run. */
static void
tunnel_that_was_reset_is_not_used_again (void)
{
  Fixture f;
  OddServer server;
  char *address;

  fixture_start (&f);
  address = server_start (f.loop, &server, serve_two_connections);
  request (&f, address);
  CU_ASSERT_EQUAL (f.result, HTTP_COMPLETE);
  CU_ASSERT_EQUAL (
      tunnel_server_close_idle (f.tunnels, timers_now_ms (loop_timers (f.loop)) + 10000), 0);
  request (&f, address);
  CU_ASSERT_EQUAL (f.result, HTTP_COMPLETE);
  fixture_stop (&f);
  odd_server_stop (&server);
}

/* Guards against hosts of an older version, which do not reset the tunnel when they are killed: while a fleet is replaced,
 * the end of their tunnels proves nothing. */
static void
end_is_not_proved_by_a_helper_that_does_not_say_so (void)
{
  static const char *const ANSWERS[]
      = { "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhello",
          "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello" };

  for (int framed = 0; framed < 2; framed++)
    {
      Fixture f;
      CannedServer helper;

      fixture_start (&f);
      f.helper = canned_server_start (f.loop, &helper, ANSWERS[framed]);
      request (&f, "127.0.0.1:9");
      CU_ASSERT_EQUAL (f.result, framed ? HTTP_COMPLETE : HTTP_FAILED_PARTIAL);
      fixture_stop (&f);
      canned_server_stop (&helper);
    }
}

/* Guards against a server that works on for a client that has left. */
static void
client_that_leaves_stops_the_server (void)
{
  Fixture f;
  OddServer server;
  HttpExchange *x;
  int64_t left_ms;

  fixture_start (&f);
  x = start (&f, odd_server_start (f.loop, &server, false));
  while (f.n_body == 0)
    tevent_loop_once (loop_tevent (f.loop));
  left_ms = timers_now_ms (loop_timers (f.loop));
  talloc_free (x);
  while (tunnel_server_count (f.tunnels) > 0)
    tevent_loop_once (loop_tevent (f.loop));
  CU_ASSERT (timers_now_ms (loop_timers (f.loop)) - left_ms < GONE_LIMIT_MS);
  odd_server_stop (&server);
  CU_ASSERT (server.was_closed);
  fixture_stop (&f);
}

/* Guards against a host that stops and cuts off requests of other hosts, and against one that waits for kept connections. */
static void
host_that_stops_keeps_tunnels_with_open_requests (void)
{
  for (int answers = 0; answers < 2; answers++)
    {
      Fixture f;
      OddServer server = { 0 };
      char *silent = NULL;
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      struct sockaddr_in at = { .sin_family = AF_INET };
      socklen_t len = sizeof at;
      HttpExchange *x;
      int64_t now;

      fixture_start (&f);
      at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      CU_ASSERT_EQUAL (bind (fd, (struct sockaddr *)&at, sizeof at), 0);
      CU_ASSERT_EQUAL (listen (fd, 4), 0);
      getsockname (fd, (struct sockaddr *)&at, &len);
      silent = talloc_asprintf (f.loop, "127.0.0.1:%u", ntohs (at.sin_port));
      x = start (&f, answers ? odd_server_start (f.loop, &server, false) : silent);
      now = timers_now_ms (loop_timers (f.loop));
      while (answers ? f.n_body == 0 : timers_now_ms (loop_timers (f.loop)) < now + 200)
        tevent_loop_once (loop_tevent (f.loop));
      now = timers_now_ms (loop_timers (f.loop));
      CU_ASSERT_EQUAL (tunnel_server_close_idle (f.tunnels, now), 1);
      CU_ASSERT_EQUAL (tunnel_server_close_idle (f.tunnels, now + 10000), answers ? 0 : 1);
      talloc_free (x);
      if (answers)
        odd_server_stop (&server);
      close (fd);
      fixture_stop (&f);
    }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "response_comes_whole_over_another_host", response_comes_whole_over_another_host },
    { "refused_tunnel_is_a_failed_connect", refused_tunnel_is_a_failed_connect },
    { "reset_of_the_server_comes_through", reset_of_the_server_comes_through },
    { "end_of_the_helper_is_no_end_of_an_answer", end_of_the_helper_is_no_end_of_an_answer },
    { "tunnel_that_was_reset_is_not_used_again", tunnel_that_was_reset_is_not_used_again },
    { "end_of_the_server_comes_through", end_of_the_server_comes_through },
    { "end_is_not_proved_by_a_helper_that_does_not_say_so",
      end_is_not_proved_by_a_helper_that_does_not_say_so },
    { "client_that_leaves_stops_the_server", client_that_leaves_stops_the_server },
    { "host_that_stops_keeps_tunnels_with_open_requests",
      host_that_stops_keeps_tunnels_with_open_requests },
  };

  return harness_run ("tunnel", CASES, sizeof CASES / sizeof CASES[0]);
}
