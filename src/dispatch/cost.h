/** @file
 * What it costs to send a request to a server, in milliseconds until its first event. No state; lock
 * "dispatch". */
#pragma once

#include "dispatch/dispatch.h"
#include "dispatch/prefix_map.h"
#include "dispatch/server.h"

/** What the servers of a service have shown. */
typedef struct
{
  double tokens_per_ms; /* speed of reading prompts */
  double base_ms;       /* from sending to the first answer of an idle server */
  double mean_prompt;   /* tokens */
} ServicePace;

/** @return which of @p servers the prompt's shared parts belong on, so that all hosts send requests that
 * share them there without talking; NULL without shared parts. */
const Server *cost_home (const List *servers, const DispatchQuery *query);

/** @return the prompt tokens that @p server would have to read: without those of leading parts that it
 * is known or, as their home, expected to hold. */
Tokens cost_unread_tokens (const Server *server, const DispatchQuery *query, const PrefixMap *map,
                           const Server *home);

/** @return expected milliseconds until the first event. */
double cost_first_ms (const Server *server, const DispatchQuery *query, const ServicePace *pace,
                      const PrefixMap *map, const Server *home);

/** @return cost_first_ms() with what the choice is worth beyond time: the distance and shared parts. */
double cost_of (const Server *server, const DispatchQuery *query, const ServicePace *pace,
                const PrefixMap *map, const Server *home);
