/** @file
 * Event loop of one thread: a tevent context, a timer service and a queue of calls posted by other
 * threads. */
#pragma once

#include <stdbool.h>

#include <tevent.h>

#include "core/timers.h"

typedef struct Loop Loop;
typedef void (*LoopFn) (void *data);

/** Creates a loop. Call it in the main thread only: tevent_context_init() is not thread-safe.
 * @return a talloc object under @p ctx, or NULL. */
Loop *loop_new (const void *ctx);

struct tevent_context *loop_tevent (Loop *loop);

/** @return the timer service of the loop. Only the thread of the loop may use it. */
Timers *loop_timers (Loop *loop);

/** Schedules a call of @p fn in the thread of the loop. Calls run in the order of posting. Any
 * thread. */
void loop_post (Loop *loop, LoopFn fn, void *data);

/** Runs posted calls. Components post through an Executor instead of a Loop, so that tests can replace the
 * loop. */
typedef struct
{
  void (*post) (void *target, LoopFn fn, void *data);
  void *target;
} Executor;

/** @return an executor that posts to @p loop. */
Executor loop_executor (Loop *loop);

static inline void
executor_post (Executor executor, LoopFn fn, void *data)
{
  executor.post (executor.target, fn, data);
}

/** Runs the loop until loop_stop() is called. */
void loop_run (Loop *loop);

/** Makes loop_run() return after the current event. Any thread. */
void loop_stop (Loop *loop);

/** @return the monotonic clock in microseconds, for latency measurements. Any thread. */
int64_t loop_monotonic_us (void);
