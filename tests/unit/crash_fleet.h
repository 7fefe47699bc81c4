/** @file
 * The hosts of a fleet with their relays, and servers that end when they begin to answer certain requests and come
 * back some seconds later, under virtual time. Requests arrive at random hosts. */
#pragma once

#include <glib.h>

#include "core/rng.h"
#include "fakes/fake_store.h"
#include "fakes/virtual_timers.h"
#include "quarantine/quarantine_rows.h"
#include "relay/relay.h"

typedef struct
{
  int hosts;
  int servers;
  int data_centres;      /* hosts and servers are spread over them */
  double requests_per_s; /* of all hosts; half of them are short, half take 2 s */
  uint64_t seed;
} CrashFleetOptions;

typedef struct CrashFleet CrashFleet;

typedef struct
{
  CrashFleet *fleet;
  char name[24];
  char data_centre[24];
  Backend backend;
  Dispatch *dispatch;
  Quarantine *quarantine;
  QuarantineRows *rows;
  FakeStoreClient *store;
  int group; /* hosts reach those of their group only */
  RelayDeps deps;
} CrashFleetHost;

typedef struct
{
  int number;
  char address[24];
  char data_centre[24];
  char id[24]; /* of the current start */
  int starts;
  bool running;
  bool cut_silently; /* ends without a word: its connections hang */
  List calls;        /* that it has received and not answered */
} CrashFleetServer;

/** What became of the sound requests that were sent in a span of time. */
typedef struct
{
  int sent;
  int begun;   /* the first server that they were sent to has begun to answer them */
  int whole;   /* answered completely */
  int refused; /* by the host, without being sent */
} CrashFleetCounts;

struct CrashFleet
{
  CrashFleetOptions options;
  VirtualTimers *timers;
  Timers *clock;
  const Catalog *catalog;
  const CatalogService *service;
  CrashFleetHost *hosts;
  CrashFleetServer *servers;
  Rng rng;
  double crashing_per_s; /* requests that end the servers that answer them */
  uint64_t crashing_part;
  /* The crashing requests have no parts in their prompts, but are one request that comes again: a booking, or one that
   * hosts may repeat. */
  bool one_request;
  bool one_repeatable_request;
  bool part_is_sound; /* its requests are answered */
  FakeStore *store;
  int part_answered; /* requests with the part that were answered completely */
  int part_refused;  /* by the host, without being sent */
  int64_t next_request_id;
  GArray *crashes;  /* int64_t: when a server ended under such a request */
  GArray *arrivals; /* int64_t: when such a request reached a server that runs */
  CrashFleetCounts counts;
  int64_t messages; /* from host to host */
  int last_status;  /* of the last refused request that crashes servers */
};

CrashFleet *crash_fleet_new (const CrashFleetOptions *options);
void crash_fleet_free (CrashFleet *f);

/** Plays the load for @p ms. */
void crash_fleet_run (CrashFleet *f, int64_t ms);

/** @return the current time. */
int64_t crash_fleet_now_ms (const CrashFleet *f);

/** From now on, hosts reach only every n-th host. All reach the store. */
void crash_fleet_split (CrashFleet *f, int groups);

/** Starts all hosts again: they have forgotten what they knew of requests. */
void crash_fleet_restart_hosts (CrashFleet *f);

/** Ends a server that has nothing to do with any request. */
void crash_fleet_end_server (CrashFleet *f, int server);

/** @return the number of times in @p list, which is crashes or arrivals, from @p from_ms on. */
int crash_fleet_count (const GArray *list, int64_t from_ms);
