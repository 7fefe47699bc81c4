/** @file
 * The timer service. Parts start timers on it and read its clock; they never ask the operating
 * system for the time, so that the same code runs under virtual time. */
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

/** @return milliseconds of the boot-time clock, which no one sets and which goes on while the host is
 * suspended; or the virtual time of a run. */
static inline int64_t
timers_now_ms (Timers *timers)
{
  return timers->ops->now_ms (timers);
}

/** @return wall-clock milliseconds since the epoch, for times that people give or read. It may jump. */
static inline int64_t
timers_wall_ms (Timers *timers)
{
  return timers->ops->wall_ms (timers);
}

/** Starts a one-shot timer. @return a talloc object under @p ctx; talloc_free() stops it. It frees
 * itself after it has fired, before @p fn is called: clear stored pointers in @p fn. */
static inline Timer *
timers_start (Timers *timers, const void *ctx, int64_t delay_ms, TimerFn fn, void *data)
{
  return timers->ops->start (timers, ctx, delay_ms, fn, data);
}
