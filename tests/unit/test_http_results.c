/* How far an exchange got before it failed. "Not run" rests on HTTP_FAILED_CONNECT and
 * HTTP_TIMED_OUT_CONNECT, so no other failure may look like them. */
#include "harness.h"

#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "http/client.h"
#include "canned_server.h"

#define STUCK_AFTER_S   60
#define LARGE_BODY      (32 << 20) /* more than the socket buffers of both sides hold */
#define PATIENT_MS      20000
#define IMPATIENT_MS    3000 /* long enough for a request to leave on a busy machine */
#define MAX_ANSWER_KEPT 64

typedef struct
{
  Loop *loop;
  HttpClient *client;
  HttpExchange *exchange;
  HttpResult result;
  int done;
  int headers;
  bool pause;
  char body[MAX_ANSWER_KEPT];
  size_t body_len;
} Env;

static void
on_headers (void *data, HttpExchange *exchange, int status)
{
  (void)exchange;
  CU_ASSERT_EQUAL (status, 200);
  ((Env *)data)->headers++;
}

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  Env *e = data;

  (void)exchange;
  if (e->pause)
    {
      e->pause = false;
      return false;
    }
  for (size_t i = 0; i < len && e->body_len < MAX_ANSWER_KEPT - 1; i++)
    e->body[e->body_len++] = bytes[i];
  return true;
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  Env *e = data;

  e->done++;
  e->result = result;
  talloc_free (exchange);
  e->exchange = NULL;
}

static const HttpEvents EVENTS = { on_headers, on_body, on_done };

static Env *
env_new (void)
{
  Env *e = talloc_zero (NULL, Env);

  e->loop = loop_new (e);
  e->client = http_client_new (e, e->loop);
  return e;
}

static void
start (Env *e, const char *address, size_t body_len, int64_t timeout_ms)
{
  char *body = talloc_zero_size (e, body_len ? body_len : 1);
  HttpRequest request = { .method = "POST",
                          .url = talloc_asprintf (e, "http://%s/x", address),
                          .body = body,
                          .body_len = body_len,
                          .connect_timeout_ms = PATIENT_MS,
                          .timeout_ms = timeout_ms,
                          .own_connection = true };

  e->exchange = http_client_start (e->client, e, &request, &EVENTS, e);
  CU_ASSERT_PTR_NOT_NULL (e->exchange);
  CU_ASSERT_EQUAL (e->done, 0);
  talloc_free (body);
}

static void
wait_for_end (Env *e)
{
  int64_t end_us = loop_monotonic_us () + (int64_t)STUCK_AFTER_S * 1000000;

  while (!e->done && loop_monotonic_us () < end_us)
    tevent_loop_once (loop_tevent (e->loop));
  CU_ASSERT_EQUAL (e->done, 1);
}

static void
env_free (Env *e)
{
  TALLOC_FREE (e->exchange);
  TALLOC_FREE (e->client);
  talloc_free (e);
}

/* --- Answers ----------------------------------------------------------------------------- */

/* Guards against a failure that looks earlier, or later, than it was. */
static void
answers_map_to_results (void)
{
  static const struct
  {
    const char *answer;
    HttpResult result;
    const char *body;
  } ROWS[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", HTTP_COMPLETE, "ok" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", HTTP_COMPLETE, "" },
    { "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", HTTP_COMPLETE, "ok" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", HTTP_FAILED_PARTIAL, "ok" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", HTTP_FAILED_PARTIAL,
      "ok" },
    { NULL, HTTP_FAILED_SILENT, "" },
  };

  for (size_t i = 0; i < sizeof ROWS / sizeof ROWS[0]; i++)
    {
      Env *e = env_new ();
      CannedServer parrot;

      start (e, canned_server_start (e, &parrot, ROWS[i].answer), 10, PATIENT_MS);
      wait_for_end (e);
      CU_ASSERT_EQUAL (e->result, ROWS[i].result);
      CU_ASSERT_STRING_EQUAL (e->body, ROWS[i].body);
      CU_ASSERT_EQUAL (e->headers, ROWS[i].answer ? 1 : 0);
      CU_ASSERT_EQUAL (parrot.requests, 1);
      env_free (e);
      canned_server_stop (&parrot);
    }
}

/* Guards against body bytes that are lost or doubled by a pause. */
static void
paused_bodies_come_again (void)
{
  Env *e = env_new ();
  CannedServer parrot;

  e->pause = true;
  start (e, canned_server_start (e, &parrot, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"), 0,
         PATIENT_MS);
  while (e->pause)
    tevent_loop_once (loop_tevent (e->loop));
  http_exchange_resume (e->exchange);
  wait_for_end (e);
  CU_ASSERT_EQUAL (e->result, HTTP_COMPLETE);
  CU_ASSERT_STRING_EQUAL (e->body, "body");
  env_free (e);
  canned_server_stop (&parrot);
}

/* --- No answer --------------------------------------------------------------------------- */

/* Guards against a refused connection that counts as sent. */
static void
refused_connections_sent_nothing (void)
{
  Env *e = env_new ();

  start (e, closed_address (e), 10, PATIENT_MS);
  wait_for_end (e);
  CU_ASSERT_EQUAL (e->result, HTTP_FAILED_CONNECT);
  env_free (e);
}

static int
listen_on (Env *e, char **address)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t len = sizeof at;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL (bind (fd, (struct sockaddr *)&at, sizeof at), 0);
  CU_ASSERT_EQUAL (listen (fd, 4), 0);
  getsockname (fd, (struct sockaddr *)&at, &len);
  *address = talloc_asprintf (e, "127.0.0.1:%u", ntohs (at.sin_port));
  return fd;
}

/* Guards against a silent server that counts as not reached: the kernel has taken the request. */
static void
silent_servers_may_have_the_request (void)
{
  static const size_t BODIES[] = { 10, LARGE_BODY };

  for (size_t i = 0; i < sizeof BODIES / sizeof BODIES[0]; i++)
    {
      Env *e = env_new ();
      char *address;
      int fd = listen_on (e, &address);

      start (e, address, BODIES[i], IMPATIENT_MS);
      wait_for_end (e);
      CU_ASSERT_EQUAL (e->result, HTTP_TIMED_OUT_SILENT);
      env_free (e);
      close (fd);
    }
}

static void *
reset_first_connection (void *data)
{
  struct linger now = { 1, 0 };
  char some[4096];
  int fd = accept (*(int *)data, NULL, NULL);

  if (recv (fd, some, sizeof some, 0) <= 0)
    return NULL;
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close (fd);
  return NULL;
}

/* Guards against a connection reset in the middle of a request that counts as not reached. */
static void
resets_while_sending_may_have_run (void)
{
  Env *e = env_new ();
  char *address;
  int fd = listen_on (e, &address);
  pthread_t thread;

  CU_ASSERT_EQUAL (pthread_create (&thread, NULL, reset_first_connection, &fd), 0);
  start (e, address, LARGE_BODY, PATIENT_MS);
  wait_for_end (e);
  CU_ASSERT_EQUAL (e->result, HTTP_FAILED_SENDING);
  pthread_join (thread, NULL);
  env_free (e);
  close (fd);
}

/* Guards against a callback after the exchange was cancelled. */
static void
freed_exchanges_are_silent (void)
{
  Env *e = env_new ();
  char *address;
  int fd = listen_on (e, &address);

  start (e, address, 10, IMPATIENT_MS);
  for (int i = 0; i < 3; i++)
    tevent_loop_once (loop_tevent (e->loop));
  TALLOC_FREE (e->exchange);
  CU_ASSERT_EQUAL (e->done, 0);
  env_free (e);
  close (fd);
}

int
main (void)
{
  static const TestCase TESTS[] = {
    { "answers_map_to_results", answers_map_to_results },
    { "paused_bodies_come_again", paused_bodies_come_again },
    { "refused_connections_sent_nothing", refused_connections_sent_nothing },
    { "silent_servers_may_have_the_request", silent_servers_may_have_the_request },
    { "resets_while_sending_may_have_run", resets_while_sending_may_have_run },
    { "freed_exchanges_are_silent", freed_exchanges_are_silent },
  };

  return harness_run ("http_results", TESTS, sizeof TESTS / sizeof TESTS[0]);
}
