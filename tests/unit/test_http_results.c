/* The results of failed exchanges. Only HTTP_FAILED_CONNECT and HTTP_TIMED_OUT_CONNECT prove that a
 * request did not run. No other failure may therefore be reported as one of them. */
#include "harness.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <talloc.h>

#include "http/client.h"
#include "canned_server.h"

#define WAIT_LIMIT_S        60
#define LARGE_BODY_BYTES    (32 << 20) /* more than the socket buffers of both ends hold */
#define LONG_TIMEOUT_MS     20000
#define SHORT_TIMEOUT_MS    3000 /* long enough to send a request on a busy machine */
#define MAX_RECORDED_BODY   64
/* Time limit of an exchange during which the test stalls the loop, long enough for the steps before that. */
#define STALLED_TIMEOUT_MS  500
#define REPEATED_CONNECT_MS 1400
#define N_BACKLOG           16

typedef struct
{
  Loop *loop;
  HttpClient *client;
  HttpExchange *exchange;
  HttpResult result;
  int n_done;
  int n_headers_events;
  bool pause;
  char body[MAX_RECORDED_BODY];
  size_t body_len;
} HttpFixture;

static void
on_headers (void *data, HttpExchange *exchange, int status)
{
  (void)exchange;
  CU_ASSERT_EQUAL (status, 200);
  ((HttpFixture *)data)->n_headers_events++;
}

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  HttpFixture *f = data;

  (void)exchange;
  if (f->pause)
    {
      f->pause = false;
      return false;
    }
  for (size_t i = 0; i < len && f->body_len < MAX_RECORDED_BODY - 1; i++)
    f->body[f->body_len++] = bytes[i];
  return true;
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  HttpFixture *f = data;

  f->n_done++;
  f->result = result;
  talloc_free (exchange);
  f->exchange = NULL;
}

static const HttpEvents EVENTS = { on_headers, on_body, on_done };

static HttpFixture *
fixture_new (void)
{
  HttpFixture *f = talloc_zero (NULL, HttpFixture);

  f->loop = loop_new (f);
  f->client = http_client_new (f, f->loop);
  return f;
}

static void
start_exchange_within (HttpFixture *f, const char *address, size_t body_len,
                       int64_t connect_timeout_ms, int64_t timeout_ms)
{
  char *body = talloc_zero_size (f, body_len ? body_len : 1);
  HttpRequest request = { .method = "POST",
                          .url = talloc_asprintf (f, "http://%s/x", address),
                          .body = body,
                          .body_len = body_len,
                          .connect_timeout_ms = connect_timeout_ms,
                          .timeout_ms = timeout_ms,
                          .own_connection = true };

  f->exchange = http_client_start (f->client, f, &request, &EVENTS, f);
  CU_ASSERT_PTR_NOT_NULL (f->exchange);
  CU_ASSERT_EQUAL (f->n_done, 0);
  talloc_free (body);
}

static void
start_exchange (HttpFixture *f, const char *address, size_t body_len, int64_t timeout_ms)
{
  start_exchange_within (f, address, body_len, LONG_TIMEOUT_MS, timeout_ms);
}

static void
wait_for_done (HttpFixture *f)
{
  int64_t end_us = loop_monotonic_us () + (int64_t)WAIT_LIMIT_S * 1000000;

  while (!f->n_done && loop_monotonic_us () < end_us)
    tevent_loop_once (loop_tevent (f->loop));
  CU_ASSERT_EQUAL (f->n_done, 1);
}

static void
fixture_free (HttpFixture *f)
{
  TALLOC_FREE (f->exchange);
  TALLOC_FREE (f->client);
  talloc_free (f);
}

/* --- Responses --------------------------------------------------------------------------- */

/* Guards against a result that states an earlier or later point of failure than the actual one. */
static void
responses_map_to_results (void)
{
  static const struct
  {
    const char *response;
    HttpResult result;
    const char *body;
  } ROWS[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", HTTP_COMPLETE, "ok" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", HTTP_COMPLETE, "" },
    { "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", HTTP_COMPLETE, "ok" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", HTTP_FAILED_PARTIAL, "ok" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", HTTP_FAILED_PARTIAL,
      "ok" },
    { NULL, HTTP_FAILED_NO_RESPONSE, "" },
  };

  for (size_t i = 0; i < sizeof ROWS / sizeof ROWS[0]; i++)
    {
      HttpFixture *f = fixture_new ();
      CannedServer server;

      start_exchange (f, canned_server_start (f, &server, ROWS[i].response), 10, LONG_TIMEOUT_MS);
      wait_for_done (f);
      CU_ASSERT_EQUAL (f->result, ROWS[i].result);
      CU_ASSERT_STRING_EQUAL (f->body, ROWS[i].body);
      CU_ASSERT_EQUAL (f->n_headers_events, ROWS[i].response ? 1 : 0);
      CU_ASSERT_EQUAL (server.requests, 1);
      fixture_free (f);
      canned_server_stop (&server);
    }
}

/* Guards against body bytes that are lost or duplicated by a pause. */
static void
paused_body_is_delivered_again (void)
{
  HttpFixture *f = fixture_new ();
  CannedServer server;

  f->pause = true;
  start_exchange (
      f, canned_server_start (f, &server, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"), 0,
      LONG_TIMEOUT_MS);
  while (f->pause)
    tevent_loop_once (loop_tevent (f->loop));
  http_exchange_resume (f->exchange);
  wait_for_done (f);
  CU_ASSERT_EQUAL (f->result, HTTP_COMPLETE);
  CU_ASSERT_STRING_EQUAL (f->body, "body");
  fixture_free (f);
  canned_server_stop (&server);
}

/* Guards against a response that ends in the middle of its head and is passed on as whole, with an empty body. */
static void
response_that_ends_in_its_head_is_not_complete (void)
{
  static const char *const RESPONSES[] = {
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n",
    "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Requ",
    "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n\r",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
    "HTTP/1.1 204 No Content\r\n",
  };

  for (size_t i = 0; i < sizeof RESPONSES / sizeof RESPONSES[0]; i++)
    {
      HttpFixture *f = fixture_new ();
      CannedServer server;

      start_exchange (f, canned_server_start (f, &server, RESPONSES[i]), 10, LONG_TIMEOUT_MS);
      wait_for_done (f);
      CU_ASSERT_EQUAL (f->result, HTTP_FAILED_PARTIAL);
      CU_ASSERT_EQUAL (f->n_headers_events, 0);
      fixture_free (f);
      canned_server_stop (&server);
    }
}

/* Guards against whole responses that count as cut because other heads or trailers come with them. */
static void
response_with_interim_heads_and_trailers_is_complete (void)
{
  static const char *const RESPONSES[] = {
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nok",
    "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n",
    "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
  };

  for (size_t i = 0; i < sizeof RESPONSES / sizeof RESPONSES[0]; i++)
    {
      HttpFixture *f = fixture_new ();
      CannedServer server;

      start_exchange (f, canned_server_start (f, &server, RESPONSES[i]), 10, LONG_TIMEOUT_MS);
      wait_for_done (f);
      CU_ASSERT_EQUAL (f->result, HTTP_COMPLETE);
      CU_ASSERT_EQUAL (f->n_headers_events, 1);
      fixture_free (f);
      canned_server_stop (&server);
    }
}

/* --- No response ------------------------------------------------------------------------- */

/* Guards against a refused connection that is reported as a sent request. */
static void
refused_connection_is_a_connect_failure (void)
{
  HttpFixture *f = fixture_new ();

  start_exchange (f, closed_address (f), 10, LONG_TIMEOUT_MS);
  wait_for_done (f);
  CU_ASSERT_EQUAL (f->result, HTTP_FAILED_CONNECT);
  fixture_free (f);
}

static int
listen_on (HttpFixture *f, char **address)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;

  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL (bind (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  CU_ASSERT_EQUAL (listen (fd, 4), 0);
  getsockname (fd, (struct sockaddr *)&addr, &len);
  *address = talloc_asprintf (f, "127.0.0.1:%u", ntohs (addr.sin_port));
  return fd;
}

/* Guards against reporting an unresponsive server as a failure to connect, although its kernel has
 * accepted the connection and the request. */
static void
unresponsive_server_is_not_a_connect_failure (void)
{
  static const size_t BODY_SIZES[] = { 10, LARGE_BODY_BYTES };

  for (size_t i = 0; i < sizeof BODY_SIZES / sizeof BODY_SIZES[0]; i++)
    {
      HttpFixture *f = fixture_new ();
      char *address;
      int fd = listen_on (f, &address);

      start_exchange (f, address, BODY_SIZES[i], SHORT_TIMEOUT_MS);
      wait_for_done (f);
      CU_ASSERT_EQUAL (f->result, HTTP_TIMED_OUT_NO_RESPONSE);
      fixture_free (f);
      close (fd);
    }
}

static void *
reset_first_connection (void *data)
{
  struct linger reset_on_close = { 1, 0 };
  char request[4096];
  int fd = accept (*(int *)data, NULL, NULL);

  if (recv (fd, request, sizeof request, 0) <= 0)
    return NULL;
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  close (fd);
  return NULL;
}

/* Guards against reporting a connection reset in the middle of a request as a failure to connect. */
static void
reset_while_sending_is_not_a_connect_failure (void)
{
  HttpFixture *f = fixture_new ();
  char *address;
  int fd = listen_on (f, &address);
  pthread_t thread;

  CU_ASSERT_EQUAL (pthread_create (&thread, NULL, reset_first_connection, &fd), 0);
  start_exchange (f, address, LARGE_BODY_BYTES, LONG_TIMEOUT_MS);
  wait_for_done (f);
  CU_ASSERT_EQUAL (f->result, HTTP_FAILED_SENDING);
  pthread_join (thread, NULL);
  fixture_free (f);
  close (fd);
}

/* Guards against a callback after the exchange was freed. */
static void
freed_exchange_calls_no_callback (void)
{
  HttpFixture *f = fixture_new ();
  char *address;
  int fd = listen_on (f, &address);

  start_exchange (f, address, 10, SHORT_TIMEOUT_MS);
  for (int i = 0; i < 3; i++)
    tevent_loop_once (loop_tevent (f->loop));
  TALLOC_FREE (f->exchange);
  CU_ASSERT_EQUAL (f->n_done, 0);
  fixture_free (f);
  close (fd);
}

/* --- Time limits ------------------------------------------------------------------------- */

/* A loop that does nothing for longer than the time limit of the exchange. */
static void
stall (int64_t limit_ms)
{
  int64_t ms = limit_ms + 50;
  struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };

  clock_nanosleep (CLOCK_MONOTONIC, 0, &ts, NULL);
}

static void
on_tick (void *data)
{
  HttpFixture *f = data;

  timers_start (loop_timers (f->loop), f, 1, on_tick, f);
}

/* Runs the loop until the whole request has arrived. @return the accepted connection. */
static int
accept_request (HttpFixture *f, int listener)
{
  char request[4096] = "";
  size_t len = 0;
  int fd;

  fcntl (listener, F_SETFL, O_NONBLOCK);
  on_tick (f);
  while ((fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK)) < 0 && !f->n_done)
    tevent_loop_once (loop_tevent (f->loop));
  while (!strstr (request, "\r\n\r\n") && !f->n_done)
    {
      ssize_t n = recv (fd, request + len, sizeof request - len - 1, 0);

      if (n > 0)
        len += (size_t)n;
      tevent_loop_once (loop_tevent (f->loop));
    }
  return fd;
}

/* Guards against a time limit that is judged before the response is read that arrived in time, while the loop was
 * stalled. */
static void
response_that_arrived_during_a_stall_is_complete (void)
{
  static const char RESPONSE[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  HttpFixture *f = fixture_new ();
  char *address;
  int listener = listen_on (f, &address);
  int fd;

  start_exchange (f, address, 0, STALLED_TIMEOUT_MS);
  fd = accept_request (f, listener);
  CU_ASSERT_EQUAL (f->n_done, 0);
  CU_ASSERT_EQUAL (send (fd, RESPONSE, sizeof RESPONSE - 1, MSG_NOSIGNAL), sizeof RESPONSE - 1);
  stall (STALLED_TIMEOUT_MS);
  wait_for_done (f);
  CU_ASSERT_EQUAL (f->result, HTTP_COMPLETE);
  CU_ASSERT_STRING_EQUAL (f->body, "ok");
  fixture_free (f);
  close (fd);
  close (listener);
}

/* Fills the backlog, so that the kernel ignores further connections. */
static void
fill_backlog (int listener, int fds[N_BACKLOG])
{
  struct sockaddr_in addr = { 0 };
  socklen_t len = sizeof addr;

  getsockname (listener, (struct sockaddr *)&addr, &len);
  for (int i = 0; i < N_BACKLOG; i++)
    {
      fds[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)!connect (fds[i], (struct sockaddr *)&addr, sizeof addr);
    }
}

static void
empty_backlog (int listener, const int fds[N_BACKLOG])
{
  int fd;

  for (int i = 0; i < N_BACKLOG; i++)
    close (fds[i]);
  fcntl (listener, F_SETFL, O_NONBLOCK);
  while ((fd = accept (listener, NULL, NULL)) >= 0)
    close (fd);
}

/* Guards against a connection that is given up although it was established in time, while the loop was stalled. Linux
 * repeats the first packet of a connection after a second. */
static void
connection_that_was_established_during_a_stall_is_used (void)
{
  HttpFixture *f = fixture_new ();
  char *address;
  int listener = listen_on (f, &address);
  int fds[N_BACKLOG];
  int fd;

  fill_backlog (listener, fds);
  start_exchange_within (f, address, 0, REPEATED_CONNECT_MS, LONG_TIMEOUT_MS);
  on_tick (f);
  for (int i = 0; i < 20; i++) /* starts to connect */
    tevent_loop_once (loop_tevent (f->loop));
  empty_backlog (listener, fds);
  stall (REPEATED_CONNECT_MS);
  fd = accept_request (f, listener);
  CU_ASSERT_EQUAL (f->n_done, 0);
  CU_ASSERT (fd >= 0);
  fixture_free (f);
  close (fd);
  close (listener);
}

/* Guards against an exchange that is given up before libcurl has started to connect. */
static void
stall_before_the_start_is_not_counted (void)
{
  HttpFixture *f = fixture_new ();
  CannedServer server;
  char *address
      = canned_server_start (f, &server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

  start_exchange_within (f, address, 10, STALLED_TIMEOUT_MS, STALLED_TIMEOUT_MS);
  stall (STALLED_TIMEOUT_MS);
  wait_for_done (f);
  CU_ASSERT_EQUAL (f->result, HTTP_COMPLETE);
  fixture_free (f);
  canned_server_stop (&server);
}

/* Guards against time limits that are not kept at all, and against a result that does not say how far an exchange
 * got. */
static void
time_limits_are_kept (void)
{
  HttpFixture *f = fixture_new ();
  char *address;
  int listener = listen_on (f, &address);
  int fds[N_BACKLOG];
  int64_t start_us = loop_monotonic_us ();

  fill_backlog (listener, fds);
  start_exchange_within (f, address, 10, STALLED_TIMEOUT_MS, LONG_TIMEOUT_MS);
  wait_for_done (f);
  CU_ASSERT_EQUAL (f->result, HTTP_TIMED_OUT_CONNECT);
  CU_ASSERT (loop_monotonic_us () - start_us < (int64_t)SHORT_TIMEOUT_MS * 1000);
  empty_backlog (listener, fds);
  fixture_free (f);
  close (listener);
}

/* Guards against an unfinished response that is waited for without end. */
static void
unfinished_response_times_out (void)
{
  static const char PART[] = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
  HttpFixture *f = fixture_new ();
  char *address;
  int listener = listen_on (f, &address);
  int fd;

  start_exchange (f, address, 0, SHORT_TIMEOUT_MS);
  fd = accept_request (f, listener);
  CU_ASSERT_EQUAL (send (fd, PART, sizeof PART - 1, MSG_NOSIGNAL), sizeof PART - 1);
  wait_for_done (f);
  CU_ASSERT_EQUAL (f->result, HTTP_TIMED_OUT_PARTIAL);
  fixture_free (f);
  close (fd);
  close (listener);
}

int
main (void)
{
  static const TestCase TESTS[] = {
    { "responses_map_to_results", responses_map_to_results },
    { "response_that_ends_in_its_head_is_not_complete",
      response_that_ends_in_its_head_is_not_complete },
    { "response_with_interim_heads_and_trailers_is_complete",
      response_with_interim_heads_and_trailers_is_complete },
    { "paused_body_is_delivered_again", paused_body_is_delivered_again },
    { "refused_connection_is_a_connect_failure", refused_connection_is_a_connect_failure },
    { "unresponsive_server_is_not_a_connect_failure",
      unresponsive_server_is_not_a_connect_failure },
    { "reset_while_sending_is_not_a_connect_failure",
      reset_while_sending_is_not_a_connect_failure },
    { "freed_exchange_calls_no_callback", freed_exchange_calls_no_callback },
    { "response_that_arrived_during_a_stall_is_complete",
      response_that_arrived_during_a_stall_is_complete },
    { "connection_that_was_established_during_a_stall_is_used",
      connection_that_was_established_during_a_stall_is_used },
    { "stall_before_the_start_is_not_counted", stall_before_the_start_is_not_counted },
    { "time_limits_are_kept", time_limits_are_kept },
    { "unfinished_response_times_out", unfinished_response_times_out },
  };

  return harness_run ("http_results", TESTS, sizeof TESTS / sizeof TESTS[0]);
}
