#include "entry/rotation.h"

#define AVERAGING_WINDOW_MS 1000

/* Percentages of the link's capacity. Above the first, bursts queue long enough to delay the first
 * events of responses. */
#define LEAVE_ABOVE_PCT  60
#define REJOIN_BELOW_PCT 40

/* Lower for a host that refuses connections: its traffic is less than what clients want to send. */
#define LEAVE_ABOVE_PCT_WHILE_REFUSING 40

/* Time for which a host stays out of the rotation, unless it has to rejoin earlier. */
#define BASE_OUT_MS 30000
#define MAX_OUT_MS  120000

/* A host that has to leave again within this time after it rejoined stays out for twice as long. */
#define FLAP_WINDOW_MS 5000

/* A host that has been out for this long may rejoin in place of another one that has to leave. The
 * load balancer takes 2 s to notice a change. */
#define SWAP_AFTER_MS 5000

void
rotation_init (Rotation *r, int64_t link_bytes_s, int64_t now_ms)
{
  *r = (Rotation){ .link_bytes_s = link_bytes_s, .updated_ms = now_ms };
}

static void
update_rate (Rotation *r, Traffic total, int64_t now_ms)
{
  int64_t elapsed = now_ms - r->updated_ms;
  int64_t rate_bytes_s;

  if (elapsed <= 0)
    return;
  rate_bytes_s = traffic_busier_direction (total, r->last_total) * 1000 / elapsed;
  if (elapsed > AVERAGING_WINDOW_MS)
    elapsed = AVERAGING_WINDOW_MS;
  r->rate_bytes_s += (rate_bytes_s - r->rate_bytes_s) * elapsed / AVERAGING_WINDOW_MS;
  r->last_total = total;
  r->updated_ms = now_ms;
}

static void
leave (Rotation *r, int64_t now_ms)
{
  if (now_ms - r->rejoined_ms >= FLAP_WINDOW_MS || r->min_out_ms == 0)
    r->min_out_ms = BASE_OUT_MS;
  else if (r->min_out_ms < MAX_OUT_MS / 2)
    r->min_out_ms *= 2;
  else
    r->min_out_ms = MAX_OUT_MS;
  r->left_ms = now_ms;
}

static void
rejoin (Rotation *r, int64_t now_ms)
{
  r->left_ms = 0;
  r->rejoined_ms = now_ms;
}

/* The only host of a data centre may leave as well: its clients then go to the nearest data centres. */
static int
max_out (const RotationPeersSummary *peers)
{
  return peers->hosts == 1 ? 1 : peers->hosts / 2;
}

/* If too many hosts are out, the one that left last rejoins. If another host has to leave and no more may be out, the
 * one that left first does. Otherwise a host rejoins when its time is over and its link has room. */
static bool
should_rejoin (const Rotation *r, const RotationPeersSummary *peers, int64_t now_ms)
{
  int64_t out_ms = now_ms - r->left_ms;
  int out = peers->out + 1;

  if (out > max_out (peers) && peers->out_shortest)
    return true;
  if (peers->peer_exit_blocked && out >= max_out (peers) && peers->out_longest
      && out_ms >= SWAP_AFTER_MS)
    return true;
  return out_ms >= r->min_out_ms && r->rate_bytes_s < r->link_bytes_s * REJOIN_BELOW_PCT / 100;
}

static bool
is_loaded (const Rotation *r, bool refusing)
{
  return r->rate_bytes_s
         > r->link_bytes_s * (refusing ? LEAVE_ABOVE_PCT_WHILE_REFUSING : LEAVE_ABOVE_PCT) / 100;
}

bool
rotation_update (Rotation *r, Traffic total, bool refusing, const RotationPeersSummary *peers,
                 int64_t now_ms)
{
  bool loaded;

  update_rate (r, total, now_ms);
  if (r->link_bytes_s == 0)
    return true;
  loaded = is_loaded (r, refusing);
  if (r->left_ms && should_rejoin (r, peers, now_ms))
    rejoin (r, now_ms);
  else if (!r->left_ms && loaded && peers->out < max_out (peers))
    leave (r, now_ms);
  r->exit_blocked = loaded && !r->left_ms;
  return rotation_is_in (r);
}

bool
rotation_is_in (const Rotation *r)
{
  return r->left_ms == 0;
}
