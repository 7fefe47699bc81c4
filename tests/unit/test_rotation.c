/* Leaving the balancer's rotation by the load of the host's link. */
#include <stdio.h>

#include <talloc.h>

#include "core/rng.h"
#include "entry/rotation_peers.h"
#include "harness.h"

#define LINK    1250000
#define TICK_MS 100

/* Nobody else is out. */
static const RotationPeersSummary CALM = { .hosts = 12, .out_longest = true, .out_shortest = true };

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
      if (!rotation_update (&r, t, false, &CALM, now))
        left = now;
    }
  CU_ASSERT (left > 0 && left <= 3000);
  while (!rotation_update (&r, t, false, &CALM, now) && now < 60000)
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
      CU_ASSERT (rotation_update (&r, t, false, &CALM, now));
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
      CU_ASSERT (rotation_update (&r, t, false, &CALM, now));
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
  CU_ASSERT (rotation_update (&r, t, false, &CALM, 8000));
  CU_ASSERT (r.rate_bytes_s < LINK / 10);
}

/* Guards against a host that refuses connections and stays, because what it takes is not much. */
static void
a_host_that_refuses_leaves_at_less (void)
{
  Rotation r;
  Traffic t = { 0, 0 };
  int64_t now = 0;

  rotation_init (&r, LINK, now);
  for (int i = 0; i < 30; i++)
    {
      now += TICK_MS;
      t.received += LINK / 10 / 2;
      CU_ASSERT (rotation_update (&r, t, false, &CALM, now));
    }
  CU_ASSERT_FALSE (rotation_update (&r, t, true, &CALM, now));
}

/* Guards against a data centre that falls back to all of its hosts, because one more left than may. */
static void
no_more_than_half_are_out (void)
{
  RotationPeersSummary others = { .hosts = 12, .out = 6 };
  Rotation r;
  Traffic t = { 0, 0 };
  int64_t now = 0;

  rotation_init (&r, LINK, now);
  for (int i = 0; i < 50; i++)
    {
      now += TICK_MS;
      t.received += LINK / 10;
      CU_ASSERT (rotation_update (&r, t, false, &others, now));
    }
  CU_ASSERT (r.wants_out);
  others.out = 5;
  CU_ASSERT_FALSE (rotation_update (&r, t, false, &others, now));
  /* Another one left in the same moment. */
  others.out = 6;
  CU_ASSERT_FALSE (rotation_update (&r, t, false, &others, now));
  others.out_shortest = true;
  CU_ASSERT (rotation_update (&r, t, false, &others, now));
}

/* Guards against a host that is loaded for good because all others that may be out are. */
static void
the_one_that_is_out_for_longest_gives_its_place (void)
{
  RotationPeersSummary others = { .hosts = 12, .out = 5, .exit_wanted = true };
  Rotation r;
  Traffic t = { 0, 0 };
  int64_t now = 0;

  rotation_init (&r, LINK, now);
  for (int i = 0; i < 20; i++)
    {
      now += TICK_MS;
      t.received += LINK / 10;
      rotation_update (&r, t, false, &CALM, now);
    }
  CU_ASSERT_FALSE (rotation_is_in (&r));
  CU_ASSERT_FALSE (rotation_update (&r, t, false, &others, now + 20000));
  others.out_longest = true;
  CU_ASSERT (rotation_update (&r, t, false, &others, now + 20000));
}

/* --- One data centre --------------------------------------------------------------------- */

#define MOST_HOSTS 50
#define CLIENTS    30

typedef struct
{
  Rotation rotation;
  RotationPeers *peers;
  int64_t link;
  Traffic traffic;
  int64_t offered; /* in this tick */
  int64_t waiting; /* in the network before the host */
  int misses;
  bool out; /* as the balancer sees it */
} Host;

typedef struct
{
  Host hosts[MOST_HOSTS];
  int n;
  uint64_t hash[CLIENTS][MOST_HOSTS];
  int64_t bytes_s[CLIENTS];
} DataCentre;

/* Two hosts of 200 Mbit/s among ones of 10; one client sends more than a small link carries, one half of it, the
 * others little. */
static DataCentre *
data_centre (int n, uint64_t seed)
{
  DataCentre *d = talloc_zero (NULL, DataCentre);
  Rng rng;

  rng_seed (&rng, seed);
  d->n = n;
  for (int i = 0; i < n; i++)
    {
      d->hosts[i].link = i < 2 ? 20 * LINK : LINK;
      d->hosts[i].peers = rotation_peers_new (d);
      rotation_init (&d->hosts[i].rotation, d->hosts[i].link, 0);
    }
  for (int c = 0; c < CLIENTS; c++)
    {
      d->bytes_s[c] = c == 0 ? 1500000 : c == 1 ? 600000 : 15000;
      for (int i = 0; i < n; i++)
        d->hash[c][i] = rng_next (&rng);
    }
  return d;
}

/* The balancer asks once a second and takes a host out after two misses; with fewer than half in the
 * rotation it uses all. */
static void
ask (DataCentre *d)
{
  for (int i = 0; i < d->n; i++)
    {
      Host *h = &d->hosts[i];

      h->misses = rotation_is_in (&h->rotation) ? 0 : h->misses + 1;
      h->out = h->misses >= 2;
    }
}

static Host *
host_of (DataCentre *d, int client, bool all)
{
  int best = -1;

  for (int i = 0; i < d->n; i++)
    if ((all || !d->hosts[i].out) && (best < 0 || d->hash[client][i] > d->hash[client][best]))
      best = i;
  return &d->hosts[best];
}

static void
spread (DataCentre *d)
{
  int in = 0;

  for (int i = 0; i < d->n; i++)
    in += !d->hosts[i].out;
  for (int c = 0; c < CLIENTS; c++)
    host_of (d, c, 2 * in < d->n)->offered += d->bytes_s[c] * TICK_MS / 1000;
}

/* A link carries what it can; callers have left what would wait for longer than two seconds.
 * @return the bytes that arrive more than 0.4 s late, or not at all. */
static int64_t
carry (Host *h)
{
  int64_t room = h->link * TICK_MS / 1000;
  int64_t late = h->waiting > h->link * 4 / 10 ? h->offered : 0;
  int64_t carried;

  h->waiting += h->offered;
  h->offered = 0;
  if (h->waiting > 2 * h->link)
    h->waiting = 2 * h->link;
  carried = h->waiting < room ? h->waiting : room;
  h->waiting -= carried;
  h->traffic.received += carried;
  return late;
}

/* Hosts hear each other a tick later; without talk each acts as if it were alone. */
static void
step (DataCentre *d, bool talk, int64_t now)
{
  for (int i = 0; i < d->n; i++)
    {
      Host *h = &d->hosts[i];
      RotationPeersSummary others
          = rotation_peers_summary (h->peers, talk ? d->n : 1, h->rotation.left_ms, now);

      rotation_update (&h->rotation, h->traffic, false, &others, now);
    }
  for (int i = 0; talk && i < d->n; i++)
    for (int j = 0; j < d->n; j++)
      if (i != j)
        {
          const Rotation *r = &d->hosts[j].rotation;
          char name[16];

          snprintf (name, sizeof name, "%d", j);
          rotation_peers_update (d->hosts[i].peers, name, rotation_state (r),
                                 r->left_ms ? now - r->left_ms : 0, now);
        }
}

/* @return the late bytes of a minute, of 20 data centres. */
static int64_t
late_bytes (int n, bool known_links, bool talk)
{
  int64_t late = 0;

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      DataCentre *d = data_centre (n, seed);

      for (int i = 0; !known_links && i < n; i++)
        d->hosts[i].rotation.link_bytes_s = 0;
      for (int64_t now = TICK_MS; now <= 60000; now += TICK_MS)
        {
          if (now % 1000 == 0)
            ask (d);
          spread (d);
          for (int i = 0; i < n; i++)
            late += carry (&d->hosts[i]);
          step (d, talk, now);
        }
      talloc_free (d);
    }
  return late;
}

/* Plays the day on which one client sends half of a data centre's traffic, and the balancer's hash puts small
 * links first: requests waited seconds in the network, connects to servers timed out, and their retries filled
 * the link. Guards against hosts that come back too soon, or leave so many at a time that all are used again. */
static void
a_heavy_client_ends_at_a_host_that_can_carry_it (void)
{
  for (int n = 12; n <= MOST_HOSTS; n += 38)
    {
      int64_t none = late_bytes (n, false, false);
      int64_t alone = late_bytes (n, true, false);
      int64_t together = late_bytes (n, true, true);

      CU_ASSERT (none > 0);
      CU_ASSERT (together <= none / 3);
      CU_ASSERT (together <= alone);
    }
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
          { "a_host_that_refuses_leaves_at_less", a_host_that_refuses_leaves_at_less },
          { "no_more_than_half_are_out", no_more_than_half_are_out },
          { "the_one_that_is_out_for_longest_gives_its_place",
            the_one_that_is_out_for_longest_gives_its_place },
          { "a_heavy_client_ends_at_a_host_that_can_carry_it",
            a_heavy_client_ends_at_a_host_that_can_carry_it } };

  return harness_run ("rotation", CASES, sizeof CASES / sizeof CASES[0]);
}
