/* Connections to the store that go silent without a reset while new ones work, and replies that come slowly. Over the
 * loopback interface. */
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "harness.h"
#include "platform/platform_store.h"

#define MAX_CONNECTIONS 16
#define N_KEPT          3
#define CALL_TIMEOUT_MS 200

/* A reply that comes slowly: a byte after each pause. All of it takes several times the limit of a call. */
#define PAUSE_MS        20
#define N_SLOW_BYTES    40
#define STEADY_LIMIT_MS (STEADY_RESPONSE_FACTOR * CALL_TIMEOUT_MS)

#define BODY "{\"rows\":[],\"version_number\":1,\"current_time_ms\":1}"

/* A store that answers every request at once, on its own thread, but reads nothing more on the connections that were open
 * when it was told so. */
typedef struct
{
  struct pollfd fds[MAX_CONNECTIONS + 1]; /* the first one listens */
  atomic_int n;
  atomic_int n_silent; /* connections before this one are silent */
  atomic_bool stopping;
  int n_slow;  /* first bytes of the body that come slowly; the rest follows at once */
  bool is_cut; /* the rest doesn't come */
  pthread_t thread;
} SilentStore;

static void
send_bytes (int fd, const char *bytes, size_t len)
{
  CU_ASSERT_EQUAL (send (fd, bytes, len, MSG_NOSIGNAL), (ssize_t)len);
}

/* White space before a JSON value has no meaning. */
static void
send_slowly (const SilentStore *s, int fd)
{
  char head[128];
  int n = snprintf (head, sizeof head, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
                    s->n_slow + strlen (BODY));

  send_bytes (fd, head, (size_t)n);
  for (int i = 0; i < s->n_slow && !s->stopping; i++)
    {
      usleep (PAUSE_MS * 1000);
      if (send (fd, " ", 1, MSG_NOSIGNAL) < 0)
        return;
    }
  if (!s->is_cut)
    send_bytes (fd, BODY, strlen (BODY));
}

static void
answer (const SilentStore *s, int i)
{
  char request[4096];

  if (recv (s->fds[i].fd, request, sizeof request, 0) <= 0)
    {
      shutdown (s->fds[i].fd, SHUT_RDWR);
      return;
    }
  send_slowly (s, s->fds[i].fd);
}

static void *
serve (void *data)
{
  SilentStore *s = data;

  while (!s->stopping)
    {
      int n = s->n;

      poll (s->fds, (nfds_t)n, 5);
      for (int i = s->n_silent > 0 ? s->n_silent : 1; i < n; i++)
        if (s->fds[i].revents & POLLIN)
          answer (s, i);
      if ((s->fds[0].revents & POLLIN) && n <= MAX_CONNECTIONS)
        {
          s->fds[n] = (struct pollfd){ .fd = accept (s->fds[0].fd, NULL, NULL), .events = POLLIN };
          s->n = n + 1;
        }
    }
  return NULL;
}

static char *
silent_store_start (const void *ctx, SilentStore *s)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t len = sizeof at;

  *s = (SilentStore){ .n = 1 };
  s->fds[0] = (struct pollfd){ .fd = socket (AF_INET, SOCK_STREAM, 0), .events = POLLIN };
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL (bind (s->fds[0].fd, (struct sockaddr *)&at, sizeof at), 0);
  CU_ASSERT_EQUAL (listen (s->fds[0].fd, MAX_CONNECTIONS), 0);
  getsockname (s->fds[0].fd, (struct sockaddr *)&at, &len);
  CU_ASSERT_EQUAL (pthread_create (&s->thread, NULL, serve, s), 0);
  return talloc_asprintf (ctx, "127.0.0.1:%u", ntohs (at.sin_port));
}

static void
silent_store_stop (SilentStore *s)
{
  s->stopping = true;
  pthread_join (s->thread, NULL);
  for (int i = 0; i < s->n; i++)
    close (s->fds[i].fd);
}

typedef struct
{
  SilentStore server;
  Loop *loop;
  Store *store;
  int n_open; /* calls */
  int n_done;
  int n_unknown;
} Fixture;

static void
fixture_start (Fixture *f)
{
  PlatformStoreOptions options = { .call_timeout_ms = CALL_TIMEOUT_MS };

  *f = (Fixture){ .loop = loop_new (NULL) };
  options.address = silent_store_start (f->loop, &f->server);
  options.client = http_client_new (f->loop, f->loop);
  f->store = platform_store_new (f->loop, &options);
}

static void
fixture_stop (Fixture *f)
{
  talloc_free (f->store);
  talloc_free (f->loop);
  silent_store_stop (&f->server);
}

static void
on_reply (void *data, const StoreReply *reply)
{
  Fixture *f = data;

  f->n_done += reply->result == STORE_DONE;
  f->n_unknown += reply->result == STORE_UNKNOWN;
  f->n_open--;
}

/* Starts @p n calls at once and waits until all have ended. */
static void
call (Fixture *f, int n)
{
  StoreFeed feed = { .table = "op", .wait_ms = 0 };

  f->n_open = n;
  f->n_done = 0;
  f->n_unknown = 0;
  for (int i = 0; i < n; i++)
    store_feed (f->store, f->loop, &feed, on_reply, f);
  while (f->n_open > 0)
    tevent_loop_once (loop_tevent (f->loop));
}

/* Guards against a feed that waits on one dead connection after the other. */
static void
call_after_an_unanswered_one_uses_no_connection_that_was_idle_then (void)
{
  Fixture f;

  fixture_start (&f);
  call (&f, N_KEPT);
  CU_ASSERT_EQUAL (f.n_done, N_KEPT);
  CU_ASSERT_EQUAL (f.server.n, 1 + N_KEPT);
  f.server.n_silent = f.server.n;
  call (&f, 1);
  CU_ASSERT_EQUAL (f.n_unknown, 1);
  for (int i = 0; i < N_KEPT; i++)
    {
      call (&f, 1);
      CU_ASSERT_EQUAL (f.n_done, 1);
    }
  fixture_stop (&f);
}

/* Guards against a large configuration that is given up in the middle and asked for again, as often as it comes slowly. */
static void
reply_that_comes_slowly_is_read_to_its_end (void)
{
  Fixture f;

  fixture_start (&f);
  f.server.n_slow = N_SLOW_BYTES;
  call (&f, 1);
  CU_ASSERT_EQUAL (f.n_done, 1);
  fixture_stop (&f);
}

/* Guards against a call that never ends, because its reply stops in the middle or never comes to an end. */
static void
reply_that_stops_or_never_ends_is_given_up (void)
{
  for (int endless = 0; endless < 2; endless++)
    {
      Fixture f;
      int64_t started_ms;
      int64_t took_ms;

      fixture_start (&f);
      f.server.n_slow = endless ? 10 * N_SLOW_BYTES : 1;
      f.server.is_cut = true;
      started_ms = timers_now_ms (loop_timers (f.loop));
      call (&f, 1);
      took_ms = timers_now_ms (loop_timers (f.loop)) - started_ms;
      CU_ASSERT_EQUAL (f.n_unknown, 1);
      CU_ASSERT (took_ms >= (endless ? STEADY_LIMIT_MS : CALL_TIMEOUT_MS));
      CU_ASSERT (took_ms < (endless ? 2 * STEADY_LIMIT_MS : STEADY_LIMIT_MS));
      fixture_stop (&f);
    }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "call_after_an_unanswered_one_uses_no_connection_that_was_idle_then",
      call_after_an_unanswered_one_uses_no_connection_that_was_idle_then },
    { "reply_that_comes_slowly_is_read_to_its_end", reply_that_comes_slowly_is_read_to_its_end },
    { "reply_that_stops_or_never_ends_is_given_up", reply_that_stops_or_never_ends_is_given_up },
  };

  return harness_run ("silent connections", CASES, sizeof CASES / sizeof CASES[0]);
}
