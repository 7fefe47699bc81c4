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
} LatencyModel;

/** Chooses the server whose prefix cache should hold the prompt's shared parts, by rendezvous
 * hashing among the servers without a limit: hosts to which the same servers are usable choose the same
 * one without communicating.
 * @return NULL if there are no shared parts or no usable server. */
const Server *cost_affinity_server (const List *servers, const DispatchQuery *query);

/** @return the prompt tokens that @p server would have to process: all but those of leading parts
 * that it is known to have cached, or is expected to if it is the affinity server. */
Tokens cost_prefill_tokens (const Server *server, const DispatchQuery *query, const PrefixMap *map,
                            const Server *affinity);

/** @return expected milliseconds until the first event. */
double cost_first_event_ms (const Server *server, const DispatchQuery *query,
                            const LatencyModel *latency, const PrefixMap *map,
                            const Server *affinity);

/** @return cost_first_event_ms() plus penalties for failures, warm-up, a new connection, the
 * distance and shared prompt parts that the server is not expected to have cached. */
double cost_total (const Server *server, const DispatchQuery *query, const LatencyModel *latency,
                   const PrefixMap *map, const Server *affinity);
