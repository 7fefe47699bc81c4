/* Heads of requests and of responses over their whole range of sizes and numbers of lines, against the HTTP server over the
 * loopback interface. */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "harness.h"
#include "http/server.h"

#define MAX_HEAD_BYTES 16384
#define MAX_ANSWER     65536
#define WAIT_LIMIT_MS  20000
#define LINE_EXTRA     4 /* ": " and the line's end count towards the limit */
#define N_IDLE         300
#define MAX_IDLE_BYTES 8192 /* of resident memory for a kept connection without a request */

static const char TARGET[] = "/";
static const char HOST[] = "Host: a\r\n";

typedef struct
{
  Loop *loop;
  HttpServer *server;
  int fd;
  size_t n_answer_lines;
  size_t answer_line_bytes;
  size_t n_request_lines; /* of the last request without a fault */
  HttpFault fault;
  char *received;
  size_t n_received;
  bool closed;
} HeadFixture;

static void
count_line (void *data, const char *name, const char *value)
{
  (void)name;
  (void)value;
  ++*(size_t *)data;
}

/* Answers with as many lines as the fixture asks for. */
static void
on_request (void *data, HttpCall *call, HttpFault fault)
{
  HeadFixture *f = data;
  void *memory = talloc_new (NULL);
  HttpHeader *headers = talloc_array (memory, HttpHeader, (unsigned)f->n_answer_lines + 1);
  char *value = talloc_zero_size (memory, f->answer_line_bytes + 1);

  memset (value, 'v', f->answer_line_bytes);
  for (size_t i = 0; i < f->n_answer_lines; i++)
    headers[i] = (HttpHeader){ "X-Answer", value };
  f->fault = fault;
  f->n_request_lines = 0;
  http_call_each_header (call, count_line, &f->n_request_lines);
  http_call_respond (call, fault ? 431 : 200, headers, f->n_answer_lines, "body", 4);
  talloc_free (memory);
}

static void
ignore_call (void *data, HttpCall *call)
{
  (void)data;
  (void)call;
}

static const HttpServerEvents EVENTS = { on_request, ignore_call, ignore_call, ignore_call };

static int
connect_to (const HeadFixture *f)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  address.sin_port = htons (http_server_port (f->server));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

static void
fixture_start (HeadFixture *f)
{
  HttpServerOptions options = { .listen = "127.0.0.1:0",
                                .max_body_bytes = 1000,
                                .max_header_bytes = MAX_HEAD_BYTES,
                                .read_timeout_ms = 30000,
                                .max_connections = N_IDLE + 8,
                                .events = &EVENTS,
                                .data = f };

  *f = (HeadFixture){ .loop = loop_new (NULL) };
  f->server = http_server_new (f->loop, f->loop, &options);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->server);
  f->received = talloc_size (f->loop, 2 * MAX_ANSWER);
  f->fd = connect_to (f);
}

static void
fixture_stop (HeadFixture *f)
{
  close (f->fd);
  TALLOC_FREE (f->server);
  talloc_free (f->loop);
}

static void
on_wake (void *data)
{
  *(bool *)data = true;
}

static void
run_loop_for (HeadFixture *f, int64_t ms)
{
  bool over = false;

  timers_start (loop_timers (f->loop), f->loop, ms, on_wake, &over);
  while (!over)
    tevent_loop_once (loop_tevent (f->loop));
}

static bool
is_answered (const HeadFixture *f)
{
  const char *end = strstr (f->received, "\r\n\r\n");

  return end && strlen (end) >= strlen ("\r\n\r\nbody");
}

static void
wait_for_answer (HeadFixture *f, int fd)
{
  f->n_received = 0;
  f->received[0] = '\0';
  f->closed = false;
  for (int64_t waited = 0; waited < WAIT_LIMIT_MS && !f->closed && !is_answered (f); waited++)
    {
      ssize_t n = recv (fd, f->received + f->n_received, 2 * MAX_ANSWER - 1 - f->n_received,
                        MSG_DONTWAIT);

      f->closed = n == 0;
      if (n > 0)
        f->n_received += (size_t)n;
      f->received[f->n_received] = '\0';
      if (n <= 0)
        run_loop_for (f, 1);
    }
}

static void
send_bytes (HeadFixture *f, int fd, const char *bytes, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, bytes, len, MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n > 0)
        {
          bytes += n;
          len -= (size_t)n;
        }
      else if (errno != EAGAIN && errno != EWOULDBLOCK)
        return; /* closed: the answer is missing */
      else
        run_loop_for (f, 1);
    }
}

/* @return a request with a head that counts size bytes, in n lines beside Host; talloc. NULL if they do not fit. */
static char *
make_request (const HeadFixture *f, size_t n, size_t size)
{
  size_t fixed = strlen (TARGET) + strlen ("Host") + strlen ("a") + LINE_EXTRA;
  size_t smallest = strlen ("h") + LINE_EXTRA;
  size_t extra;
  char *text;

  if (size < fixed + n * smallest)
    return NULL;
  extra = size - fixed - n * smallest;
  text = talloc_asprintf (f->loop, "GET %s HTTP/1.1\r\n%s", TARGET, HOST);
  for (size_t i = 0; i < n; i++)
    {
      size_t more = i == 0 ? extra / n + extra % n : extra / n;
      char *value = talloc_zero_size (f->loop, more + 1);

      memset (value, 'x', more);
      text = talloc_asprintf_append_buffer (text, "h: %s\r\n", value);
      talloc_free (value);
    }
  return talloc_asprintf_append_buffer (text, "\r\n");
}

static void
exchange (HeadFixture *f, const char *request)
{
  send_bytes (f, f->fd, request, strlen (request));
  wait_for_answer (f, f->fd);
}

/* One head on a kept connection, and the next request on it. */
static bool
head_is_answered (HeadFixture *f, size_t n_lines, size_t size)
{
  const char *status = size > MAX_HEAD_BYTES ? "HTTP/1.1 431" : "HTTP/1.1 200";
  char *request = make_request (f, n_lines, size);
  bool ok;

  if (!request)
    return true;
  exchange (f, request);
  talloc_free (request);
  ok = is_answered (f) && !strncmp (f->received, status, strlen (status));
  ok = ok && (size > MAX_HEAD_BYTES || f->n_request_lines == n_lines + 1);
  exchange (f, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  return ok && is_answered (f) && !strncmp (f->received, "HTTP/1.1 200", strlen ("HTTP/1.1 200"));
}

/* Guards against requests within the limit that run and are closed without an answer, because the lines of the request and the
 * head of the answer share a memory of fixed size. */
static void
head_within_the_limit_is_answered_whatever_its_lines (void)
{
  static const size_t LINES[] = { 1, 2, 18, 100, 310, 357, 700, 1500, 2500, 3274 };
  static const size_t SIZES[]
      = { 200, 13020, MAX_HEAD_BYTES - 1, MAX_HEAD_BYTES, MAX_HEAD_BYTES + 1 };
  static const struct
  {
    size_t lines;
    size_t bytes;
  } ANSWERS[] = { { 0, 0 }, { 4, 1000 }, { 100, 1 }, { 16, 1000 }, { 500, 100 }, { 1, 60000 } };

  for (size_t a = 0; a < sizeof ANSWERS / sizeof ANSWERS[0]; a++)
    for (size_t l = 0; l < sizeof LINES / sizeof LINES[0]; l++)
      {
        HeadFixture f;

        fixture_start (&f);
        f.n_answer_lines = ANSWERS[a].lines;
        f.answer_line_bytes = ANSWERS[a].bytes;
        for (size_t s = 0; s < sizeof SIZES / sizeof SIZES[0]; s++)
          if (!head_is_answered (&f, LINES[l], SIZES[s]))
            {
              printf ("lines %zu, bytes %zu, answer %zu lines of %zu: closed %d, got %.20s\n",
                      LINES[l], SIZES[s], ANSWERS[a].lines, ANSWERS[a].bytes, f.closed, f.received);
              CU_FAIL ("not answered");
              break;
            }
        fixture_stop (&f);
      }
}

/* Each byte in a packet of its own; the lines go over every boundary. */
static void
head_that_comes_byte_by_byte_is_answered (void)
{
  static const char REQUEST[]
      = "GET /a?b HTTP/1.1\r\nHost: a\r\nEmpty:\r\nBlanks:  v  \r\nx: y\r\n\r\n";
  HeadFixture f;

  fixture_start (&f);
  for (size_t i = 0; i < strlen (REQUEST); i++)
    {
      send_bytes (&f, f.fd, REQUEST + i, 1);
      run_loop_for (&f, 1);
    }
  wait_for_answer (&f, f.fd);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received, "HTTP/1.1 200"));
  CU_ASSERT_EQUAL (f.n_request_lines, 4);
  fixture_stop (&f);
}

/* The second request, with as many lines as fit, has been sent before the first is answered. */
static void
second_head_in_one_packet_is_answered (void)
{
  HeadFixture f;
  char *second;
  char *both;

  fixture_start (&f);
  second = make_request (&f, 3000, MAX_HEAD_BYTES);
  both = talloc_asprintf (f.loop, "GET / HTTP/1.1\r\nHost: a\r\n\r\n%s", second);
  exchange (&f, both);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received, "HTTP/1.1 200"));
  if (f.n_request_lines != 3001)
    run_loop_for (&f, 100);
  CU_ASSERT_EQUAL (f.n_request_lines, 3001);
  fixture_stop (&f);
}

/* Far above the limit: rejected although the client is still sending, and the connection ends. */
static void
endless_head_is_rejected (void)
{
  HeadFixture f;
  char *request;

  fixture_start (&f);
  request = make_request (&f, 100, 20 * MAX_HEAD_BYTES);
  if (!request)
    abort ();
  send_bytes (&f, f.fd, request, strlen (request) - 4);
  wait_for_answer (&f, f.fd);
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received, "HTTP/1.1 431"));
  CU_ASSERT_PTR_NOT_NULL (strstr (f.received, "Connection: close"));
  fixture_stop (&f);
}

/* The target counts towards the limit too. */
static void
target_counts_towards_the_limit (void)
{
  HeadFixture f;
  char *path;
  char *request;

  fixture_start (&f);
  path = talloc_zero_size (f.loop, MAX_HEAD_BYTES + 1);
  memset (path, 'p', MAX_HEAD_BYTES);
  for (int above = 0; above < 2; above++)
    {
      int len = MAX_HEAD_BYTES - 10 + above; /* with "/", and 9 bytes of Host */

      request = talloc_asprintf (f.loop, "GET /%.*s HTTP/1.1\r\nHost: a\r\n\r\n", len, path);
      exchange (&f, request);
      CU_ASSERT_PTR_NOT_NULL (strstr (f.received, above ? "HTTP/1.1 431" : "HTTP/1.1 200"));
    }
  fixture_stop (&f);
}

static long
resident_bytes (void)
{
  long total = 0;
  long resident = 0;
  FILE *file = fopen ("/proc/self/statm", "r");

  CU_ASSERT_PTR_NOT_NULL_FATAL (file);
  CU_ASSERT_EQUAL (fscanf (file, "%ld %ld", &total, &resident), 2);
  fclose (file);
  return resident * sysconf (_SC_PAGESIZE);
}

/* Hosts keep thousands of connections: the room for the largest head must not stay with each of them. */
static void
kept_connections_hold_little_memory (void)
{
  HeadFixture f;
  int fds[N_IDLE];
  char *request;
  long before;

  fixture_start (&f);
  request = make_request (&f, 10, 500);
  exchange (&f, request);
  before = resident_bytes ();
  for (int i = 0; i < N_IDLE; i++)
    {
      fds[i] = connect_to (&f);
      send_bytes (&f, fds[i], request, strlen (request));
      wait_for_answer (&f, fds[i]);
      CU_ASSERT_PTR_NOT_NULL_FATAL (strstr (f.received, "HTTP/1.1 200"));
    }
#if !defined __SANITIZE_ADDRESS__ && !defined __SANITIZE_THREAD__
  CU_ASSERT_TRUE (resident_bytes () - before < (long)N_IDLE * MAX_IDLE_BYTES);
#else
  /* Sanitizers keep freed memory. */
  (void)before;
#endif
  for (int i = 0; i < N_IDLE; i++)
    close (fds[i]);
  fixture_stop (&f);
}

static const TestCase CASES[] = {
  { "head_within_the_limit_is_answered_whatever_its_lines",
    head_within_the_limit_is_answered_whatever_its_lines },
  { "head_that_comes_byte_by_byte_is_answered", head_that_comes_byte_by_byte_is_answered },
  { "second_head_in_one_packet_is_answered", second_head_in_one_packet_is_answered },
  { "endless_head_is_rejected", endless_head_is_rejected },
  { "target_counts_towards_the_limit", target_counts_towards_the_limit },
  { "kept_connections_hold_little_memory", kept_connections_hold_little_memory },
};

int
main (void)
{
  return harness_run ("heads", CASES, sizeof CASES / sizeof CASES[0]);
}
