#include "entry/gate.h"

#define AVERAGE_MS 300

/* Of the link: above it waiting grows fast, below it there is room for a burst. */
#define CLOSE_PCT 70
#define OPEN_PCT  50

/* A client whose data centre has nothing but loaded hosts must get through to one of them. */
#define MOST_CLOSED_MS 1000
#define LEAST_OPEN_MS  200

void
gate_init (Gate *g, int64_t link_bytes_s, int64_t now_ms)
{
  *g = (Gate){ .link_bytes_s = link_bytes_s, .last_ms = now_ms, .since_ms = now_ms };
}

static void
average (Gate *g, Traffic total, int64_t now_ms)
{
  int64_t passed = now_ms - g->last_ms;
  int64_t bytes = traffic_busier_direction (total, g->last);

  if (passed <= 0)
    return;
  g->rate
      += (bytes * 1000 / passed - g->rate) * passed / (passed > AVERAGE_MS ? passed : AVERAGE_MS);
  g->last = total;
  g->last_ms = now_ms;
}

static bool
should_close (const Gate *g, int64_t now_ms)
{
  return g->rate > g->link_bytes_s * CLOSE_PCT / 100 && now_ms - g->since_ms >= LEAST_OPEN_MS;
}

static bool
should_open (const Gate *g, int64_t now_ms)
{
  return g->rate < g->link_bytes_s * OPEN_PCT / 100 || now_ms - g->since_ms >= MOST_CLOSED_MS;
}

bool
gate_update (Gate *g, Traffic total, int64_t now_ms)
{
  average (g, total, now_ms);
  if (g->link_bytes_s == 0)
    return true;
  if (g->closed ? should_open (g, now_ms) : should_close (g, now_ms))
    {
      g->closed = !g->closed;
      g->since_ms = now_ms;
    }
  return !g->closed;
}

bool
gate_open (Gate *g)
{
  g->closed = false;
  return true;
}
