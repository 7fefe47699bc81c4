/** @file
 * Metrics of the relay. */
#pragma once

#include "core/counter.h"
#include "core/histogram.h"

typedef struct
{
  Counter *requests;
  Counter *open_requests;
  Counter *late_events;      /* backend events of attempts that had ended already */
  Counter *refusals_doubted; /* "not run" that may belong to an earlier request */
  Counter *ends_confirmed; /* responses that ended with their connection, whose server still ran */
  Counter *ends_unproved;
  Counter *extra_answers;
  Counter *responses_waited;
  Counter *stream_pauses; /* times that a stream waited for a slow client */
  Counter *budget_pauses; /* times that a stream waited until more of its reservation was covered */
  Counter *tokens_delivered;
  Counter *usage_rejected;
  Histogram *duration;
  Histogram *first_event; /* time to the first event of a stream */
  Histogram *event_gap;   /* time between events of a stream */
} RelayCounters;

const RelayCounters *relay_counters (void);

/** Counts a retry under the @p reason that caused it. */
void relay_count_retry (ErrKind reason);
