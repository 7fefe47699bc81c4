/** @file
 * When a refused client should return, and whether a request is one of a client that has returned. Answers clients that come back
 * together, or at once. No clock; lock "overload". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/rng.h"

typedef struct
{
  int64_t short_for_ms; /* how long there has been too little room */
  double drain_ms;      /* until the requests that wait at the servers have places */
  int64_t left_ms;      /* until the client's deadline */
} ReturnInput;

/** @return milliseconds for Retry-After, at least 1: within the third of the time left that clients honour, spread over half of the
 * time. A shortage is expected to last for as long as it has lasted. */
int64_t return_time_ms (const ReturnInput *input, Rng *rng);

/** The longest time that clients of a route lately gave their requests. All zero: none is known. */
typedef struct
{
  int64_t longest_ms;
  int64_t longest_before_ms; /* in the period before */
  int64_t period_ms;         /* start of the current period */
} RouteDeadline;

/** A request comes whose client gives it @p deadline_ms. A client that returns has less time left than it had at first.
 * @return the milliseconds that it has lost since its first try, 0 if this is the first, as far as can be known. */
int64_t route_deadline_add (RouteDeadline *route, int64_t deadline_ms, int64_t now_ms);
