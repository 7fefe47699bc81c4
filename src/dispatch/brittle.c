#include "dispatch/brittle.h"

/* All responses state it while it holds, so that a statement this old says nothing any more. */
#define STATEMENT_TTL_MS 5000

#define MAX_PAUSE_MS 5000

void
brittle_note (Brittle *b, int max_rejections, int64_t now_ms)
{
  b->stated_ms = max_rejections >= 0 ? now_ms : 0;
  b->max_rejections = max_rejections;
}

bool
brittle_is_in_force (const Brittle *b, int64_t now_ms)
{
  return b->stated_ms > 0 && now_ms - b->stated_ms < STATEMENT_TTL_MS;
}

static int
users (int slots, int hosts)
{
  int n = slots < hosts ? slots : hosts;

  return n > 0 ? n : 1;
}

int
brittle_share (int slots, int hosts, int rank)
{
  int n = users (slots, hosts);

  if (rank < 0 || rank >= n)
    return 0;
  return slots > n ? slots / n : 1;
}

int64_t
brittle_pause_ms (const Brittle *b, int slots, int hosts)
{
  int64_t ms = (int64_t)users (slots, hosts) * 1000;

  if (b->max_rejections > 0)
    ms /= b->max_rejections;
  return ms < MAX_PAUSE_MS ? ms : MAX_PAUSE_MS;
}
