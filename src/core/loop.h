/** @file
 * An event loop of one thread: a tevent context, a timer service, and a queue through which other
 * threads post calls. */
#pragma once

#include <stdbool.h>

#include <tevent.h>

#include "core/timers.h"

typedef struct Loop Loop;
typedef void (*LoopFn) (void *data);

/** Makes a loop. Call in the main thread only: tevent_context_init() is not thread-safe.
 * @return a talloc object under @p ctx, or NULL. */
Loop *loop_new (const void *ctx);

struct tevent_context *loop_tevent (Loop *loop);

/** The loop's timer service; for the loop's own thread only. */
Timers *loop_timers (Loop *loop);

/** Has @p fn called on the loop's thread. Any thread. */
void loop_post (Loop *loop, LoopFn fn, void *data);

/** Where a part posts calls to, so that tests can stand in for a loop. */
typedef struct
{
  void (*post) (void *target, LoopFn fn, void *data);
  void *target;
} Poster;

/** @return a poster to @p loop. */
Poster loop_poster (Loop *loop);

static inline void
poster_post (Poster poster, LoopFn fn, void *data)
{
  poster.post (poster.target, fn, data);
}

/** Runs until loop_stop(). */
void loop_run (Loop *loop);

/** Ends loop_run() after the current event. Any thread. */
void loop_stop (Loop *loop);

/** @return monotonic microseconds, for latency measurements. */
int64_t loop_monotonic_us (void);
