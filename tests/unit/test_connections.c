/* Connections to servers that are used again: how long, and what they are worth to the choice of a server. */
#include <string.h>

#include <talloc.h>

#include "backend/keep_alive.h"
#include "dispatch/connections.h"
#include "dispatch_world.h"
#include "harness.h"

/* --- What a server promises -------------------------------------------------------------- */

typedef struct
{
  BackendCall call;
  const char *connection;
  const char *keep_alive;
} HeadCall;

static const char *
header (BackendCall *call, const char *name)
{
  HeadCall *h = (HeadCall *)call;

  if (!strcmp (name, "Connection"))
    return h->connection;
  return !strcmp (name, "Keep-Alive") ? h->keep_alive : NULL;
}

/* Guards against a connection that is used for longer than its server promised, or after it said that it
 * ends. */
static void
heads_say_how_long_a_connection_is_kept (void)
{
  static const BackendOps OPS = { .header = header };
  static const struct
  {
    const char *connection;
    const char *keep_alive;
    int64_t promised_ms;
    bool closes;
  } CASES[] = {
    { NULL, NULL, 0, false },
    { "keep-alive", "timeout=10", 10000, false },
    { NULL, "timeout=5, max=100", 5000, false },
    { NULL, "max=7, Timeout=3", 3000, false },
    { "close", "timeout=10", 10000, true },
    { "Close", NULL, 0, true },
    { NULL, "timeout=-3", 0, false },
    { NULL, "timeout=", 0, false },
    { NULL, "timeout=99999999999999999999", 3600000, false },
    { "", "soon", 0, false },
  };
  Backend backend = { &OPS };

  for (size_t i = 0; i < sizeof CASES / sizeof CASES[0]; i++)
    {
      HeadCall call = { { &backend }, CASES[i].connection, CASES[i].keep_alive };
      KeepAlive keep = keep_alive_read (&call.call);

      CU_ASSERT_EQUAL (keep.timeout_ms, CASES[i].promised_ms);
      CU_ASSERT_EQUAL (keep.closes_connection, CASES[i].closes);
    }
}

/* Guards against using a connection at the moment at which its server closes it. */
static void
promises_are_used_with_a_margin (void)
{
  Connections c = { 0 };

  CU_ASSERT_EQUAL (connections_limit_ms (&c), 2000);
  connections_promise (&c, 5000);
  CU_ASSERT_EQUAL (connections_limit_ms (&c), 3000);
  connections_promise (&c, 1000);
  CU_ASSERT_EQUAL (connections_limit_ms (&c), 2000);
  connections_promise (&c, 3600000);
  CU_ASSERT (connections_limit_ms (&c) < 10000);
}

static void
idle_connections_are_counted_until_they_are_old (void)
{
  Connections c = { 0 };

  connections_promise (&c, 5000);
  CU_ASSERT_FALSE (connections_has_idle (&c, 1000));
  connections_keep (&c, 1000);
  connections_keep (&c, 2000);
  connections_take (&c, 2500);
  CU_ASSERT_TRUE (connections_has_idle (&c, 2500));
  connections_take (&c, 2600);
  CU_ASSERT_FALSE (connections_has_idle (&c, 2600));
  connections_keep (&c, 3000);
  CU_ASSERT_FALSE (connections_has_idle (&c, 6000));
  connections_keep (&c, 9000);
  connections_take (&c, 9100);
  CU_ASSERT_FALSE (connections_has_idle (&c, 9100));
}

/* --- The choice -------------------------------------------------------------------------- */

/* Sends requests of @p gap_ms that take 100 ms, to servers whose load by other hosts varies. @return the share that went to a server that this host had
 * no connection to. */
static double
share_of_new_connections (int requests, int64_t gap_ms)
{
  DispatchWorld *w = dispatch_world_new (1, 8, "cost");
  Err err = ERR_INIT;
  int64_t kept_until[WORLD_SERVERS] = { 0 };
  int fresh = 0;

  for (int i = 0; i < requests; i++)
    {
      DispatchQuery q = { .service = w->engine, .now_ms = w->now_ms };
      Flight *f = dispatch_pick (w->hosts[0], w, &q, &err);
      int server = flight_server (f)[strlen ("server-")] - '0';

      fresh += kept_until[server] < w->now_ms;
      flight_report_connection (f, 4000, false);
      flight_report_load (f, (int)rng_below (&w->rng, 12), 0, 64, w->now_ms);
      w->now_ms += 100;
      flight_end (f, FLIGHT_DONE, w->now_ms);
      kept_until[server] = w->now_ms + 2000;
      w->now_ms += gap_ms - 100;
    }
  dispatch_world_free (w);
  return (double)fresh / requests;
}

/* Plays one of very many hosts before as many servers: it has a request every 0.7 s, and each server would get one
 * from it in 5 s. Half of all requests opened a connection. */
static void
few_requests_stay_with_few_servers (void)
{
  CU_ASSERT (share_of_new_connections (200, 700) < 0.1);
}

/* Guards against hosts that stay with a server because of its connection while it is busy. */
static void
a_connection_is_no_reason_to_wait (void)
{
  DispatchWorld *w = dispatch_world_new (1, 8, "cost");
  Err err = ERR_INIT;
  Flight *flights[64];
  int most = 0;
  int at[WORLD_SERVERS] = { 0 };

  for (int i = 0; i < 64; i++)
    {
      DispatchQuery q = { .service = w->engine, .now_ms = w->now_ms, .prompt_tokens = 2000 };
      int server;

      flights[i] = dispatch_pick (w->hosts[0], w, &q, &err);
      flight_report_connection (flights[i], 10000, false);
      server = flight_server (flights[i])[strlen ("server-")] - '0';
      at[server]++;
      most = at[server] > most ? at[server] : most;
    }
  CU_ASSERT (most <= 10);
  for (int i = 0; i < 64; i++)
    flight_end (flights[i], FLIGHT_DONE, w->now_ms);
  dispatch_world_free (w);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "heads_say_how_long_a_connection_is_kept", heads_say_how_long_a_connection_is_kept },
    { "promises_are_used_with_a_margin", promises_are_used_with_a_margin },
    { "idle_connections_are_counted_until_they_are_old",
      idle_connections_are_counted_until_they_are_old },
    { "few_requests_stay_with_few_servers", few_requests_stay_with_few_servers },
    { "a_connection_is_no_reason_to_wait", a_connection_is_no_reason_to_wait },
  };

  return harness_run ("connections", CASES, sizeof CASES / sizeof CASES[0]);
}
