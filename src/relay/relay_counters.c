#include "relay/relay_counters.h"

#include <pthread.h>
#include <stdio.h>

static RelayCounters counters;
static pthread_once_t once = PTHREAD_ONCE_INIT;

static void
register_metrics (void)
{
  counters.requests = counter_get ("pond_requests_total", "", "Requests received.");
  counters.open_requests = gauge_get ("pond_open_requests", "", "Requests being worked on.");
  counters.late_events
      = counter_get ("pond_late_events_total", "", "Events of an earlier attempt, dropped.");
  counters.refusals_doubted
      = counter_get ("pond_refusals_doubted_total", "",
                     "Refusals of servers that may belong to an earlier request.");
  counters.ends_confirmed
      = counter_get ("pond_ends_checked_total", "whole=\"yes\"",
                     "Responses without a length that ended with their connection, by finding.");
  counters.ends_unproved
      = counter_get ("pond_ends_checked_total", "whole=\"no\"",
                     "Responses without a length that ended with their connection, by finding.");
  counters.extra_answers
      = counter_get ("pond_extra_answers_total", "",
                     "Second answers behind a response without a length, left out.");
  counters.responses_waited
      = counter_get ("pond_responses_waited_total", "",
                     "Responses that found no room, as clients take theirs slowly.");
  counters.stream_pauses
      = counter_get ("pond_stream_pauses_total", "", "Streams held back for a slow reader.");
  counters.budget_pauses = counter_get ("pond_stream_budget_pauses_total", "",
                                        "Streams held back until more of their budget is covered.");
  counters.tokens_delivered
      = counter_get ("pond_tokens_delivered_total", "", "Tokens of answers passed on.");
  counters.usage_rejected = counter_get ("pond_usage_rejected_total", "",
                                         "Answers whose usage was above the reservation.");
  counters.duration = histogram_get ("pond_request_seconds", "From request line to answer.");
  counters.first_event
      = histogram_get ("pond_first_event_seconds", "From request line to a stream's first event.");
  counters.event_gap = histogram_get ("pond_event_gap_seconds", "Time between events of a stream.");
}

const RelayCounters *
relay_counters (void)
{
  pthread_once (&once, register_metrics);
  return &counters;
}

void
relay_count_retry (ErrKind reason)
{
  char labels[96];

  snprintf (labels, sizeof labels, "reason=\"%s\"", err_info (reason)->name);
  counter_add (counter_get ("pond_retries_total", labels, "Requests sent again, by reason."), 1);
}
