#include "entry/rotation.h"

#define AVERAGE_MS 1000

/* Above this part of a link, bursts wait long enough to make first events late. */
#define LEAVE_PCT  60
#define RETURN_PCT 40

/* The same for a host that refuses connections: what it takes shows less than what it is offered. */
#define LEAVE_REFUSING_PCT 40

#define LEAST_STAY_MS 30000
#define MOST_STAY_MS  120000

/* A host that has to leave again so soon stays away for twice as long. */
#define RELAPSE_MS 5000

/* Out for this long, a host gives its place to one that needs it. The balancer needs 2 s to notice. */
#define TURN_MS 5000

void
rotation_init (Rotation *r, int64_t link_bytes_s, int64_t now_ms)
{
  *r = (Rotation){ .link_bytes_s = link_bytes_s, .last_ms = now_ms };
}

static void
average (Rotation *r, Traffic total, int64_t now_ms)
{
  int64_t passed = now_ms - r->last_ms;
  int64_t rate;

  if (passed <= 0)
    return;
  rate = traffic_busier_direction (total, r->last) * 1000 / passed;
  if (passed > AVERAGE_MS)
    passed = AVERAGE_MS;
  r->rate += (rate - r->rate) * passed / AVERAGE_MS;
  r->last = total;
  r->last_ms = now_ms;
}

static void
leave (Rotation *r, int64_t now_ms)
{
  if (now_ms - r->joined_ms >= RELAPSE_MS || r->stay_ms == 0)
    r->stay_ms = LEAST_STAY_MS;
  else if (r->stay_ms < MOST_STAY_MS / 2)
    r->stay_ms *= 2;
  else
    r->stay_ms = MOST_STAY_MS;
  r->left_ms = now_ms;
}

static void
join (Rotation *r, int64_t now_ms)
{
  r->left_ms = 0;
  r->joined_ms = now_ms;
}

/* A host that is alone leaves its clients to the nearest data centres. */
static int
most_out (const RotationOthers *others)
{
  return others->hosts == 1 ? 1 : others->hosts / 2;
}

static bool
should_join (const Rotation *r, const RotationOthers *others, int64_t now_ms)
{
  int64_t out_ms = now_ms - r->left_ms;
  int out = others->out + 1;

  if (out > most_out (others) && others->newest)
    return true;
  if (others->wanted && out >= most_out (others) && others->oldest && out_ms >= TURN_MS)
    return true;
  return out_ms >= r->stay_ms && r->rate < r->link_bytes_s * RETURN_PCT / 100;
}

static bool
is_loaded (const Rotation *r, bool refuses)
{
  return r->rate > r->link_bytes_s * (refuses ? LEAVE_REFUSING_PCT : LEAVE_PCT) / 100;
}

bool
rotation_update (Rotation *r, Traffic total, bool refuses, const RotationOthers *others,
                 int64_t now_ms)
{
  bool loaded;

  average (r, total, now_ms);
  if (r->link_bytes_s == 0)
    return true;
  loaded = is_loaded (r, refuses);
  if (r->left_ms && should_join (r, others, now_ms))
    join (r, now_ms);
  else if (!r->left_ms && loaded && others->out < most_out (others))
    leave (r, now_ms);
  r->wants = loaded && !r->left_ms;
  return rotation_is_in (r);
}

bool
rotation_is_in (const Rotation *r)
{
  return r->left_ms == 0;
}
