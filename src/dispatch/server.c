#include "dispatch/server.h"

#include <string.h>

#include <talloc.h>
#include <xxhash.h>

/* Reports are some hundred ms old; after this time one tells nothing about other hosts any more. */
#define REPORT_LIFETIME_MS 2000

#define FIRST_AVOID_MS   300
#define LONGEST_AVOID_MS 2400

/* Weight of one result in the moving averages. */
#define FAILING_WEIGHT 0.15
#define PACE_WEIGHT    0.15
#define SLOWEST        8.0
#define FASTEST        0.5

Server *
server_new (const void *ctx, const ServerRecord *r)
{
  Server *s = talloc_zero (ctx, Server);

  s->id = talloc_strdup (s, r->id);
  s->service = talloc_strdup (s, r->service);
  s->address = talloc_strdup (s, r->address);
  s->data_centre = talloc_strdup (s, r->data_centre);
  s->hash = XXH64 (r->id, strlen (r->id), 0);
  s->born_ms = r->born_ms;
  s->slowness = 1.0;
  return s;
}

void
server_update (Server *s, const ServerRecord *r, int64_t now_ms)
{
  s->slots = r->slots;
  s->leaving = r->leaving;
  s->cold_until_ms = r->cold_ms > 0 ? now_ms + r->cold_ms : 0;
  s->doubted_until_ms = 0;
  s->gone = false;
}

void
server_report_load (Server *s, int running, int waiting, int64_t now_ms)
{
  double others = running + waiting - s->in_flight;

  s->others = others > 0 ? others : 0;
  s->others_waiting = waiting > s->awaiting_first ? waiting - s->awaiting_first : 0;
  s->reported_ms = now_ms;
}

double
server_others (const Server *s, int64_t now_ms)
{
  int64_t age = now_ms - s->reported_ms;

  if (s->reported_ms == 0 || age >= REPORT_LIFETIME_MS)
    return 0;
  return s->others * (double)(REPORT_LIFETIME_MS - age) / REPORT_LIFETIME_MS;
}

void
server_unreachable (Server *s, int64_t now_ms)
{
  int64_t pause = FIRST_AVOID_MS << (s->failures < 4 ? s->failures : 4);

  s->failures++;
  if (pause > LONGEST_AVOID_MS)
    pause = LONGEST_AVOID_MS;
  s->avoid_until_ms = now_ms + pause;
}

void
server_result (Server *s, bool failed, int64_t now_ms)
{
  s->failing += FAILING_WEIGHT * ((failed ? 1.0 : 0.0) - s->failing);
  if (failed)
    return;
  s->failures = 0;
  s->avoid_until_ms = 0;
  s->heard_ms = now_ms;
}

void
server_pace (Server *s, double took_ms, double expected_ms)
{
  double ratio = expected_ms > 0 ? took_ms / expected_ms : 1.0;

  if (ratio > SLOWEST)
    ratio = SLOWEST;
  if (ratio < FASTEST)
    ratio = FASTEST;
  s->slowness += PACE_WEIGHT * (ratio - s->slowness);
}

void
server_pause (Server *s, int64_t ms, int64_t now_ms)
{
  if (now_ms + ms > s->pause_until_ms)
    s->pause_until_ms = now_ms + ms;
}

bool
server_is_usable (const Server *s, int64_t now_ms)
{
  return !s->leaving && !s->gone && now_ms >= s->avoid_until_ms && now_ms >= s->pause_until_ms;
}
