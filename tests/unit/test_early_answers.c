/* Servers that answer while a long request is still being sent to them, and reset or close the connection: what has come of the
 * answer must not look like all of it. Real sockets, libcurl. */
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "harness.h"
#include "http/client.h"
#include "tunnel/tunnel_server.h"

#define BODY_BYTES   (3 << 20)
#define TIMEOUT_MS   5000
#define WAIT_LIMIT_S 30
#define HALF_OPEN_MS 30
#define N_PLAYS      4 /* of each form: when the parts arrive is left to the kernel */

typedef enum
{
  END_RESET,
  END_CLOSE, /* with unread bytes of the request it is a reset all the same */
  END_HALF_OPEN, /* the end comes in order, and the reset later: the rest of the request was still on the way */
  N_ENDS
} EndKind;

typedef enum
{
  READ_NOTHING,
  READ_SOME,
  READ_ALL_BUT_ONE,
  READ_ALL,
  N_READS
} ReadKind;

typedef struct
{
  const char *answer;
  EndKind end;
  ReadKind reads;
  bool answers_first; /* before it reads */
  int pause_ms;       /* between the answer and the end */
  bool over_helper;
  int listener;
} ServerPlan;

typedef struct
{
  Loop *loop;
  HttpClient *client;
  TunnelServer *helper;
  bool done;
  HttpResult result;
  size_t n_body;
} EarlyFixture;

static const char UNFRAMED[] = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\npart of the answer";
static const char FRAMED[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
static const char CHUNKED[]
    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n100\r\nof";
static const char AFTER_INTERIM[]
    = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\npart of the answer";

/* --- The server -------------------------------------------------------------------------- */

/* Reads until @p left bytes are to come. */
static void
read_request (int fd, size_t left)
{
  char buf[65536];
  size_t total = 0;

  while (total + left < BODY_BYTES)
    {
      size_t most = BODY_BYTES - left - total;
      ssize_t n = recv (fd, buf, most < sizeof buf ? most : sizeof buf, 0);
      char *end = n > 0 && total == 0 ? memmem (buf, (size_t)n, "\r\n\r\n", 4) : NULL;

      if (n <= 0)
        return;
      total += (size_t)n;
      if (end)
        total -= (size_t)(end - buf) + 4;
    }
}

static void
send_answer (int fd, const char *answer)
{
  if (send (fd, answer, strlen (answer), MSG_NOSIGNAL) < 0)
    fprintf (stderr, "the answer was not sent\n");
}

static void *
serve (void *data)
{
  static const size_t LEFT[N_READS]
      = { [READ_NOTHING] = BODY_BYTES, [READ_SOME] = BODY_BYTES - 65536, [READ_ALL_BUT_ONE] = 1 };
  const ServerPlan *plan = data;
  struct linger reset = { .l_onoff = 1 };
  int fd = accept (plan->listener, NULL, NULL);

  if (plan->answers_first)
    send_answer (fd, plan->answer);
  read_request (fd, LEFT[plan->reads]);
  if (!plan->answers_first)
    send_answer (fd, plan->answer);
  usleep ((useconds_t)plan->pause_ms * 1000);
  if (plan->end == END_HALF_OPEN)
    {
      shutdown (fd, SHUT_WR);
      usleep (HALF_OPEN_MS * 1000);
    }
  if (plan->end != END_CLOSE)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
  return NULL;
}

/* --- The client -------------------------------------------------------------------------- */

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  (void)exchange, (void)bytes;
  ((EarlyFixture *)data)->n_body += len;
  return true;
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  EarlyFixture *f = data;

  f->done = true;
  f->result = result;
  talloc_free (exchange);
}

static const HttpEvents EVENTS = { .body = on_body, .done = on_done };

static bool
is_host (void *data, const Address *peer)
{
  (void)data, (void)peer;
  return true;
}

static bool
is_server (void *data, const char *address)
{
  (void)data, (void)address;
  return true;
}

static TunnelHelp
help (void *data, const char *address)
{
  (void)data, (void)address;
  return TUNNEL_CONNECTS;
}

/* @return the address of a helper on the same loop. */
static char *
start_helper (EarlyFixture *f)
{
  TunnelServerOptions options = { .loop = f->loop,
                                  .listen = "127.0.0.1:0",
                                  .max_tunnels = 4,
                                  .is_host = is_host,
                                  .is_server = is_server,
                                  .help = help };

  f->helper = tunnel_server_new (f->loop, &options);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->helper);
  return talloc_asprintf (f->loop, "127.0.0.1:%u", tunnel_server_port (f->helper));
}

static HttpResult
play (ServerPlan *plan)
{
  EarlyFixture f = { .loop = loop_new (NULL) };
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t len = sizeof at;
  int64_t end_us = loop_monotonic_us () + (int64_t)WAIT_LIMIT_S * 1000000;
  HttpRequest request = { .method = "POST",
                          .body_len = BODY_BYTES,
                          .connect_timeout_ms = TIMEOUT_MS,
                          .timeout_ms = TIMEOUT_MS };
  pthread_t thread;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  plan->listener = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (bind (plan->listener, (struct sockaddr *)&at, sizeof at), 0);
  CU_ASSERT_EQUAL_FATAL (listen (plan->listener, 4), 0);
  getsockname (plan->listener, (struct sockaddr *)&at, &len);
  CU_ASSERT_EQUAL_FATAL (pthread_create (&thread, NULL, serve, plan), 0);
  f.client = http_client_new (f.loop, f.loop);
  request.url = talloc_asprintf (f.loop, "http://127.0.0.1:%u/x", ntohs (at.sin_port));
  request.body = talloc_zero_size (f.loop, BODY_BYTES);
  if (plan->over_helper)
    request.tunnel_over = start_helper (&f);
  CU_ASSERT_PTR_NOT_NULL_FATAL (http_client_start (f.client, f.client, &request, &EVENTS, &f));
  while (!f.done && loop_monotonic_us () < end_us)
    tevent_loop_once (loop_tevent (f.loop));
  CU_ASSERT_TRUE (f.done);
  pthread_join (thread, NULL);
  close (plan->listener);
  TALLOC_FREE (f.client);
  TALLOC_FREE (f.helper);
  talloc_free (f.loop);
  return f.result;
}

/* --- Cases ------------------------------------------------------------------------------- */

static void
play_form (ServerPlan *plan)
{
  bool in_order = plan->end != END_RESET && plan->reads == READ_ALL && plan->answer != CHUNKED;

  for (int i = 0; i < N_PLAYS; i++)
    {
      HttpResult result = play (plan);

      if ((result == HTTP_COMPLETE) != in_order)
        printf ("reads %d, end %d, answers first %d, pause %d, helper %d: result %d\n", plan->reads,
                plan->end, plan->answers_first, plan->pause_ms, plan->over_helper, result);
      CU_ASSERT_EQUAL (result == HTTP_COMPLETE, in_order);
    }
}

/* Each form is a number whose digits say what the server does. */
static void
play_forms (const char *answer)
{
  for (int form = 0; form < N_READS * N_ENDS * 8; form++)
    {
      ServerPlan plan = { .answer = answer,
                          .reads = (ReadKind)(form / (N_ENDS * 8)),
                          .end = (EndKind)(form / 8 % N_ENDS),
                          .answers_first = form & 1,
                          .pause_ms = form & 2 ? 20 : 0,
                          .over_helper = form & 4 };

      /* One byte that the server's kernel has, and not the server, is like none. */
      if (plan.end == END_HALF_OPEN && plan.reads == READ_ALL_BUT_ONE)
        continue;
      play_form (&plan);
    }
}

/* Guards against a part of an answer that looks complete: its server has reset the connection. */
static void
reset_during_an_upload_is_no_end_of_an_answer (void)
{
  play_forms (UNFRAMED);
}

static void
reset_during_an_upload_is_no_end_of_chunks (void)
{
  play_forms (CHUNKED);
}

static void
reset_after_an_interim_answer_is_no_end (void)
{
  play_forms (AFTER_INTERIM);
}

/* Guards against a whole answer that is lost because its server does not want the rest of the request. */
static void
answer_with_a_length_is_whole (void)
{
  for (int form = 0; form < 4; form++)
    {
      ServerPlan plan = { .answer = FRAMED,
                          .reads = READ_SOME,
                          .end = END_HALF_OPEN,
                          .answers_first = form & 1,
                          .over_helper = form & 2 };

      for (int i = 0; i < N_PLAYS; i++)
        CU_ASSERT_EQUAL (play (&plan), HTTP_COMPLETE);
    }
}

static const TestCase CASES[] = {
  { "answer_with_a_length_is_whole", answer_with_a_length_is_whole },
  { "reset_during_an_upload_is_no_end_of_an_answer",
    reset_during_an_upload_is_no_end_of_an_answer },
  { "reset_during_an_upload_is_no_end_of_chunks", reset_during_an_upload_is_no_end_of_chunks },
  { "reset_after_an_interim_answer_is_no_end", reset_after_an_interim_answer_is_no_end },
};

int
main (void)
{
  return harness_run ("early_answers", CASES, sizeof CASES / sizeof CASES[0]);
}
