/** @file
 * The cost of sending a request to a server, in milliseconds until the first event of the response
 * stream. No state; lock "dispatch". */
#pragma once

#include "dispatch/dispatch.h"
#include "dispatch/prefix_map.h"
#include "dispatch/server.h"

/** Moving averages over the servers of a service. */
typedef struct
{
  double prefill_tokens_per_ms; /* speed of processing prompts */
  double base_ms; /* from sending to the first event of an idle server, without the prefill */
  double mean_prompt_tokens;
  double mean_prefill_tokens; /* prompt without what the chosen server has cached */
  double residence_ms;        /* from sending to the end of a complete response */
  int64_t
      gap_ms; /* the shortest pause that routes to these servers allow in a stream; 0: none does */
} LatencyModel;

/** What a choice goes by, the same for all servers. */
typedef struct
{
  const DispatchQuery *query;
  const LatencyModel *latency;
  const PrefixMap *map;
  const Server *affinity; /* see cost_affinity_server(); may be NULL */
  PlacingParts parts;
} CostInputs;

/** The parts of the cost of sending a request to a server, each in milliseconds until the request's first event or
 * worth as much. */
typedef struct
{
  double first_event_ms; /* expected, see cost_first_event_ms() */
  double failures_ms;    /* a failed attempt takes time */
  double
      pauses_ms; /* what streams that run there lose by the pauses that the prompt puts into them */
  double connection_ms; /* for a new one */
  double distance_ms;
  double repeated_ms; /* for shared parts that another server is expected to hold */
} ServerCost;

/** Chooses the server whose prefix cache should hold the prompt's shared parts, by rendezvous
 * hashing among the servers without a limit: hosts to which the same servers are usable choose the same
 * one without communicating.
 * @return NULL if there are no shared parts or no usable server. */
const Server *cost_affinity_server (const List *servers, const DispatchQuery *query);

/** @return the prompt tokens that @p server would have to process: all but those of leading parts
 * that it is known to have cached, or is expected to if it is the affinity server. */
Tokens cost_prefill_tokens (const Server *server, const CostInputs *inputs);

/** @return expected milliseconds until the first event. */
double cost_first_event_ms (const Server *server, const CostInputs *inputs);

/** @return what it costs the request and others to send it to @p server. */
ServerCost cost_of_server (const Server *server, const CostInputs *inputs);

/** @return the sum of the parts. */
double cost_total (const ServerCost *cost);

/** @return the difference of costs within which hosts that know the same should not all choose the same server: less than
 * what one more request there changes, and than what it costs to read shared parts again. */
double cost_spread_ms (const CostInputs *inputs);
