#include "dispatch/server_load.h"

/* Requests last a few seconds at most, so that older figures say little about those that run now. */
#define LOAD_LIFETIME_MS 2000

/* The requests that a server had are replaced by new ones, so that without news it has as many as others have. After
 * this time without figures the service may have no load at all. */
#define USUAL_LIFETIME_MS 5000

/* A machine stays slow for longer than a request runs. A slow server gets few requests that would show it, and each of
 * those that comes only to find out is late. */
#define PACE_LIFETIME_MS 10000

/* A server runs as many requests as it has slots, and may count those that it is about to start or end. */
#define MAX_RUNNING_PER_SLOT 2
#define MAX_RUNNING_EXTRA    8

#define MAX_REQUESTS     1000000
#define MIN_PACE_PERCENT 1
#define MAX_PACE_PERCENT 10000

/* A machine's pace changes many times in a second, a request's work lasts longer than that. */
#define PACE_WEIGHT 0.5

/* Other hosts are told figures that differ by this much, and any figures after this time: their weight has fallen
 * by a quarter then. */
#define NOTABLE_PACE  0.1
#define MAX_UNTOLD_MS 500

bool
load_figures_are_possible (const LoadFigures *f, int slots)
{
  if (f->running < 0 || f->waiting < 0 || f->running > MAX_REQUESTS || f->waiting > MAX_REQUESTS)
    return false;
  if (f->slots < 0 || f->slots > MAX_REQUESTS || f->age_ms < 0)
    return false;
  if (f->pace_percent != 0
      && (f->pace_percent < MIN_PACE_PERCENT || f->pace_percent > MAX_PACE_PERCENT))
    return false;
  return slots <= 0 || f->running <= MAX_RUNNING_PER_SLOT * slots + MAX_RUNNING_EXTRA;
}

static bool
is_notable (const ServerLoad *l, int running, int waiting, double pace, int64_t now_ms)
{
  double pace_change = pace > l->pace ? pace - l->pace : l->pace - pace;

  return running + waiting != l->running + l->waiting || pace_change >= NOTABLE_PACE
         || now_ms - l->learned_ms >= MAX_UNTOLD_MS;
}

LoadVerdict
server_load_apply (ServerLoad *l, const LoadFigures *f, int slots, bool heard, int64_t now_ms)
{
  int64_t observed_ms = now_ms - f->age_ms;
  double pace = f->pace_percent > 0 ? f->pace_percent / 100.0 : 1.0;

  if (!load_figures_are_possible (f, slots))
    {
      if (!heard)
        *l = (ServerLoad){ .pace = 1.0 };
      return LOAD_CONTRADICTORY;
    }
  if (l->observed_ms > 0 && observed_ms < l->observed_ms)
    return LOAD_OLDER;
  if (l->observed_ms > 0 && !heard)
    pace = l->pace + PACE_WEIGHT * (pace - l->pace);
  if (l->observed_ms == 0 || is_notable (l, f->running, f->waiting, pace, now_ms))
    l->learned_ms = now_ms;
  l->observed_ms = observed_ms;
  l->running = f->running;
  l->waiting = f->waiting;
  l->pace = pace;
  l->heard = heard;
  return LOAD_APPLIED;
}

static double
weight (const ServerLoad *l, int64_t lifetime_ms, int64_t now_ms)
{
  int64_t age = now_ms - l->observed_ms;

  if (l->observed_ms == 0 || age >= lifetime_ms)
    return 0;
  return age > 0 ? (double)(lifetime_ms - age) / (double)lifetime_ms : 1.0;
}

double
server_load_weight (const ServerLoad *l, int64_t now_ms)
{
  return weight (l, LOAD_LIFETIME_MS, now_ms);
}

double
server_load_usual_weight (const ServerLoad *l, int64_t now_ms)
{
  return weight (l, USUAL_LIFETIME_MS, now_ms);
}

double
server_load_pace (const ServerLoad *l, int64_t now_ms)
{
  return 1.0 + (l->pace - 1.0) * weight (l, PACE_LIFETIME_MS, now_ms);
}
