/** @file
 * The dispatch of a fleet of hosts under load, and backend servers that name limits in their responses, under
 * virtual time. Requests arrive at random hosts. */
#pragma once

#include <glib.h>

#include "catalog/catalog.h"
#include "core/rng.h"
#include "dispatch/dispatch.h"

typedef struct
{
  int hosts;
  int servers;
  double requests_per_s; /* of all hosts */
  int data_centres;      /* hosts and servers are spread over them */
  uint64_t seed;
} LimitFleetOptions;

typedef struct
{
  char name[16];
  char data_centre[16];
  Dispatch *dispatch;
} LimitFleetHost;

typedef struct
{
  char id[16];
  char data_centre[16];
  double limit_requests_per_s; /* 0: none */
  int running;
} LimitFleetServer;

typedef struct
{
  LimitFleetOptions options;
  const Catalog *catalog;
  const CatalogService *service;
  LimitFleetHost *hosts;
  LimitFleetServer *servers;
  GArray *arrivals; /* of all servers, in order of time */
  GArray **due;     /* events of each millisecond of a ring */
  Rng rng;
  int64_t now_ms;
  double next_request_ms;
  int sent;
  int refused;
} LimitFleet;

LimitFleet *limit_fleet_new (const LimitFleetOptions *options);
void limit_fleet_free (LimitFleet *f);

/** Plays the load for @p ms. */
void limit_fleet_run (LimitFleet *f, int64_t ms);

/** The server names this limit from now on, in all responses. 0: none. */
void limit_fleet_set_limit (LimitFleet *f, int server, double requests_per_s);

/** @return the requests that arrived at the server since @p from_ms. */
int limit_fleet_count (const LimitFleet *f, int server, int64_t from_ms);

/** @return the most requests that arrived at the server in any window of 4 s since @p from_ms. */
int limit_fleet_worst_window (const LimitFleet *f, int server, int64_t from_ms);

/** @return the requests that a server with this limit may get in 4 s. */
double limit_fleet_allowed (double requests_per_s);
