#include "entry/rotation.h"

#define AVERAGE_MS 1000

/* Above this part of a link, bursts wait long enough to make first events late. */
#define LEAVE_PCT  45
#define RETURN_PCT 30

/* The balancer needs 2 s to notice that a host has left. */
#define LEAST_STAY_MS 10000
#define MOST_STAY_MS  60000

/* A host that has to leave again so soon stays away for twice as long. */
#define RELAPSE_MS 5000

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
  rate = traffic_busier (total, r->last) * 1000 / passed;
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

bool
rotation_update (Rotation *r, Traffic total, int64_t now_ms)
{
  average (r, total, now_ms);
  if (r->link_bytes_s == 0)
    return true;
  if (!r->left_ms && r->rate > r->link_bytes_s * LEAVE_PCT / 100)
    leave (r, now_ms);
  else if (r->left_ms && now_ms - r->left_ms >= r->stay_ms
           && r->rate < r->link_bytes_s * RETURN_PCT / 100)
    {
      r->left_ms = 0;
      r->joined_ms = now_ms;
    }
  return rotation_is_in (r);
}

bool
rotation_is_in (const Rotation *r)
{
  return r->left_ms == 0;
}
