/* Tests of the TCP transport between hosts, over loopback. The cases wait for a condition, not for a
 * fixed time. */
#include "harness.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <math.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <talloc.h>

#include "core/loop.h"
#include "core/address.h"
#include "peer/frame.h"
#include "peer/peer_tcp.h"

#define WAIT_LIMIT_S     60
#define WAKE_INTERVAL_MS 5
#define MAX_RECORDED     4096

typedef struct
{
  void *ctx;
  Loop *loop;
  PeerTcp *a;
  PeerTcp *b;
  int n_received; /* envelopes passed to the peers' common handler */
  uint64_t ids[MAX_RECORDED];
  char from[64];
  uint64_t incarnation;
} PeerFixture;

/* A loopback address of this process only: a port that a case closes and binds again cannot be taken
 * by another test program that runs at the same time. */
static char loopback_ip[16];

static void
on_envelope (void *data, const Pond__Envelope *env)
{
  PeerFixture *f = data;

  if (f->n_received < MAX_RECORDED && env->body_case == POND__ENVELOPE__BODY_BALANCE_ASK)
    f->ids[f->n_received] = env->balance_ask->id;
  f->n_received++;
  snprintf (f->from, sizeof f->from, "%s", env->from);
  f->incarnation = env->from_incarnation;
}

static void
wake_loop (void *data)
{
  (void)data;
}

/* Runs the loop until the condition holds. A timer wakes the loop, so that the limit is checked. */
#define WAIT_FOR(f, condition)                                                                     \
  do                                                                                               \
    {                                                                                              \
      int64_t end_us = loop_monotonic_us () + (int64_t)WAIT_LIMIT_S * 1000000;                     \
      while (!(condition) && loop_monotonic_us () < end_us)                                        \
        {                                                                                          \
          timers_start (loop_timers ((f)->loop), (f)->ctx, WAKE_INTERVAL_MS, wake_loop, NULL);     \
          tevent_loop_once (loop_tevent ((f)->loop));                                              \
        }                                                                                          \
      CU_ASSERT_TRUE (condition);                                                                  \
  } while (0)

static PeerTcp *
start_peer (PeerFixture *f, const char *name, uint64_t incarnation, uint16_t port,
            const PeerTcpOptions *base)
{
  PeerTcpOptions options = *base;

  options.name = name;
  options.incarnation = incarnation;
  options.listen = talloc_asprintf (f->ctx, "%s:%u", loopback_ip, port);
  return peer_tcp_new (f->ctx, f->loop, &options, on_envelope, f);
}

static void
set_peer_address (PeerFixture *f, PeerTcp *to, const char *name, uint16_t port)
{
  CU_ASSERT_TRUE (
      peer_tcp_set_address (to, name, talloc_asprintf (f->ctx, "%s:%u", loopback_ip, port)));
}

static PeerFixture *
fixture_new (const PeerTcpOptions *options)
{
  PeerFixture *f = talloc_zero (NULL, PeerFixture);

  f->ctx = f;
  f->loop = loop_new (f);
  f->a = start_peer (f, "a", 11, 0, options);
  f->b = start_peer (f, "b", 22, 0, options);
  set_peer_address (f, f->a, "b", peer_tcp_port (f->b));
  set_peer_address (f, f->b, "a", peer_tcp_port (f->a));
  return f;
}

static void
fixture_free (PeerFixture *f)
{
  TALLOC_FREE (f->a);
  TALLOC_FREE (f->b);
  talloc_free (f);
}

static void
send_balance_ask (PeerTcp *from, const char *to, uint64_t id, const char *padding)
{
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__BalanceAsk ask = POND__BALANCE_ASK__INIT;

  ask.id = id;
  ask.account = (char *)padding;
  env.body_case = POND__ENVELOPE__BODY_BALANCE_ASK;
  env.balance_ask = &ask;
  peer_transport_send (peer_tcp_transport (from), to, &env);
}

static const PeerTcpOptions DEFAULTS = PEER_TCP_OPTIONS_INIT;

/* Guards against messages that are lost, reordered or miscounted on a healthy connection. */
static void
messages_arrive_in_order (void)
{
  PeerFixture *f = fixture_new (&DEFAULTS);

  for (uint64_t i = 0; i < 1000; i++)
    send_balance_ask (f->a, "b", i, "b");
  WAIT_FOR (f, f->n_received >= 1000);
  for (uint64_t i = 0; i < 1000; i++)
    CU_ASSERT_EQUAL (f->ids[i], i);
  CU_ASSERT_STRING_EQUAL (f->from, "a");
  CU_ASSERT_EQUAL (f->incarnation, 11);
  CU_ASSERT_EQUAL (peer_tcp_stats (f->a)->connects, 1);
  CU_ASSERT_EQUAL (peer_tcp_stats (f->a)->sent_messages, 1000);
  CU_ASSERT_EQUAL (peer_tcp_stats (f->a)->sent_bytes, peer_tcp_stats (f->b)->received_bytes);
  fixture_free (f);
}

/* Guards against truncating or rejecting a frame that is larger than one read. */
static void
large_frames_arrive (void)
{
  PeerFixture *f = fixture_new (&DEFAULTS);
  char *padding = talloc_zero_size (f, 900000);

  memset (padding, 'x', 899999);
  send_balance_ask (f->a, "b", 1, padding);
  send_balance_ask (f->a, "b", 2, "b");
  WAIT_FOR (f, f->n_received == 2);
  fixture_free (f);
}

/* Guards against an oversized message that closes the connection and so loses other messages. */
static void
oversized_messages_are_dropped_by_the_sender (void)
{
  PeerFixture *f = fixture_new (&DEFAULTS);
  size_t size = DEFAULTS.max_frame_bytes + 1;
  char *padding = talloc_zero_size (f, size + 1);

  memset (padding, 'x', size);
  send_balance_ask (f->a, "b", 1, padding);
  send_balance_ask (f->a, "b", 2, "b");
  WAIT_FOR (f, f->n_received == 1);
  CU_ASSERT_EQUAL (f->ids[0], 2);
  CU_ASSERT_EQUAL (peer_tcp_stats (f->a)->dropped[PEER_DROP_TOO_LONG], 1);
  fixture_free (f);
}

/* --- Raw bytes --------------------------------------------------------------------------- */

static int
open_raw_connection (const PeerFixture *f)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (peer_tcp_port (f->b)) };

  inet_pton (AF_INET, loopback_ip, &address.sin_addr);
  CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&address, sizeof address), 0);
  return fd;
}

static size_t
encode_frame (uint8_t *out, const char *from, const char *to, Pond__Envelope__BodyCase kind)
{
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__BalanceAsk ask = POND__BALANCE_ASK__INIT;
  Pond__BalanceGive give = POND__BALANCE_GIVE__INIT;
  size_t len;

  env.from = (char *)from;
  env.from_incarnation = 1;
  env.to = (char *)to;
  env.body_case = kind;
  if (kind == POND__ENVELOPE__BODY_BALANCE_ASK)
    env.balance_ask = &ask;
  else
    env.balance_give = &give;
  len = pond__envelope__pack (&env, out + FRAME_HEADER_BYTES);
  frame_write_header (out, (uint32_t)len);
  return len + FRAME_HEADER_BYTES;
}

static bool
is_closed (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_DONTWAIT) == 0;
}

/* Guards against a reader that fails if a frame arrives in several reads. */
static void
frames_in_several_reads_are_assembled (void)
{
  PeerFixture *f = fixture_new (&DEFAULTS);
  uint8_t frame[256];
  size_t len = encode_frame (frame, "a", "b", POND__ENVELOPE__BODY_BALANCE_ASK);
  int fd = open_raw_connection (f);

  for (size_t i = 0; i < len; i++)
    {
      CU_ASSERT_EQUAL (write (fd, frame + i, 1), 1);
      tevent_loop_once (loop_tevent (f->loop));
    }
  WAIT_FOR (f, f->n_received == 1);
  close (fd);
  fixture_free (f);
}

/* Guards against malformed input that is parsed further, that causes an allocation of the stated length
 * or that leaves the connection open. */
static void
bad_frames_close_the_connection (void)
{
  static const struct
  {
    const char *bytes;
    size_t len;
  } ROWS[] = {
    { "\xff\xff\xff\xff", 4 },                   /* longer than the limit */
    { "\x00\x10\x00\x01", 4 },                   /* one byte longer than the limit */
    { "\x00\x00\x00\x00", 4 },                   /* empty */
    { "\x00\x00\x00\x03\xff\xff\xff", 7 },       /* not a protobuf message */
    { "\x00\x00\x00\x02\x0a\x7f", 6 },           /* field longer than the frame */
    { "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 27 }, /* another protocol */
    { "\x00\x00\x00\x04\x52\x02\x22\xff", 8 },   /* malformed nested message */
  };

  for (size_t i = 0; i < sizeof ROWS / sizeof ROWS[0]; i++)
    {
      PeerFixture *f = fixture_new (&DEFAULTS);
      int fd = open_raw_connection (f);

      CU_ASSERT_EQUAL (write (fd, ROWS[i].bytes, ROWS[i].len), (ssize_t)ROWS[i].len);
      WAIT_FOR (f, is_closed (fd));
      CU_ASSERT_EQUAL (peer_tcp_stats (f->b)->bad_frames, 1);
      CU_ASSERT_EQUAL (f->n_received, 0);
      send_balance_ask (f->a, "b", 1, "b");
      WAIT_FOR (f, f->n_received == 1);
      close (fd);
      fixture_free (f);
    }
}

/* Guards against passing messages from unknown hosts, or for another host, to the handler. */
static void
unknown_senders_and_misdirected_messages_are_dropped (void)
{
  static const struct
  {
    const char *from;
    const char *to;
    Pond__Envelope__BodyCase kind;
    int handled;
    PeerDrop reason;
  } ROWS[] = {
    { "a", "b", POND__ENVELOPE__BODY_BALANCE_GIVE, 1, 0 },
    { "unknown", "b", POND__ENVELOPE__BODY_BALANCE_GIVE, 0, PEER_DROP_UNKNOWN_SENDER },
    { "unknown", "b", POND__ENVELOPE__BODY_BALANCE_ASK, 0, PEER_DROP_UNKNOWN_SENDER },
    { "", "b", POND__ENVELOPE__BODY_BALANCE_GIVE, 0, PEER_DROP_UNKNOWN_SENDER },
    { "a", "c", POND__ENVELOPE__BODY_BALANCE_ASK, 0, PEER_DROP_MISDIRECTED },
    { "a", "", POND__ENVELOPE__BODY_BALANCE_ASK, 0, PEER_DROP_MISDIRECTED },
  };

  for (size_t i = 0; i < sizeof ROWS / sizeof ROWS[0]; i++)
    {
      PeerFixture *f = fixture_new (&DEFAULTS);
      uint8_t frame[256];
      size_t len = encode_frame (frame, ROWS[i].from, ROWS[i].to, ROWS[i].kind);
      int fd = open_raw_connection (f);

      CU_ASSERT_EQUAL (write (fd, frame, len), (ssize_t)len);
      WAIT_FOR (f, peer_tcp_stats (f->b)->received_messages == 1);
      CU_ASSERT_EQUAL (f->n_received, ROWS[i].handled);
      if (!ROWS[i].handled)
        CU_ASSERT_EQUAL (peer_tcp_stats (f->b)->dropped[ROWS[i].reason], 1);
      close (fd);
      fixture_free (f);
    }
}

static void
send_limit (PeerTcp *from, double requests_per_s, int64_t age_ms)
{
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__ServerLimited m = POND__SERVER_LIMITED__INIT;

  m.requests_per_s = requests_per_s;
  m.age_ms = age_ms;
  env.body_case = POND__ENVELOPE__BODY_SERVER_LIMITED;
  env.server_limited = &m;
  peer_transport_send (peer_tcp_transport (from), "b", &env);
}

static void
send_give (PeerTcp *from, int64_t tokens, int64_t left)
{
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__BalanceGive m = POND__BALANCE_GIVE__INIT;

  m.tokens = tokens;
  m.left = left;
  env.body_case = POND__ENVELOPE__BODY_BALANCE_GIVE;
  env.balance_give = &m;
  peer_transport_send (peer_tcp_transport (from), "b", &env);
}

static void
send_age (PeerTcp *from, Pond__Envelope__BodyCase kind, int64_t age_ms)
{
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__RequestCut cut = POND__REQUEST_CUT__INIT;
  Pond__RequestSound sound = POND__REQUEST_SOUND__INIT;
  Pond__RotationTold told = POND__ROTATION_TOLD__INIT;

  cut.age_ms = sound.age_ms = told.out_ms = age_ms;
  env.body_case = kind;
  if (kind == POND__ENVELOPE__BODY_REQUEST_CUT)
    env.request_cut = &cut;
  else if (kind == POND__ENVELOPE__BODY_REQUEST_SOUND)
    env.request_sound = &sound;
  else
    env.rotation_told = &told;
  peer_transport_send (peer_tcp_transport (from), "b", &env);
}

/* Guards against times and amounts that overflow, and limits that are no number, in what a host makes of a message. */
static void
messages_with_numbers_beyond_their_range_are_dropped (void)
{
  static const int64_t ENDS[] = { INT64_MIN, INT64_MAX };
  PeerFixture *f = fixture_new (&DEFAULTS);
  const PeerStats *stats = peer_tcp_stats (f->b);
  int n = 0;

  for (size_t i = 0; i < sizeof ENDS / sizeof ENDS[0]; i++, n += 6)
    {
      send_limit (f->a, 2, ENDS[i]);
      send_give (f->a, ENDS[i], 0);
      send_give (f->a, 5, ENDS[i]);
      send_age (f->a, POND__ENVELOPE__BODY_REQUEST_CUT, ENDS[i]);
      send_age (f->a, POND__ENVELOPE__BODY_REQUEST_SOUND, ENDS[i]);
      send_age (f->a, POND__ENVELOPE__BODY_ROTATION_TOLD, ENDS[i]);
    }
  send_limit (f->a, (double)INFINITY, 5);
  send_limit (f->a, (double)NAN, 5);
  send_limit (f->a, -1, 5);
  send_give (f->a, -1, 5);
  WAIT_FOR (f, stats->received_messages == n + 4);
  CU_ASSERT_EQUAL (f->n_received, 0);
  CU_ASSERT_EQUAL (stats->dropped[PEER_DROP_OUT_OF_RANGE], n + 4);
  send_limit (f->a, 100000, -20);
  send_limit (f->a, 0, 3600000);
  send_give (f->a, 0, -5);
  send_give (f->a, (int64_t)1 << 53, 0);
  send_age (f->a, POND__ENVELOPE__BODY_REQUEST_CUT, -1);
  send_age (f->a, POND__ENVELOPE__BODY_REQUEST_SOUND, 86400000);
  send_age (f->a, POND__ENVELOPE__BODY_ROTATION_TOLD, 0);
  WAIT_FOR (f, f->n_received == 7);
  fixture_free (f);
}

/* --- Failures ---------------------------------------------------------------------------- */

/* Guards against a connection that is never re-established after its peer's restart. */
static void
connection_recovers_after_peer_restart (void)
{
  PeerFixture *f = fixture_new (&DEFAULTS);
  uint16_t port = peer_tcp_port (f->b);
  uint64_t id = 1;

  for (uint64_t incarnation = 23; incarnation < 26; incarnation++)
    {
      int before = f->n_received;

      send_balance_ask (f->a, "b", id++, "b");
      WAIT_FOR (f, f->n_received > before);
      TALLOC_FREE (f->b);
      send_balance_ask (f->a, "b", id++, "b");
      send_balance_ask (f->a, "b", id++, "b");
      WAIT_FOR (f, peer_tcp_stats (f->a)->connect_failures > 0);
      f->b = start_peer (f, "b", incarnation, port, &DEFAULTS);
      CU_ASSERT_PTR_NOT_NULL_FATAL (f->b);
      set_peer_address (f, f->b, "a", peer_tcp_port (f->a));
      before = f->n_received;
      WAIT_FOR (f, (send_balance_ask (f->a, "b", id++, "b"), f->n_received > before));
    }
  fixture_free (f);
}

/* A proxy on the way to b whose kernel acknowledges everything. Of its first connection it passes nothing on. */
typedef struct
{
  int fd;
  uint16_t port;
  int n_connections;
  int in; /* the newest connection */
  int out;
} Proxy;

static void
pass_bytes (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  const Proxy *p = data;
  char bytes[4096];
  ssize_t n = recv (p->in, bytes, sizeof bytes, MSG_DONTWAIT);

  (void)ev, (void)flags;
  if (n <= 0)
    {
      tevent_fd_set_flags (fde, 0);
      return;
    }
  CU_ASSERT_EQUAL (send (p->out, bytes, (size_t)n, 0), n);
}

static void
accept_connection (PeerFixture *f, Proxy *p)
{
  int fd = accept (p->fd, NULL, NULL);

  if (fd < 0)
    return;
  p->n_connections++;
  if (p->n_connections == 1)
    return;
  p->in = fd;
  p->out = open_raw_connection (f);
  tevent_add_fd (loop_tevent (f->loop), f->ctx, fd, TEVENT_FD_READ, pass_bytes, p);
}

static void
proxy_open (Proxy *p)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;

  p->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  inet_pton (AF_INET, loopback_ip, &address.sin_addr);
  CU_ASSERT_EQUAL (bind (p->fd, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL (listen (p->fd, 8), 0);
  CU_ASSERT_EQUAL (getsockname (p->fd, (struct sockaddr *)&address, &len), 0);
  p->port = ntohs (address.sin_port);
}

/* Guards against messages that are lost for as long as a connection seems alive to the kernel only. */
static void
connection_that_is_silent_behind_a_proxy_is_replaced (void)
{
  PeerTcpOptions options = DEFAULTS;
  PeerFixture *f;
  Proxy p = { 0 };

  options.unheard_limit_ms = 300;
  f = fixture_new (&options);
  proxy_open (&p);
  set_peer_address (f, f->a, "b", p.port);
  WAIT_FOR (f,
            (send_balance_ask (f->a, "b", 1, "b"), accept_connection (f, &p), f->n_received > 0));
  CU_ASSERT_EQUAL (p.n_connections, 2);
  fixture_free (f);
  close (p.fd);
}

/* Guards against a connection that is replaced although its peer has been heard from. */
static void
connection_to_a_peer_that_is_heard_stays (void)
{
  PeerTcpOptions options = DEFAULTS;
  PeerFixture *f;
  int64_t stop_us = loop_monotonic_us () + 1000000;

  options.unheard_limit_ms = 300;
  f = fixture_new (&options);
  WAIT_FOR (f, (send_balance_ask (f->a, "b", 1, "b"), send_balance_ask (f->b, "a", 1, "a"),
                loop_monotonic_us () > stop_us));
  CU_ASSERT_EQUAL (peer_tcp_stats (f->a)->connects, 1);
  CU_ASSERT_EQUAL (peer_tcp_stats (f->b)->connects, 1);
  fixture_free (f);
}

/* Guards against an address change after which the old connection stays in use. */
static void
address_change_moves_the_connection (void)
{
  PeerFixture *f = fixture_new (&DEFAULTS);
  PeerTcp *moved;

  send_balance_ask (f->a, "b", 1, "b");
  WAIT_FOR (f, f->n_received == 1);
  moved = start_peer (f, "b", 30, 0, &DEFAULTS);
  set_peer_address (f, moved, "a", peer_tcp_port (f->a));
  set_peer_address (f, f->a, "b", peer_tcp_port (moved));
  send_balance_ask (f->a, "b", 2, "b");
  WAIT_FOR (f, peer_tcp_stats (moved)->received_messages == 1);
  peer_tcp_remove_host (f->a, "b");
  send_balance_ask (f->a, "b", 3, "b");
  CU_ASSERT_EQUAL (peer_tcp_stats (f->a)->dropped[PEER_DROP_UNKNOWN_HOST], 1);
  CU_ASSERT_FALSE (peer_tcp_set_address (f->a, "c", "localhost:1"));
  talloc_free (moved);
  fixture_free (f);
}

/* Guards against an unbounded queue, and against dropping the newest messages instead of the oldest. */
static void
full_queues_drop_the_oldest (void)
{
  PeerTcpOptions options = DEFAULTS;
  PeerFixture *f;
  PeerTcp *a;

  options.max_queue_bytes = 2000;
  f = fixture_new (&options);
  a = f->a;
  /* Nothing is written before the loop runs, so all of them pass through the queue. */
  for (uint64_t i = 0; i < 500; i++)
    send_balance_ask (a, "b", i, "b");
  CU_ASSERT (peer_tcp_stats (a)->dropped[PEER_DROP_OVERFLOW] > 300);
  WAIT_FOR (f, f->n_received > 0 && f->ids[f->n_received - 1] == 499);
  CU_ASSERT_EQUAL (f->n_received + peer_tcp_stats (a)->dropped[PEER_DROP_OVERFLOW], 500);
  CU_ASSERT_EQUAL (f->ids[0], 500 - (uint64_t)f->n_received);
  fixture_free (f);
}

/* Guards against unbounded growth of the queue for a peer that accepts a connection but never reads. */
static void
queue_is_bounded_for_a_peer_that_never_reads (void)
{
  PeerTcpOptions options = DEFAULTS;
  PeerFixture *f;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t len = sizeof address;
  char *padding;

  options.max_queue_bytes = 500000;
  f = fixture_new (&options);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  CU_ASSERT_EQUAL (bind (listener, (struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL (listen (listener, 1), 0);
  getsockname (listener, (struct sockaddr *)&address, &len);
  set_peer_address (f, f->a, "stalled", ntohs (address.sin_port));
  padding = talloc_zero_size (f, 100000);
  memset (padding, 'x', 99999);
  WAIT_FOR (f, (send_balance_ask (f->a, "stalled", 1, padding),
                peer_tcp_stats (f->a)->dropped[PEER_DROP_OVERFLOW] > 20));
  send_balance_ask (f->a, "b", 7, "b");
  WAIT_FOR (f, f->n_received == 1);
  close (listener);
  fixture_free (f);
}

/* Guards against accepting connections without a limit, which would exhaust the file descriptors. */
static void
connections_above_the_limit_are_rejected (void)
{
  PeerTcpOptions options = DEFAULTS;
  PeerFixture *f;
  int fds[3];

  options.max_incoming_connections = 2;
  f = fixture_new (&options);
  for (int i = 0; i < 3; i++)
    fds[i] = open_raw_connection (f);
  WAIT_FOR (f, peer_tcp_stats (f->b)->rejected_connections == 1);
  WAIT_FOR (f, is_closed (fds[2]));
  close (fds[0]);
  close (fds[1]);
  WAIT_FOR (f, (send_balance_ask (f->a, "b", 1, "b"), f->n_received > 0));
  close (fds[2]);
  fixture_free (f);
}

/* Guards against accepting malformed addresses, and against resolving host names. */
static void
addresses_must_be_numeric (void)
{
  static const struct
  {
    const char *text;
    bool ok;
  } ROWS[] = {
    { "127.0.0.1:80", true },
    { "[::1]:80", true },
    { "127.0.0.1:0", true },
    { "127.0.0.1", false },
    { "127.0.0.1:", false },
    { "127.0.0.1:65536", false },
    { "127.0.0.1:8x", false },
    { "localhost:80", false },
    { ":80", false },
    { "::1:80", false },
    { "[::1:80", false },
    { "127.0.0.1:-1", false },
    { "", false },
  };

  for (size_t i = 0; i < sizeof ROWS / sizeof ROWS[0]; i++)
    {
      Address address;

      CU_ASSERT_EQUAL (address_parse (ROWS[i].text, &address), ROWS[i].ok);
    }
}

int
main (void)
{
  static const TestCase TESTS[] = {
    { "messages_arrive_in_order", messages_arrive_in_order },
    { "large_frames_arrive", large_frames_arrive },
    { "oversized_messages_are_dropped_by_the_sender",
      oversized_messages_are_dropped_by_the_sender },
    { "frames_in_several_reads_are_assembled", frames_in_several_reads_are_assembled },
    { "bad_frames_close_the_connection", bad_frames_close_the_connection },
    { "messages_with_numbers_beyond_their_range_are_dropped",
      messages_with_numbers_beyond_their_range_are_dropped },
    { "unknown_senders_and_misdirected_messages_are_dropped",
      unknown_senders_and_misdirected_messages_are_dropped },
    { "connection_that_is_silent_behind_a_proxy_is_replaced",
      connection_that_is_silent_behind_a_proxy_is_replaced },
    { "connection_to_a_peer_that_is_heard_stays", connection_to_a_peer_that_is_heard_stays },
    { "connection_recovers_after_peer_restart", connection_recovers_after_peer_restart },
    { "address_change_moves_the_connection", address_change_moves_the_connection },
    { "full_queues_drop_the_oldest", full_queues_drop_the_oldest },
    { "queue_is_bounded_for_a_peer_that_never_reads",
      queue_is_bounded_for_a_peer_that_never_reads },
    { "connections_above_the_limit_are_rejected", connections_above_the_limit_are_rejected },
    { "addresses_must_be_numeric", addresses_must_be_numeric },
  };

  snprintf (loopback_ip, sizeof loopback_ip, "127.1.%d.%d", (getpid () >> 7) & 127,
            1 + (getpid () & 127));
  return harness_run ("peer", TESTS, sizeof TESTS / sizeof TESTS[0]);
}
