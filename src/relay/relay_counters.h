/** @file
 * Counters and histograms of relays. */
#pragma once

#include "core/counter.h"
#include "core/histogram.h"

typedef struct
{
  Counter *requests;
  Counter *open;
  Counter *late_events;
  Counter *stream_pauses;
  Counter *tokens_delivered;
  Counter *usage_rejected;
  Histogram *duration;
  Histogram *first_event;
  Histogram *gap;
} RelayCounters;

const RelayCounters *relay_counters (void);

/** Counts a request that is sent again, by the reason why. */
void relay_count_retry (ErrKind reason);
