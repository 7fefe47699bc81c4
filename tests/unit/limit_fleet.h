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

typedef struct LimitFleet LimitFleet;

typedef struct
{
  LimitFleet *fleet;
  char name[24];
  char data_centre[24];
  Dispatch *dispatch;
  int group;    /* hosts know and reach those of their group only */
  bool stopped; /* gets no requests and is in no list of hosts */
  int64_t *
      told_ms; /* for each server, when the host first got a response that names a limit; 0: never */
} LimitFleetHost;

typedef struct
{
  char id[24];
  char data_centre[24];
  double limit_requests_per_s; /* 0: none */
  bool mute;                   /* requests get no response */
  int running;
} LimitFleetServer;

struct LimitFleet
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
  int64_t max_retry_after_ms; /* of the refused requests */
  bool messages_lost;         /* hosts get no messages of other hosts */
  bool
      only_told; /* the results count only requests of hosts that the server had told 500 ms before */
};

LimitFleet *limit_fleet_new (const LimitFleetOptions *options);
void limit_fleet_free (LimitFleet *f);

/** Plays the load for @p ms. */
void limit_fleet_run (LimitFleet *f, int64_t ms);

/** The server names this limit from now on, in all responses. 0: none. */
void limit_fleet_set_limit (LimitFleet *f, int server, double requests_per_s);

/** From now on, hosts know and reach only every n-th host. 1: all of them. */
void limit_fleet_split (LimitFleet *f, int groups);

/** Stops a host; the other hosts know it at once. */
void limit_fleet_stop_host (LimitFleet *f, int host);

/** Starts a host again, which then knows no limits. */
void limit_fleet_start_host (LimitFleet *f, int host);

/** @return the requests that arrived at the server since @p from_ms. */
int limit_fleet_count (const LimitFleet *f, int server, int64_t from_ms);

/** @return the most requests that arrived at the server in any window of 4 s since @p from_ms. */
int limit_fleet_worst_window (const LimitFleet *f, int server, int64_t from_ms);

/** @return how many limits of servers the hosts believe in, summed over all hosts. */
int limit_fleet_known_limits (const LimitFleet *f);

/** @return the requests that a server with this limit may get in 4 s. */
double limit_fleet_allowed (double requests_per_s);
