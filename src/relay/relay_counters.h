/** @file
 * Metrics of the relay. */
#pragma once

#include "core/counter.h"
#include "core/histogram.h"

typedef struct
{
  Counter *requests;
  Counter *open_requests;
  Counter *late_events;
  Counter *stream_pauses;
  Counter *tokens_delivered;
  Counter *usage_rejected;
  Histogram *duration;
  Histogram *first_event;
  Histogram *event_gap;
} RelayCounters;

const RelayCounters *relay_counters (void);

/** Counts a retry under the @p reason that caused it. */
void relay_count_retry (ErrKind reason);
