/* The gate that refuses connections while the host's link is overloaded, and the listener that does
 * so. */
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "canned_server.h"
#include "entry/admission_gate.h"
#include "harness.h"
#include "http/listener.h"
#include "platform/platform_store.h"

#define LINK_BYTES_S 1250000
#define TICK_MS      20

/* --- Gate -------------------------------------------------------------------------------- */

typedef struct
{
  int64_t late;     /* bytes that were queued for more than 0.2 s */
  int64_t accepted; /* total bytes */
} LinkResult;

/* Simulates a link for ten seconds with clients that send @p offered_bytes_s; accepted bytes queue
 * in the network until the link has carried them. */
static LinkResult
run_link (int64_t configured_bytes_s, int64_t offered_bytes_s)
{
  AdmissionGate g;
  Traffic t = { 0, 0 };
  int64_t queued = 0;
  LinkResult result = { 0 };

  admission_gate_init (&g, configured_bytes_s, 0);
  for (int64_t now = TICK_MS; now <= 10000; now += TICK_MS)
    {
      int64_t capacity = LINK_BYTES_S * TICK_MS / 1000;
      int64_t bytes = g.closed ? 0 : offered_bytes_s * TICK_MS / 1000;
      int64_t carried;

      result.late += queued > LINK_BYTES_S / 5 ? bytes : 0;
      result.accepted += bytes;
      queued += bytes;
      carried = queued < capacity ? queued : capacity;
      queued -= carried;
      t.received += carried;
      if (now % 100 == 0)
        admission_gate_update (&g, t, now);
    }
  return result;
}

/* Guards against requests that all arrive late because the host accepts more than its link can
 * carry: a client sends twice the capacity. */
static void
traffic_beyond_link_capacity_is_refused (void)
{
  LinkResult without_gate = run_link (0, 2 * LINK_BYTES_S);
  LinkResult with_gate = run_link (LINK_BYTES_S, 2 * LINK_BYTES_S);

  CU_ASSERT (without_gate.late > without_gate.accepted * 8 / 10);
  CU_ASSERT (with_gate.late < with_gate.accepted / 10);
  CU_ASSERT (with_gate.accepted > 10 * LINK_BYTES_S / 2);
}

/* Guards against refused connections below the capacity of the link. */
static void
traffic_below_link_capacity_is_accepted (void)
{
  CU_ASSERT_EQUAL (run_link (LINK_BYTES_S, LINK_BYTES_S * 6 / 10).accepted,
                   run_link (0, LINK_BYTES_S * 6 / 10).accepted);
}

/* Guards against a client that no host accepts while all links are loaded. */
static void
gate_reopens_regardless_of_load (void)
{
  AdmissionGate g;
  Traffic t = { 0, 0 };
  int64_t closed_ms = 0;

  admission_gate_init (&g, LINK_BYTES_S, 0);
  for (int64_t now = 100; now <= 20000; now += 100)
    {
      t.sent += LINK_BYTES_S / 10;
      closed_ms = admission_gate_update (&g, t, now) ? 0 : closed_ms + 100;
      CU_ASSERT (closed_ms <= 1200);
    }
}

static void
on_store_reply (void *data, const StoreReply *reply)
{
  (void)reply;
  *(bool *)data = true;
}

/* Guards against connections that are refused because a large configuration arrives: refusing them does not lower
 * that load, and all hosts have it at the same time. */
static void
large_reply_of_the_store_does_not_close_the_gate (void)
{
  Loop *loop = loop_new (NULL);
  PlatformStoreOptions options
      = { .client = http_client_new (loop, loop), .call_timeout_ms = 20000 };
  StoreRange range = { .table = "op", .partition = "", .limit = 1 };
  char *body = talloc_array (loop, char, LINK_BYTES_S + 1);
  Traffic before = traffic_total ();
  bool done = false;
  CannedServer server;
  AdmissionGate g;

  memset (body, ' ', LINK_BYTES_S);
  body[LINK_BYTES_S] = '\0';
  options.address = canned_server_start (
      loop, &server,
      talloc_asprintf (loop, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", LINK_BYTES_S,
                       body));
  store_range (platform_store_new (loop, &options), loop, &range, on_store_reply, &done);
  while (!done)
    tevent_loop_once (loop_tevent (loop));
  admission_gate_init (&g, LINK_BYTES_S, 0);
  g.last_total = before;
  CU_ASSERT_TRUE (admission_gate_update (&g, traffic_total (), TICK_MS * 10));
  canned_server_stop (&server);
  talloc_free (loop);
}

/* --- Listener ---------------------------------------------------------------------------- */

static void
count_connection (void *data, int fd, const Address *peer)
{
  (void)peer;
  ++*(int *)data;
  close (fd);
}

static bool
can_connect (uint16_t port)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_port = htons (port),
                            .sin_addr = { htonl (INADDR_LOOPBACK) } };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  bool ok = connect (fd, (struct sockaddr *)&to, sizeof to) == 0;

  CU_ASSERT (ok || errno == ECONNREFUSED);
  close (fd);
  return ok;
}

/* Guards against a listener that stays closed, and against one that drops connections that were
 * complete before it closed. */
static void
listener_refuses_and_accepts_again (void)
{
  Loop *loop = loop_new (NULL);
  int accepted = 0;
  ListenerOptions options
      = { .loop = loop, .listen = "127.0.0.1:0", .on_accept = count_connection, .data = &accepted };
  Listener *l = listener_new (loop, &options);
  uint16_t port;

  CU_ASSERT_PTR_NOT_NULL_FATAL (l);
  port = listener_port (l);
  CU_ASSERT (can_connect (port));
  listener_refuse (l, true);
  CU_ASSERT_EQUAL (accepted, 1);
  CU_ASSERT_FALSE (can_connect (port));
  listener_refuse (l, false);
  CU_ASSERT (can_connect (port));
  listener_pause (l, true);
  CU_ASSERT (can_connect (port));
  listener_pause (l, false);
  for (int i = 0; i < 20 && accepted < 3; i++)
    tevent_loop_once (loop_tevent (loop));
  CU_ASSERT_EQUAL (accepted, 3);
  talloc_free (loop);
}

int
main (void)
{
  static const TestCase CASES[]
      = { { "traffic_beyond_link_capacity_is_refused", traffic_beyond_link_capacity_is_refused },
          { "traffic_below_link_capacity_is_accepted", traffic_below_link_capacity_is_accepted },
          { "gate_reopens_regardless_of_load", gate_reopens_regardless_of_load },
          { "large_reply_of_the_store_does_not_close_the_gate",
            large_reply_of_the_store_does_not_close_the_gate },
          { "listener_refuses_and_accepts_again", listener_refuses_and_accepts_again } };

  return harness_run ("admission_gate", CASES, sizeof CASES / sizeof CASES[0]);
}
