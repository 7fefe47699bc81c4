/* Leaving and rejoining the balancer's rotation according to the load of the host's link. */
#include <stdio.h>

#include <talloc.h>

#include "core/rng.h"
#include "entry/rotation_peers.h"
#include "harness.h"

#define LINK_BYTES_S 1250000
#define TICK_MS      100

/* All other hosts are in the rotation. */
static const RotationPeersSummary NONE_OUT
    = { .hosts = 12, .out_longest = true, .out_shortest = true };

/* Guards against a host that stays in the rotation while its link is overloaded, or rejoins before
 * the balancer has noticed that it left. */
static void
loaded_host_leaves_and_stays_out (void)
{
  Rotation r;
  Traffic t = { 0, 0 };
  int64_t now = 1000;
  int64_t left = 0;

  rotation_init (&r, LINK_BYTES_S, now);
  for (int i = 0; i < 30 && !left; i++)
    {
      now += TICK_MS;
      t.received += LINK_BYTES_S / 10 * 8 / 10;
      if (!rotation_update (&r, t, false, &NONE_OUT, now))
        left = now;
    }
  CU_ASSERT (left > 0 && left <= 3000);
  while (!rotation_update (&r, t, false, &NONE_OUT, now) && now < 60000)
    now += TICK_MS;
  CU_ASSERT (now - left >= 3000);
  CU_ASSERT (rotation_is_in (&r));
}

/* Guards against leaving the rotation because of one large request, or of a load that the link can
 * carry. */
static void
bursts_and_low_load_do_not_take_host_out (void)
{
  Rotation r;
  Traffic t = { 0, 0 };
  int64_t now = 1000;

  rotation_init (&r, LINK_BYTES_S, now);
  for (int i = 0; i < 300; i++)
    {
      now += TICK_MS;
      t.sent += i % 50 == 0 ? LINK_BYTES_S / 10 * 2 : LINK_BYTES_S / 10 / 5;
      CU_ASSERT (rotation_update (&r, t, false, &NONE_OUT, now));
    }
}

/* Guards against decisions based on a guessed capacity: with an unknown link a host never
 * leaves. */
static void
host_with_unknown_link_never_leaves (void)
{
  Rotation r;
  Traffic t = { 0, 0 };

  rotation_init (&r, 0, 0);
  for (int64_t now = TICK_MS; now < 5000; now += TICK_MS)
    {
      t.received += 100 * LINK_BYTES_S;
      CU_ASSERT (rotation_update (&r, t, false, &NONE_OUT, now));
    }
}

/* Guards against a host that was suspended and counts the traffic of the whole suspension as that of
 * one tick. */
static void
suspended_time_counts_in_rate (void)
{
  Rotation r;
  Traffic t = { LINK_BYTES_S / 2, 0 };

  rotation_init (&r, LINK_BYTES_S, 0);
  CU_ASSERT (rotation_update (&r, t, false, &NONE_OUT, 8000));
  CU_ASSERT (r.rate_bytes_s < LINK_BYTES_S / 10);
}

/* Guards against a host that refuses connections but stays in the rotation, because the traffic that
 * it still accepts is low. */
static void
refusing_host_leaves_at_lower_load (void)
{
  Rotation r;
  Traffic t = { 0, 0 };
  int64_t now = 0;

  rotation_init (&r, LINK_BYTES_S, now);
  for (int i = 0; i < 30; i++)
    {
      now += TICK_MS;
      t.received += LINK_BYTES_S / 10 / 2;
      CU_ASSERT (rotation_update (&r, t, false, &NONE_OUT, now));
    }
  CU_ASSERT_FALSE (rotation_update (&r, t, true, &NONE_OUT, now));
}

/* Guards against so many hosts leaving that the balancer ignores readiness and uses all hosts of the
 * data centre. */
static void
at_most_half_of_hosts_are_out (void)
{
  RotationPeersSummary peers = { .hosts = 12, .out = 6 };
  Rotation r;
  Traffic t = { 0, 0 };
  int64_t now = 0;

  rotation_init (&r, LINK_BYTES_S, now);
  for (int i = 0; i < 50; i++)
    {
      now += TICK_MS;
      t.received += LINK_BYTES_S / 10;
      CU_ASSERT (rotation_update (&r, t, false, &peers, now));
    }
  CU_ASSERT (r.exit_blocked);
  peers.out = 5;
  CU_ASSERT_FALSE (rotation_update (&r, t, false, &peers, now));
  /* Another host left at the same time. */
  peers.out = 6;
  CU_ASSERT_FALSE (rotation_update (&r, t, false, &peers, now));
  peers.out_shortest = true;
  CU_ASSERT (rotation_update (&r, t, false, &peers, now));
}

/* Guards against a host that stays overloaded forever because the maximum number of hosts is already
 * out of the rotation. */
static void
host_out_longest_rejoins_for_loaded_one (void)
{
  RotationPeersSummary peers = { .hosts = 12, .out = 5, .peer_exit_blocked = true };
  Rotation r;
  Traffic t = { 0, 0 };
  int64_t now = 0;

  rotation_init (&r, LINK_BYTES_S, now);
  for (int i = 0; i < 20; i++)
    {
      now += TICK_MS;
      t.received += LINK_BYTES_S / 10;
      rotation_update (&r, t, false, &NONE_OUT, now);
    }
  CU_ASSERT_FALSE (rotation_is_in (&r));
  CU_ASSERT_FALSE (rotation_update (&r, t, false, &peers, now + 20000));
  peers.out_longest = true;
  CU_ASSERT (rotation_update (&r, t, false, &peers, now + 20000));
}

/* --- One data centre --------------------------------------------------------------------- */

#define MAX_HOSTS 50
#define N_CLIENTS 30

typedef struct
{
  Rotation rotation;
  RotationPeers *peers;
  int64_t link_bytes_s;
  Traffic traffic;
  int64_t offered; /* in this tick */
  int64_t queued;  /* in the network in front of the host */
  int failed_probes;
  bool out; /* the balancer has taken it out of the rotation */
} Host;

typedef struct
{
  Host hosts[MAX_HOSTS];
  int n;
  uint64_t hash[N_CLIENTS][MAX_HOSTS];
  int64_t bytes_s[N_CLIENTS];
} DataCentre;

/* Two hosts have links of 200 Mbit/s, the others of 10. One client sends more than a small link can
 * carry, one about half of that, the others little. */
static DataCentre *
data_centre_new (int n, uint64_t seed)
{
  DataCentre *d = talloc_zero (NULL, DataCentre);
  Rng rng;

  rng_seed (&rng, seed);
  d->n = n;
  for (int i = 0; i < n; i++)
    {
      d->hosts[i].link_bytes_s = i < 2 ? 20 * LINK_BYTES_S : LINK_BYTES_S;
      d->hosts[i].peers = rotation_peers_new (d);
      rotation_init (&d->hosts[i].rotation, d->hosts[i].link_bytes_s, 0);
    }
  for (int c = 0; c < N_CLIENTS; c++)
    {
      d->bytes_s[c] = c == 0 ? 1500000 : c == 1 ? 600000 : 15000;
      for (int i = 0; i < n; i++)
        d->hash[c][i] = rng_next (&rng);
    }
  return d;
}

/* The balancer probes once a second and takes a host out after two failed probes; with fewer than
 * half of the hosts in the rotation it uses all of them. */
static void
probe (DataCentre *d)
{
  for (int i = 0; i < d->n; i++)
    {
      Host *h = &d->hosts[i];

      h->failed_probes = rotation_is_in (&h->rotation) ? 0 : h->failed_probes + 1;
      h->out = h->failed_probes >= 2;
    }
}

static Host *
balance_client (DataCentre *d, int client, bool ignore_probes)
{
  int best = -1;

  for (int i = 0; i < d->n; i++)
    if ((ignore_probes || !d->hosts[i].out)
        && (best < 0 || d->hash[client][i] > d->hash[client][best]))
      best = i;
  return &d->hosts[best];
}

static void
send_clients (DataCentre *d)
{
  int in = 0;

  for (int i = 0; i < d->n; i++)
    in += !d->hosts[i].out;
  for (int c = 0; c < N_CLIENTS; c++)
    balance_client (d, c, 2 * in < d->n)->offered += d->bytes_s[c] * TICK_MS / 1000;
}

/* Carries bytes up to the capacity of the link; clients abandon what would be queued for longer
 * than 2 s.
 * @return the bytes that arrive more than 0.4 s late, or not at all. */
static int64_t
transmit (Host *h)
{
  int64_t capacity = h->link_bytes_s * TICK_MS / 1000;
  int64_t late = h->queued > h->link_bytes_s * 4 / 10 ? h->offered : 0;
  int64_t carried;

  h->queued += h->offered;
  h->offered = 0;
  if (h->queued > 2 * h->link_bytes_s)
    h->queued = 2 * h->link_bytes_s;
  carried = h->queued < capacity ? h->queued : capacity;
  h->queued -= carried;
  h->traffic.received += carried;
  return late;
}

/* Updates all hosts; their reports arrive one tick later. Without @p exchange_reports each host acts as
 * the only one. */
static void
step (DataCentre *d, bool exchange_reports, int64_t now)
{
  for (int i = 0; i < d->n; i++)
    {
      Host *h = &d->hosts[i];
      RotationPeersSummary peers = rotation_peers_summary (h->peers, exchange_reports ? d->n : 1,
                                                           h->rotation.left_ms, now);

      rotation_update (&h->rotation, h->traffic, false, &peers, now);
    }
  for (int i = 0; exchange_reports && i < d->n; i++)
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

/* @return the late bytes of one minute, summed over 20 data centres. */
static int64_t
total_late_bytes (int n, bool known_links, bool exchange_reports)
{
  int64_t late = 0;

  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      DataCentre *d = data_centre_new (n, seed);

      for (int i = 0; !known_links && i < n; i++)
        d->hosts[i].rotation.link_bytes_s = 0;
      for (int64_t now = TICK_MS; now <= 60000; now += TICK_MS)
        {
          if (now % 1000 == 0)
            probe (d);
          send_clients (d);
          for (int i = 0; i < n; i++)
            late += transmit (&d->hosts[i]);
          step (d, exchange_reports, now);
        }
      talloc_free (d);
    }
  return late;
}

/* Guards against hosts that rejoin too early, or of which so many leave at a time that all are used
 * again. One client sends half of the traffic, and the hash ranks hosts with small links first for
 * it: requests queued for seconds, connects to servers timed out, and their retries filled the
 * link. */
static void
heavy_client_moves_to_host_with_capacity (void)
{
  for (int n = 12; n <= MAX_HOSTS; n += 38)
    {
      int64_t unprotected = total_late_bytes (n, false, false);
      int64_t uncoordinated = total_late_bytes (n, true, false);
      int64_t coordinated = total_late_bytes (n, true, true);

      CU_ASSERT (unprotected > 0);
      CU_ASSERT (coordinated <= unprotected / 3);
      CU_ASSERT (coordinated <= uncoordinated);
    }
}

int
main (void)
{
  static const TestCase CASES[]
      = { { "loaded_host_leaves_and_stays_out", loaded_host_leaves_and_stays_out },
          { "bursts_and_low_load_do_not_take_host_out", bursts_and_low_load_do_not_take_host_out },
          { "host_with_unknown_link_never_leaves", host_with_unknown_link_never_leaves },
          { "suspended_time_counts_in_rate", suspended_time_counts_in_rate },
          { "refusing_host_leaves_at_lower_load", refusing_host_leaves_at_lower_load },
          { "at_most_half_of_hosts_are_out", at_most_half_of_hosts_are_out },
          { "host_out_longest_rejoins_for_loaded_one", host_out_longest_rejoins_for_loaded_one },
          { "heavy_client_moves_to_host_with_capacity",
            heavy_client_moves_to_host_with_capacity } };

  return harness_run ("rotation", CASES, sizeof CASES / sizeof CASES[0]);
}
