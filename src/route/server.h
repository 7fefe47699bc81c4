/** @file
 * One backend server as this host sees it. All functions under the lock "route". */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/list.h"
#include "ops/stops.h"
#include "route/place.h"
#include "route/routes.h"

typedef struct
{
  /* Read by every pick; kept together for the cache. */
  bool leaving_by_ticket;
  bool leaving_by_mark;
  bool leaving_by_report;
  bool can_resume;
  Place place;
  int in_flight;
  int max_in_flight;   /* 0: no limit */
  Tokens own_tokens;   /* of own requests: prompts, and what they may still generate */
  int64_t measured_ms; /* of the last report */
  double others;       /* requests of other hosts, by the last report */
  int64_t down_until_ms;
  StopWindow *stops;
  size_t n_stops;
  double slots;       /* requests that its batch holds, learned from reports; 0: unknown */
  uint64_t place_key; /* of the name, for rendezvous hashing */
  double token_ms;    /* observed time between tokens; 0: unknown */
  int reuse;          /* scratch of one pick */

  int failures; /* attempts in a row that found no server */
  int64_t heard_ms;
  int64_t asked_ms;  /* for its load */
  int64_t marked_ms; /* last mark as leaving */
  LoadReport report;
  List flights;
  bool gone; /* no longer configured; freed with its last flight */
  char name[ROUTE_NAME_BYTES];
  char address[ROUTE_NAME_BYTES];
  char data_centre[ROUTE_NAME_BYTES];
  char region[ROUTE_NAME_BYTES];
} RouteServer;

/** @return a talloc object under @p ctx that knows its name and address only. */
RouteServer *route_server_new (const void *ctx, const ConfigServer *config);

/** Takes over what a ticket may change. */
void server_configure (RouteServer *server, const ConfigServer *config, const RoutesOptions *host);

/** Replaces the stop windows by those of @p config. */
void server_set_stops (RouteServer *server, const Config *config);

static inline bool
server_is_leaving (const RouteServer *server)
{
  return server->leaving_by_ticket || server->leaving_by_mark || server->leaving_by_report;
}

/** Takes over a load report unless a later measurement is known. */
void server_report (RouteServer *server, const LoadReport *report, int64_t now_ms);

/** @return requests on the server: own ones, and those of other hosts by the last report. */
static inline double
server_load (const RouteServer *server)
{
  return server->in_flight + server->others;
}

/** Marks the server as leaving or ends the mark. */
void server_mark_leaving (RouteServer *server, bool leaving, int64_t now_ms);

/** Takes over the end of an attempt. */
void server_ended (RouteServer *server, const RouteResult *result, int64_t now_ms);
