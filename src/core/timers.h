/** @file
 * Timer service. Code whose behaviour depends on the time uses it instead of the clocks of the operating
 * system, so that tests can run the code in virtual time. Log times and latency measurements don't use it. */
#pragma once

#include <stdint.h>

typedef struct Timers Timers;
typedef struct Timer Timer;
typedef void (*TimerFn) (void *data);

typedef struct
{
  int64_t (*now_ms) (Timers *timers);
  int64_t (*wall_ms) (Timers *timers);
  Timer *(*start) (Timers *timers, const void *ctx, int64_t delay_ms, TimerFn fn, void *data);
} TimersOps;

struct Timers
{
  const TimersOps *ops;
};

/** @return milliseconds of the boot-time clock, which is never stepped and also advances while the
 * host is suspended, or the virtual time of a test. */
static inline int64_t
timers_now_ms (Timers *timers)
{
  return timers->ops->now_ms (timers);
}

/** @return wall-clock milliseconds since the epoch, for times that people enter or read. The wall
 * clock may be stepped. */
static inline int64_t
timers_wall_ms (Timers *timers)
{
  return timers->ops->wall_ms (timers);
}

/** Starts a one-shot timer. @return a talloc object under @p ctx; talloc_free() stops it. When the
 * timer fires it is freed before @p fn is called, so @p fn must clear stored pointers to it. If it fires late, what had
 * arrived by then has been read: each descriptor that was ready has been served once (loop.c). */
static inline Timer *
timers_start (Timers *timers, const void *ctx, int64_t delay_ms, TimerFn fn, void *data)
{
  return timers->ops->start (timers, ctx, delay_ms, fn, data);
}
