/* Kept connections of clients: which of them the HTTP server may close, and when. Over the loopback interface. */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <talloc.h>

#include "entry/connection_room.h"
#include "harness.h"
#include "http/server.h"

#define SWEEP_MS        1000 /* interval at which the server looks for expired connections */
#define WAIT_LIMIT_MS   20000
#define SHORT_LIMIT_MS  300
#define LONG_LIMIT_MS   15000
#define MAX_CONNECTIONS 8
#define TAKE_LIMIT_MS   1500
#define LONG_RESPONSE   (16 << 20) /* more than socket buffers hold */
#define LONG_BODY       200000 /* more than the server reads at once, less than socket buffers hold */

static const char REQUEST[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

typedef struct
{
  Loop *loop;
  HttpServer *server;
  int fd;
  char received[4096];
  size_t n_received;
  bool closed;
  bool holds_requests; /* the owner of the server does not answer */
  int n_held;
  size_t response_bytes;   /* 0: two */
  int64_t client_waits_ms; /* from its request on; 0: unknown */
} ConnectionFixture;

static void
send_long_response (ConnectionFixture *f, HttpCall *call)
{
  char *body = talloc_zero_size (NULL, f->response_bytes);

  if (f->client_waits_ms > 0)
    http_call_set_deadline (call, http_call_started_ms (call) + f->client_waits_ms);
  http_call_respond (call, 200, NULL, 0, body, f->response_bytes);
  talloc_free (body);
}

static void
on_request (void *data, HttpCall *call, HttpFault fault)
{
  ConnectionFixture *f = data;

  CU_ASSERT_EQUAL (fault, HTTP_FAULT_NONE);
  if (f->holds_requests)
    {
      f->n_held++;
      return;
    }
  if (f->response_bytes > 0)
    send_long_response (f, call);
  else
    http_call_respond (call, 200, NULL, 0, "ok", 2);
}

static void
ignore_call (void *data, HttpCall *call)
{
  (void)data;
  (void)call;
}

static const HttpServerEvents EVENTS = { on_request, ignore_call, ignore_call, ignore_call };

static void
fixture_start (ConnectionFixture *f, int64_t read_timeout_ms, int64_t idle_timeout_ms)
{
  HttpServerOptions options = { .listen = "127.0.0.1:0",
                                .max_body_bytes = LONG_BODY,
                                .max_header_bytes = 1000,
                                .read_timeout_ms = read_timeout_ms,
                                .idle_timeout_ms = idle_timeout_ms,
                                .take_timeout_ms = TAKE_LIMIT_MS,
                                .max_connections = MAX_CONNECTIONS,
                                .events = &EVENTS,
                                .data = f };
  struct sockaddr_in address = { .sin_family = AF_INET };

  *f = (ConnectionFixture){ .loop = loop_new (NULL) };
  f->server = http_server_new (f->loop, f->loop, &options);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->server);
  address.sin_port = htons (http_server_port (f->server));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  f->fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (connect (f->fd, (struct sockaddr *)&address, sizeof address), 0);
}

static void
fixture_stop (ConnectionFixture *f)
{
  close (f->fd);
  TALLOC_FREE (f->server);
  talloc_free (f->loop);
}

static void
send_bytes (ConnectionFixture *f, const char *bytes, size_t len)
{
  CU_ASSERT_EQUAL (send (f->fd, bytes, len, MSG_NOSIGNAL), (ssize_t)len);
}

static void
receive (ConnectionFixture *f)
{
  ssize_t n = recv (f->fd, f->received + f->n_received, sizeof f->received - 1 - f->n_received,
                    MSG_DONTWAIT);

  if (n > 0)
    f->n_received += (size_t)n;
  else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
    f->closed = true;
  f->received[f->n_received] = '\0';
}

/* Wakes the loop, so that it returns to the test. */
static void
on_wake (void *data)
{
  *(bool *)data = true;
}

static void
run_loop_for (ConnectionFixture *f, int64_t ms)
{
  bool over = false;

  timers_start (loop_timers (f->loop), f->loop, ms, on_wake, &over);
  while (!over)
    tevent_loop_once (loop_tevent (f->loop));
  receive (f);
}

static void
wait_for_bytes_or_close (ConnectionFixture *f)
{
  size_t before = f->n_received;

  for (int64_t ms = 0; ms < WAIT_LIMIT_MS && f->n_received == before && !f->closed; ms += 10)
    run_loop_for (f, 10);
}

static void
stall (int64_t ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&t, NULL);
}

static void
exchange (ConnectionFixture *f)
{
  f->n_received = 0;
  send_bytes (f, REQUEST, strlen (REQUEST));
  wait_for_bytes_or_close (f);
  CU_ASSERT_PTR_NOT_NULL (strstr (f->received, "HTTP/1.1 200"));
  CU_ASSERT_FALSE (f->closed);
}

/* The sweep is due before the request comes, and both before the loop runs again. */
static void
request_that_came_during_a_stall_is_answered_on_an_expired_connection (void)
{
  ConnectionFixture f;

  fixture_start (&f, LONG_LIMIT_MS, SHORT_LIMIT_MS);
  exchange (&f);
  stall (SWEEP_MS + SHORT_LIMIT_MS);
  exchange (&f);
  fixture_stop (&f);
}

static void
body_that_came_during_a_stall_is_not_answered_with_408 (void)
{
  static const char HEAD[] = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n";
  ConnectionFixture f;

  fixture_start (&f, SHORT_LIMIT_MS, LONG_LIMIT_MS);
  send_bytes (&f, HEAD, strlen (HEAD));
  run_loop_for (&f, SHORT_LIMIT_MS / 3);
  stall (SWEEP_MS + SHORT_LIMIT_MS);
  send_bytes (&f, "abc", 3);
  wait_for_bytes_or_close (&f);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received, "HTTP/1.1 200"));
  fixture_stop (&f);
}

static void
long_body_that_came_during_a_stall_is_not_answered_with_408 (void)
{
  char head[80];
  ConnectionFixture f;
  char *body;

  fixture_start (&f, SHORT_LIMIT_MS, LONG_LIMIT_MS);
  body = talloc_zero_size (f.loop, LONG_BODY);
  snprintf (head, sizeof head, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n",
            LONG_BODY);
  send_bytes (&f, head, strlen (head));
  run_loop_for (&f, SHORT_LIMIT_MS / 3);
  stall (SWEEP_MS);
  send_bytes (&f, body, LONG_BODY);
  wait_for_bytes_or_close (&f);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received, "HTTP/1.1 200"));
  fixture_stop (&f);
}

/* Guards against a client that always has a few bytes on the way. */
static void
slow_sender_is_answered_with_408 (void)
{
  static const char HEAD[] = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n";
  ConnectionFixture f;

  fixture_start (&f, SHORT_LIMIT_MS, LONG_LIMIT_MS);
  send_bytes (&f, HEAD, strlen (HEAD));
  for (int i = 0; i < 3 * SWEEP_MS / 10 && !f.n_received; i++)
    {
      (void)!send (f.fd, "x", 1, MSG_NOSIGNAL);
      run_loop_for (&f, 10);
    }
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received, "HTTP/1.1 408"));
  fixture_stop (&f);
}

/* The process used to abort. */
static void
request_that_comes_as_the_server_stops_is_not_begun (void)
{
  ConnectionFixture f;

  fixture_start (&f, LONG_LIMIT_MS, LONG_LIMIT_MS);
  exchange (&f);
  f.holds_requests = true;
  send_bytes (&f, REQUEST, strlen (REQUEST));
  TALLOC_FREE (f.server);
  CU_ASSERT_EQUAL (f.n_held, 0);
  f.n_received = 0;
  receive (&f);
  CU_ASSERT_TRUE (f.closed);
  CU_ASSERT_EQUAL (f.n_received, 0);
  fixture_stop (&f);
}

static void
silent_connection_is_closed_after_the_limit (void)
{
  ConnectionFixture f;

  fixture_start (&f, LONG_LIMIT_MS, SHORT_LIMIT_MS);
  exchange (&f);
  f.n_received = 0;
  wait_for_bytes_or_close (&f);
  CU_ASSERT_TRUE (f.closed);
  CU_ASSERT_EQUAL (f.n_received, 0);
  fixture_stop (&f);
}

/* The idle limit is over, that of a request that has begun is not. */
static void
request_whose_head_is_half_in_does_not_count_as_idle (void)
{
  ConnectionFixture f;

  fixture_start (&f, LONG_LIMIT_MS, SHORT_LIMIT_MS);
  exchange (&f);
  f.n_received = 0;
  send_bytes (&f, REQUEST, strlen (REQUEST) - 4);
  run_loop_for (&f, 2 * SWEEP_MS);
  CU_ASSERT_FALSE (f.closed);
  send_bytes (&f, REQUEST + strlen (REQUEST) - 4, 4);
  wait_for_bytes_or_close (&f);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received, "HTTP/1.1 200"));
  fixture_stop (&f);
}

static void
request_whose_head_stays_half_in_is_answered_with_408 (void)
{
  ConnectionFixture f;

  fixture_start (&f, SHORT_LIMIT_MS, LONG_LIMIT_MS);
  send_bytes (&f, REQUEST, strlen (REQUEST) - 4);
  wait_for_bytes_or_close (&f);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received, "HTTP/1.1 408"));
  fixture_stop (&f);
}

/* A client reuses its connection by the limit that it knew when it got its last response. */
static void
shorter_limit_applies_from_the_next_response_on (void)
{
  ConnectionFixture f;

  fixture_start (&f, LONG_LIMIT_MS, LONG_LIMIT_MS);
  exchange (&f);
  http_server_set_timeouts (f.server, LONG_LIMIT_MS, SHORT_LIMIT_MS);
  run_loop_for (&f, 2 * SWEEP_MS);
  CU_ASSERT_FALSE (f.closed);
  exchange (&f);
  f.n_received = 0;
  wait_for_bytes_or_close (&f);
  CU_ASSERT_TRUE (f.closed);
  CU_ASSERT_EQUAL (f.n_received, 0);
  fixture_stop (&f);
}

static void
longer_limit_applies_at_once (void)
{
  ConnectionFixture f;

  fixture_start (&f, LONG_LIMIT_MS, SHORT_LIMIT_MS);
  exchange (&f);
  http_server_set_timeouts (f.server, LONG_LIMIT_MS, LONG_LIMIT_MS);
  run_loop_for (&f, 2 * SWEEP_MS);
  CU_ASSERT_FALSE (f.closed);
  fixture_stop (&f);
}

/* Guards against a request that is served although its client has left before it was read: nobody wants the response, and the
 * end of the connection is not told a second time. */
static void
request_whose_client_has_left_is_not_reported (void)
{
  for (int stalls = 0; stalls < 2; stalls++)
    {
      ConnectionFixture f;

      fixture_start (&f, LONG_LIMIT_MS, LONG_LIMIT_MS);
      f.holds_requests = true;
      run_loop_for (&f, 20);
      send_bytes (&f, REQUEST, sizeof REQUEST - 1);
      shutdown (f.fd, SHUT_WR);
      if (stalls)
        usleep (100000);
      run_loop_for (&f, 100);
      CU_ASSERT_EQUAL (f.n_held, 0);
      receive (&f);
      CU_ASSERT (f.closed);
      CU_ASSERT_EQUAL (f.n_received, 0);
      fixture_stop (&f);
    }
}

/* @return a connection that has got an answer and is kept. */
static int
keep_connection (ConnectionFixture *f)
{
  int first = f->fd;
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_port = htons (http_server_port (f->server));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  f->fd = fd;
  f->closed = false;
  f->n_received = 0;
  f->received[0] = '\0';
  send_bytes (f, REQUEST, strlen (REQUEST));
  if (!f->holds_requests)
    wait_for_bytes_or_close (f);
  f->fd = first;
  return fd;
}

static bool
is_closed (ConnectionFixture *f, int fd)
{
  char byte;

  run_loop_for (f, 20);
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Guards against a host that takes no new client because others keep connections that they do not use. */
static void
longest_idle_connection_makes_room (void)
{
  ConnectionFixture f;
  int fds[2 * MAX_CONNECTIONS];

  /* No connection ends for being idle while the test waits. */
  fixture_start (&f, LONG_LIMIT_MS, 4 * WAIT_LIMIT_MS);
  exchange (&f);
  for (int i = 0; i < 2 * MAX_CONNECTIONS; i++)
    {
      fds[i] = keep_connection (&f);
      CU_ASSERT_PTR_NOT_NULL (strstr (f.received, "HTTP/1.1 200"));
    }
  for (int i = 0; i < 2 * MAX_CONNECTIONS; i++)
    {
      CU_ASSERT_EQUAL (is_closed (&f, fds[i]), i < MAX_CONNECTIONS);
      close (fds[i]);
    }
  fixture_stop (&f);
}

/* The first connection has been idle for longest, but its next request is on the way. */
static void
connection_with_bytes_on_the_way_stays (void)
{
  ConnectionFixture f;
  int fds[MAX_CONNECTIONS];

  fixture_start (&f, LONG_LIMIT_MS, LONG_LIMIT_MS);
  exchange (&f);
  for (int i = 0; i < MAX_CONNECTIONS - 1; i++)
    fds[i] = keep_connection (&f);
  send_bytes (&f, REQUEST, strlen (REQUEST));
  fds[MAX_CONNECTIONS - 1] = keep_connection (&f);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received, "HTTP/1.1 200"));
  f.n_received = 0;
  f.closed = false;
  wait_for_bytes_or_close (&f);
  CU_ASSERT_FALSE (f.closed);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received, "HTTP/1.1 200"));
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    close (fds[i]);
  fixture_stop (&f);
}

/* All connections are in use: others wait, and none of them is closed for those. One more than the limit is taken, since all bytes were
 * still on the way when it came. */
static void
connections_in_use_stay (void)
{
  ConnectionFixture f;
  int fds[MAX_CONNECTIONS + 4];

  fixture_start (&f, LONG_LIMIT_MS, LONG_LIMIT_MS);
  close (f.fd);
  run_loop_for (&f, 20);
  f.holds_requests = true;
  for (int i = 0; i < MAX_CONNECTIONS + 4; i++)
    fds[i] = keep_connection (&f);
  run_loop_for (&f, 100);
  CU_ASSERT_EQUAL (f.n_held, MAX_CONNECTIONS + 1);
  close (fds[0]);
  close (fds[1]);
  run_loop_for (&f, 100);
  CU_ASSERT_EQUAL (f.n_held, MAX_CONNECTIONS + 1 + 2);
  for (int i = 2; i < MAX_CONNECTIONS + 4; i++)
    {
      CU_ASSERT_FALSE (is_closed (&f, fds[i]));
      close (fds[i]);
    }
  f.fd = socket (AF_INET, SOCK_STREAM, 0);
  fixture_stop (&f);
}

static void
host_is_full_before_its_connections_are_used_up (void)
{
  ConnectionRoom room = { .max_connections = 1000 };

  CU_ASSERT_TRUE (connection_room_update (&room, 949));
  CU_ASSERT_FALSE (connection_room_update (&room, 950));
  CU_ASSERT_FALSE (connection_room_update (&room, 900));
  CU_ASSERT_FALSE (connection_room_update (&room, 850));
  CU_ASSERT_TRUE (connection_room_update (&room, 849));
  CU_ASSERT_TRUE (connection_room_update (&room, 900));
}

/* --- Clients that take their responses slowly -------------------------------------------- */

static void
start_long_response (ConnectionFixture *f, int64_t client_waits_ms)
{
  fixture_start (f, LONG_LIMIT_MS, LONG_LIMIT_MS);
  f->response_bytes = LONG_RESPONSE;
  f->client_waits_ms = client_waits_ms;
  send_bytes (f, REQUEST, strlen (REQUEST));
}

/* Reads a part of what came each 100 ms. @return for how long the response was open on the server, @p ms at most. */
static int64_t
read_slowly (ConnectionFixture *f, int64_t ms, size_t part)
{
  char bytes[65536];
  int64_t at = 0;

  for (; at < ms && (at == 0 || http_server_open_calls (f->server) > 0); at += 100)
    {
      if (part > 0 && recv (f->fd, bytes, part, MSG_DONTWAIT) == 0)
        break;
      f->n_received = sizeof f->received - 1;
      run_loop_for (f, 100);
    }
  return at;
}

/* Guards against a response that lies in the memory of a host for as long as its client pleases, which takes none of it. */
static void
client_that_takes_nothing_is_ended (void)
{
  ConnectionFixture f;
  int64_t open_ms;

  start_long_response (&f, 0);
  open_ms = read_slowly (&f, WAIT_LIMIT_MS, 0);
  CU_ASSERT (open_ms >= TAKE_LIMIT_MS - 100 && open_ms <= TAKE_LIMIT_MS + 3 * SWEEP_MS);
  fixture_stop (&f);
}

/* Guards against a client that reads slowly, and steadily, and is ended for it. */
static void
client_that_takes_a_little_is_not_ended (void)
{
  ConnectionFixture f;

  start_long_response (&f, 0);
  CU_ASSERT (read_slowly (&f, 3 * TAKE_LIMIT_MS, 65536) >= 3 * TAKE_LIMIT_MS);
  fixture_stop (&f);
}

/* Guards against a response that is sent on to a client which has stopped waiting for it, and against one that is broken off before
 * that. */
static void
client_is_ended_after_its_deadline (void)
{
  ConnectionFixture f;
  int64_t open_ms;

  start_long_response (&f, 500);
  open_ms = read_slowly (&f, WAIT_LIMIT_MS, 65536);
  CU_ASSERT (open_ms >= 500 && open_ms <= 500 + 4 * SWEEP_MS);
  fixture_stop (&f);
}

static const TestCase CASES[] = {
  { "longest_idle_connection_makes_room", longest_idle_connection_makes_room },
  { "connection_with_bytes_on_the_way_stays", connection_with_bytes_on_the_way_stays },
  { "connections_in_use_stay", connections_in_use_stay },
  { "host_is_full_before_its_connections_are_used_up",
    host_is_full_before_its_connections_are_used_up },
  { "request_whose_client_has_left_is_not_reported",
    request_whose_client_has_left_is_not_reported },
  { "request_that_came_during_a_stall_is_answered_on_an_expired_connection",
    request_that_came_during_a_stall_is_answered_on_an_expired_connection },
  { "body_that_came_during_a_stall_is_not_answered_with_408",
    body_that_came_during_a_stall_is_not_answered_with_408 },
  { "long_body_that_came_during_a_stall_is_not_answered_with_408",
    long_body_that_came_during_a_stall_is_not_answered_with_408 },
  { "slow_sender_is_answered_with_408", slow_sender_is_answered_with_408 },
  { "client_that_takes_nothing_is_ended", client_that_takes_nothing_is_ended },
  { "client_that_takes_a_little_is_not_ended", client_that_takes_a_little_is_not_ended },
  { "client_is_ended_after_its_deadline", client_is_ended_after_its_deadline },
  { "request_that_comes_as_the_server_stops_is_not_begun",
    request_that_comes_as_the_server_stops_is_not_begun },
  { "silent_connection_is_closed_after_the_limit", silent_connection_is_closed_after_the_limit },
  { "request_whose_head_is_half_in_does_not_count_as_idle",
    request_whose_head_is_half_in_does_not_count_as_idle },
  { "request_whose_head_stays_half_in_is_answered_with_408",
    request_whose_head_stays_half_in_is_answered_with_408 },
  { "shorter_limit_applies_from_the_next_response_on",
    shorter_limit_applies_from_the_next_response_on },
  { "longer_limit_applies_at_once", longer_limit_applies_at_once },
};

int
main (void)
{
  return harness_run ("client_connections", CASES, sizeof CASES / sizeof CASES[0]);
}
