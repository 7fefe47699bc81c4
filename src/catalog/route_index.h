/** @file
 * Finds the route of a request. The time that this takes grows with the number of different lengths of prefixes of one
 * host, not with the number of routes. */
#pragma once

#include "catalog/catalog.h"

typedef struct RouteIndex RouteIndex;

/** Part of a stored route, used by the index only. */
typedef struct RouteNode RouteNode;

struct RouteNode
{
  const CatalogRoute *route;
  size_t prefix_len;
  RouteNode *next; /* with the same host and prefix, in the order in which they were added */
  RouteNode *last; /* of these; only in the first one */
};

/** @return a talloc object under @p ctx. */
RouteIndex *route_index_new (const void *ctx);

/** Adds @p route, which must live as long as the index, as must @p node. */
void route_index_add (RouteIndex *index, RouteNode *node, const CatalogRoute *route);

/** @return see catalog_match_route(). */
const CatalogRoute *route_index_match (const RouteIndex *index, const char *method,
                                       const char *host, const char *path);
