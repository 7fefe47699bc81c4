/* Memory for the bodies of requests: what happens when the bodies of open requests use it up. */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "core/loop.h"
#include "harness.h"
#include "http/client.h"
#include "http/server.h"

#define LARGE_BYTES   ((size_t)1 << 20)
#define QUOTA_BYTES   (6 * LARGE_BYTES)
#define WAIT_LIMIT_MS 10000
#define MAX_CLIENTS   16

typedef struct
{
  Loop *loop;
  HttpServer *server;
  BufferQuota quota;
  HttpCall *held[MAX_CLIENTS]; /* answered at the end */
  int n_held;
  int n_refused;
  int n_reported; /* requests, however they end */
  int fds[MAX_CLIENTS];
  int n_clients;
} Bodies;

static void
on_request (void *data, HttpCall *call, HttpFault fault)
{
  Bodies *b = data;
  size_t len;

  http_call_body (call, &len);
  b->n_reported++;
  if (fault == HTTP_FAULT_NO_ROOM)
    {
      b->n_refused++;
      http_call_respond (call, 503, NULL, 0, "full", 4);
    }
  else if (len < LARGE_BYTES)
    http_call_respond (call, 200, NULL, 0, "small", 5);
  else
    b->held[b->n_held++] = call;
}

static void
ignore_call (void *data, HttpCall *call)
{
  (void)data;
  (void)call;
}

static const HttpServerEvents EVENTS = { on_request, ignore_call, ignore_call, ignore_call };

static Bodies *
bodies_new (void)
{
  Bodies *b = talloc_zero (NULL, Bodies);
  HttpServerOptions options = { .listen = "127.0.0.1:0",
                                .max_body_bytes = 2 * LARGE_BYTES,
                                .max_header_bytes = 4096,
                                .body_quota = &b->quota,
                                .read_timeout_ms = 30000,
                                .max_connections = MAX_CLIENTS,
                                .events = &EVENTS,
                                .data = b };

  b->quota.limit_bytes = QUOTA_BYTES;
  b->loop = loop_new (b);
  b->server = http_server_new (b, b->loop, &options);
  CU_ASSERT_PTR_NOT_NULL_FATAL (b->server);
  return b;
}

static void
bodies_free (Bodies *b)
{
  for (int i = 0; i < b->n_clients; i++)
    close (b->fds[i]);
  TALLOC_FREE (b->server);
  talloc_free (b);
}

static void
on_wake (void *data)
{
  *(bool *)data = true;
}

static void
run_for (Bodies *b, int64_t ms)
{
  bool over = false;

  timers_start (loop_timers (b->loop), b->loop, ms, on_wake, &over);
  while (!over)
    tevent_loop_once (loop_tevent (b->loop));
}

/* Runs the loop until the condition holds. */
#define WAIT_FOR(b, condition)                                                                     \
  do                                                                                               \
    {                                                                                              \
      for (int waited_ms = 0; waited_ms < WAIT_LIMIT_MS && !(condition); waited_ms += 5)           \
        run_for (b, 5);                                                                            \
      CU_ASSERT (condition);                                                                       \
  } while (0)

static int
connect_client (Bodies *b)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_port = htons (http_server_port (b->server));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  b->fds[b->n_clients++] = fd;
  return fd;
}

static void
send_all (Bodies *b, int fd, const char *bytes, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, bytes, len, MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n > 0)
        {
          bytes += n;
          len -= (size_t)n;
        }
      run_for (b, 1);
    }
}

/* @param chunked the body has no length. */
static int
upload (Bodies *b, size_t len, bool chunked)
{
  int fd = connect_client (b);
  char *body = talloc_zero_size (b, len);
  char head[128];
  int reported = b->n_reported;

  snprintf (head, sizeof head, "POST / HTTP/1.1\r\nHost: a\r\n%s%zu\r\n\r\n",
            chunked ? "Transfer-Encoding: chunked\r\nX-Bytes: " : "Content-Length: ", len);
  send_all (b, fd, head, strlen (head));
  snprintf (head, sizeof head, "%zx\r\n", len);
  if (chunked)
    send_all (b, fd, head, strlen (head));
  send_all (b, fd, body, len);
  if (chunked)
    send_all (b, fd, "\r\n0\r\n\r\n", 7);
  WAIT_FOR (b, b->n_reported > reported);
  talloc_free (body);
  return fd;
}

/* @return the status that the client gets. */
static int
status_of (Bodies *b, int fd)
{
  char text[64] = "";
  int status = 0;

  WAIT_FOR (b, recv (fd, text, sizeof text - 1, MSG_DONTWAIT | MSG_PEEK) > 0);
  sscanf (text, "HTTP/1.1 %d", &status);
  return status;
}

/* Guards against a burst of large requests that uses up a host's memory: they are refused, all of them get a response, and
 * small ones are served. */
static void
check_burst (bool chunked)
{
  Bodies *b = bodies_new ();
  int fds[8];
  int n_served = 0;

  for (int i = 0; i < 8; i++)
    fds[i] = upload (b, LARGE_BYTES, chunked);
  CU_ASSERT (b->n_held >= 2);
  CU_ASSERT_EQUAL (b->n_held + b->n_refused, 8);
  CU_ASSERT (b->n_refused > 0);
  CU_ASSERT (b->quota.used_bytes <= QUOTA_BYTES);
  CU_ASSERT_EQUAL (status_of (b, upload (b, 1000, chunked)), 200);
  for (int i = 0; i < b->n_held; i++)
    http_call_respond (b->held[i], 200, NULL, 0, "large", 5);
  for (int i = 0; i < 8; i++)
    n_served += status_of (b, fds[i]) == 200;
  CU_ASSERT_EQUAL (n_served, b->n_held);
  WAIT_FOR (b, b->quota.used_bytes == 0);
  bodies_free (b);
}

static void
large_bodies_are_refused_when_their_memory_is_used_up (void)
{
  check_burst (false);
}

static void
bodies_of_unknown_length_are_refused_when_their_memory_is_used_up (void)
{
  check_burst (true);
}

/* Guards against memory that stays taken after clients have left in the middle of a body. */
static void
memory_of_a_body_returns_when_its_client_leaves (void)
{
  static const char HEAD[] = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\nabc";
  Bodies *b = bodies_new ();
  int fd = connect_client (b);

  send_all (b, fd, HEAD, strlen (HEAD));
  WAIT_FOR (b, b->quota.used_bytes == 1000000);
  shutdown (fd, SHUT_RDWR);
  WAIT_FOR (b, b->quota.used_bytes == 0);
  bodies_free (b);
}

/* Guards against a body that is asked for although it will be refused. */
static void
client_that_waits_to_send_is_refused_before_its_body (void)
{
  static const char HEAD[]
      = "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1000000\r\n\r\n";
  Bodies *b = bodies_new ();
  int fd;

  b->quota.used_bytes = QUOTA_BYTES;
  fd = connect_client (b);
  send_all (b, fd, HEAD, strlen (HEAD));
  CU_ASSERT_EQUAL (status_of (b, fd), 503);
  b->quota.used_bytes = 0;
  bodies_free (b);
}

/* --- One copy ------------------------------------------------------------------------------ */

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  (void)exchange;
  *(bool *)data = result == HTTP_COMPLETE;
}

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  (void)data, (void)exchange, (void)bytes, (void)len;
  return true;
}

static const HttpEvents CLIENT_EVENTS = { .body = on_body, .done = on_done };

/* Guards against a second copy of each body, and against an exchange that sends a body that its owner has freed. */
static void
exchange_keeps_the_body_of_its_owner_without_a_copy (void)
{
  Bodies *b = bodies_new ();
  HttpClient *client = http_client_new (b, b->loop);
  void *owner = talloc_new (NULL);
  char *body = talloc_zero_size (owner, LARGE_BYTES);
  size_t before = talloc_total_size (b);
  HttpRequest request
      = { .method = "POST",
          .url = talloc_asprintf (b, "http://127.0.0.1:%u/", http_server_port (b->server)),
          .body = body,
          .body_owner = body,
          .body_len = LARGE_BYTES,
          .timeout_ms = WAIT_LIMIT_MS };
  bool done = false;

  CU_ASSERT_PTR_NOT_NULL (http_client_start (client, b, &request, &CLIENT_EVENTS, &done));
  CU_ASSERT (talloc_total_size (b) < before + 2 * LARGE_BYTES);
  CU_ASSERT_EQUAL (talloc_reference_count (body), 1);
  talloc_unlink (owner, body);
  talloc_free (owner);
  WAIT_FOR (b, b->n_held == 1);
  if (b->n_held != 1)
    return;
  http_call_respond (b->held[0], 200, NULL, 0, "large", 5);
  WAIT_FOR (b, done);
  bodies_free (b);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "large_bodies_are_refused_when_their_memory_is_used_up",
      large_bodies_are_refused_when_their_memory_is_used_up },
    { "bodies_of_unknown_length_are_refused_when_their_memory_is_used_up",
      bodies_of_unknown_length_are_refused_when_their_memory_is_used_up },
    { "memory_of_a_body_returns_when_its_client_leaves",
      memory_of_a_body_returns_when_its_client_leaves },
    { "client_that_waits_to_send_is_refused_before_its_body",
      client_that_waits_to_send_is_refused_before_its_body },
    { "exchange_keeps_the_body_of_its_owner_without_a_copy",
      exchange_keeps_the_body_of_its_owner_without_a_copy },
  };

  return harness_run ("request_bodies", CASES, sizeof CASES / sizeof CASES[0]);
}
