/** @file
 * Metrics counters and gauges and their registry. A counter lives until the process exits; adding
 * to it is lock-free. */
#pragma once

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

#include "core/err.h"

typedef struct Counter Counter;

/** Finds or creates a counter. @p labels is in Prometheus form without braces, or "".
 * Any thread. Takes the registry lock, so callers keep the pointer instead of looking it up for each event. */
Counter *counter_get (const char *name, const char *labels, const char *help);

/** Like counter_get(), for a value that may also decrease. */
Counter *gauge_get (const char *name, const char *labels, const char *help);

void counter_add (Counter *counter, int64_t n);
void counter_set (Counter *counter, int64_t value);
int64_t counter_value (const Counter *counter);

/** Counts a refused client request in pond_refusals_total, with the name of @p kind as its reason. Any
 * thread. */
void counter_add_refusal (ErrKind kind);

/** Formats all counters, gauges and histograms in the Prometheus text format. Any thread.
 * @return a talloc string under @p ctx. */
char *counters_print (const void *ctx);
