/* Refusing connections by the load of the host's link, and the port that does it. */
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "entry/gate.h"
#include "harness.h"
#include "http/listener.h"

#define LINK    1250000
#define TICK_MS 20

/* --- The decision ------------------------------------------------------------------------ */

typedef struct
{
  int64_t late;  /* bytes that waited for more than 0.2 s */
  int64_t taken; /* bytes in all */
} Played;

/* Ten seconds of a link that is offered @p offered bytes a second; what is taken waits in the network until the
 * link has carried it. */
static Played
play (int64_t known_link, int64_t offered)
{
  Gate g;
  Traffic t = { 0, 0 };
  int64_t waiting = 0;
  Played p = { 0 };

  gate_init (&g, known_link, 0);
  for (int64_t now = TICK_MS; now <= 10000; now += TICK_MS)
    {
      int64_t room = LINK * TICK_MS / 1000;
      int64_t bytes = g.closed ? 0 : offered * TICK_MS / 1000;
      int64_t carried;

      p.late += waiting > LINK / 5 ? bytes : 0;
      p.taken += bytes;
      waiting += bytes;
      carried = waiting < room ? waiting : room;
      waiting -= carried;
      t.received += carried;
      if (now % 100 == 0)
        gate_update (&g, t, now);
    }
  return p;
}

/* Plays a client that sends twice what the link carries. Guards against requests that all come late because the
 * host takes more than it can. */
static void
what_a_link_cannot_carry_is_refused (void)
{
  Played without = play (0, 2 * LINK);
  Played with = play (LINK, 2 * LINK);

  CU_ASSERT (without.late > without.taken * 8 / 10);
  CU_ASSERT (with.late < with.taken / 10);
  CU_ASSERT (with.taken > 10 * LINK / 2);
}

/* Guards against refusals while there is room. */
static void
what_a_link_carries_is_taken (void)
{
  CU_ASSERT_EQUAL (play (LINK, LINK * 6 / 10).taken, play (0, LINK * 6 / 10).taken);
}

/* Guards against a client that finds no host at all while every link is loaded. */
static void
a_gate_opens_again_whatever_the_load (void)
{
  Gate g;
  Traffic t = { 0, 0 };
  int64_t closed_ms = 0;

  gate_init (&g, LINK, 0);
  for (int64_t now = 100; now <= 20000; now += 100)
    {
      t.sent += LINK / 10;
      closed_ms = gate_update (&g, t, now) ? 0 : closed_ms + 100;
      CU_ASSERT (closed_ms <= 1200);
    }
}

/* --- The port ---------------------------------------------------------------------------- */

static void
count (void *data, int fd, const Address *peer)
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

/* Guards against a port that stays closed, and against connections that were complete before it closed and are
 * cut off. */
static void
a_port_refuses_and_takes_connections_again (void)
{
  Loop *loop = loop_new (NULL);
  int taken = 0;
  ListenerOptions options
      = { .loop = loop, .listen = "127.0.0.1:0", .on_accept = count, .data = &taken };
  Listener *l = listener_new (loop, &options);
  uint16_t port;

  CU_ASSERT_PTR_NOT_NULL_FATAL (l);
  port = listener_port (l);
  CU_ASSERT (can_connect (port));
  listener_refuse (l, true);
  CU_ASSERT_EQUAL (taken, 1);
  CU_ASSERT_FALSE (can_connect (port));
  listener_refuse (l, false);
  CU_ASSERT (can_connect (port));
  listener_pause (l, true);
  CU_ASSERT (can_connect (port));
  listener_pause (l, false);
  for (int i = 0; i < 20 && taken < 3; i++)
    tevent_loop_once (loop_tevent (loop));
  CU_ASSERT_EQUAL (taken, 3);
  talloc_free (loop);
}

int
main (void)
{
  static const TestCase CASES[]
      = { { "what_a_link_cannot_carry_is_refused", what_a_link_cannot_carry_is_refused },
          { "what_a_link_carries_is_taken", what_a_link_carries_is_taken },
          { "a_gate_opens_again_whatever_the_load", a_gate_opens_again_whatever_the_load },
          { "a_port_refuses_and_takes_connections_again",
            a_port_refuses_and_takes_connections_again } };

  return harness_run ("gate", CASES, sizeof CASES / sizeof CASES[0]);
}
