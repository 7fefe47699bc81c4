/* Leaving the balancer's rotation by the load of the host's link. */

#include "entry/rotation.h"
#include "harness.h"

#define LINK    1250000
#define TICK_MS 100
#define HOSTS   12

/* Guards against a host that keeps asking for connections while its link has no room for them, or that
 * comes back before the balancer has noticed that it left. */
static void
a_loaded_host_leaves_and_stays_away (void)
{
  Rotation r;
  Traffic t = { 0, 0 };
  int64_t now = 1000;
  int64_t left = 0;

  rotation_init (&r, LINK, now);
  for (int i = 0; i < 30 && !left; i++)
    {
      now += TICK_MS;
      t.received += LINK / 10 * 8 / 10;
      if (!rotation_update (&r, t, now))
        left = now;
    }
  CU_ASSERT (left > 0 && left <= 3000);
  while (!rotation_update (&r, t, now) && now < 60000)
    now += TICK_MS;
  CU_ASSERT (now - left >= 3000);
  CU_ASSERT (rotation_is_in (&r));
}

/* Guards against leaving for one large request, or for a load that the link carries. */
static void
short_bursts_and_low_load_change_nothing (void)
{
  Rotation r;
  Traffic t = { 0, 0 };
  int64_t now = 1000;

  rotation_init (&r, LINK, now);
  for (int i = 0; i < 300; i++)
    {
      now += TICK_MS;
      t.sent += i % 50 == 0 ? LINK / 10 * 2 : LINK / 10 / 5;
      CU_ASSERT (rotation_update (&r, t, now));
    }
}

/* Guards against decisions from a guess: without a known link a host never leaves. */
static void
a_host_that_does_not_know_its_link_never_leaves (void)
{
  Rotation r;
  Traffic t = { 0, 0 };

  rotation_init (&r, 0, 0);
  for (int64_t now = TICK_MS; now < 5000; now += TICK_MS)
    {
      t.received += 100 * LINK;
      CU_ASSERT (rotation_update (&r, t, now));
    }
}

/* Guards against a frozen host that takes the traffic of the whole pause for that of one tick, or that
 * forgets on waking that it was loaded. */
static void
a_pause_counts_as_time (void)
{
  Rotation r;
  Traffic t = { LINK / 2, 0 };

  rotation_init (&r, LINK, 0);
  CU_ASSERT (rotation_update (&r, t, 8000));
  CU_ASSERT (r.rate < LINK / 10);
}

/* --- One data centre --------------------------------------------------------------------- */

typedef struct
{
  Rotation rotation;
  Traffic traffic;
  int misses;
  bool out; /* as the balancer sees it */
} Host;

/* The balancer asks once a second and takes a host out after two misses; with fewer than half in the
 * rotation it uses all. */
static void
ask (Host *hosts)
{
  for (int i = 0; i < HOSTS; i++)
    {
      hosts[i].misses = rotation_is_in (&hosts[i].rotation) ? 0 : hosts[i].misses + 1;
      hosts[i].out = hosts[i].misses >= 2;
    }
}

/* What the balancer's choice looked like on the day below: parts of 100 for the first two hosts, the rest
 * to all others alike. */
static int
weight (int host)
{
  static const int FIRST[] = { 70, 20 };

  return host < 2 ? FIRST[host] : 1;
}

static void
spread (Host *hosts, int64_t bytes)
{
  int sum = 0;
  int in = 0;

  for (int i = 0; i < HOSTS; i++)
    in += !hosts[i].out;
  for (int i = 0; i < HOSTS; i++)
    sum += hosts[i].out && 2 * in >= HOSTS ? 0 : weight (i);
  for (int i = 0; i < HOSTS; i++)
    if (!hosts[i].out || 2 * in < HOSTS)
      hosts[i].traffic.received += bytes * weight (i) / sum;
}

/* @return the bytes beyond 60 % of a host's link in a minute with 1.2 MB a second for all hosts. */
static int64_t
bytes_beyond_the_links (int64_t known_link)
{
  Host hosts[HOSTS] = { 0 };
  int64_t beyond = 0;

  for (int i = 0; i < HOSTS; i++)
    rotation_init (&hosts[i].rotation, known_link, 0);
  for (int64_t now = TICK_MS; now <= 60000; now += TICK_MS)
    {
      if (now % 1000 == 0)
        ask (hosts);
      spread (hosts, 1200000 * TICK_MS / 1000);
      for (int i = 0; i < HOSTS; i++)
        {
          int64_t bytes = hosts[i].traffic.received - hosts[i].rotation.last.received;
          int64_t room = LINK * 6 / 10 * TICK_MS / 1000;

          beyond += bytes > room ? bytes - room : 0;
          rotation_update (&hosts[i].rotation, hosts[i].traffic, now);
        }
    }
  return beyond;
}

/* Guards against the day on which one host of a data centre gets most connections over a link of 10 Mbit/s:
 * requests waited seconds in the network, connects to servers timed out, and their retries filled the link. */
static void
neighbours_take_over_what_one_link_cannot_carry (void)
{
  int64_t without = bytes_beyond_the_links (0);

  CU_ASSERT (without > 0);
  CU_ASSERT (bytes_beyond_the_links (LINK) <= without / 2);
}

int
main (void)
{
  static const TestCase CASES[]
      = { { "a_loaded_host_leaves_and_stays_away", a_loaded_host_leaves_and_stays_away },
          { "short_bursts_and_low_load_change_nothing", short_bursts_and_low_load_change_nothing },
          { "a_host_that_does_not_know_its_link_never_leaves",
            a_host_that_does_not_know_its_link_never_leaves },
          { "a_pause_counts_as_time", a_pause_counts_as_time },
          { "neighbours_take_over_what_one_link_cannot_carry",
            neighbours_take_over_what_one_link_cannot_carry } };

  return harness_run ("rotation", CASES, sizeof CASES / sizeof CASES[0]);
}
