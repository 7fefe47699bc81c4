/** @file
 * The hosts of a fleet with their relays, servers of several software versions, and clients that take up streams that
 * are broken off, at any host, under virtual time. */
#pragma once

#include <glib.h>

#include "core/rng.h"
#include "fakes/fake_store.h"
#include "fakes/virtual_timers.h"
#include "relay/relay.h"
#include "streams/stream_rows.h"

typedef struct
{
  int hosts;
  double streams_per_s; /* of all hosts */
  uint64_t seed;
  bool untracked; /* hosts don't look for the version of a stream */
} StreamFleetOptions;

typedef struct StreamFleet StreamFleet;

typedef struct
{
  StreamFleet *fleet;
  int number;
  char name[24];
  Backend backend;
  Quarantine *quarantine;
  Dispatch *dispatch;
  Streams *streams;
  StreamRows *rows;
  FakeStoreClient *store;
  GByteArray *seen; /* state of each server as this host knows it */
  List tries;       /* open ones of clients */
  bool is_down;
  RelayDeps deps;
} StreamFleetHost;

typedef struct
{
  char address[24];
  char id[24];
  char version[24];
  int state;  /* of its record */
  bool ended; /* its process */
  List calls; /* that it works on */
  int begun;  /* new streams */
} StreamFleetServer;

/** What became of streams. */
typedef struct
{
  int begun;    /* new ones that brought an event */
  int sent;     /* new ones */
  int taken_up; /* that were broken off, once for each break */
  int went_on;  /* of these */
  int joined;   /* streams with events of two versions */
  int whole;
} StreamFleetCounts;

struct StreamFleet
{
  StreamFleetOptions options;
  VirtualTimers *timers;
  Timers *clock;
  const Catalog *catalog;
  const CatalogService *service;
  FakeStore *store;
  StreamFleetHost *hosts;
  GPtrArray *servers; /* StreamFleetServer */
  Rng rng;
  StreamFleetCounts counts;
  int64_t next_id;
};

StreamFleet *stream_fleet_new (const StreamFleetOptions *options);
void stream_fleet_free (StreamFleet *f);

/** Plays the load for @p ms. */
void stream_fleet_run (StreamFleet *f, int64_t ms);

void stream_fleet_add_servers (StreamFleet *f, const char *version, int n);

/** Lets the first @p n servers of a version leave: they get no new streams and end 2.5 s later. */
void stream_fleet_remove_servers (StreamFleet *f, const char *version, int n);

/** Ends hosts, from the first one on; they start again after @p ms and have forgotten everything. */
void stream_fleet_kill_hosts (StreamFleet *f, int n, int64_t ms);

/** Breaks every connection of clients. */
void stream_fleet_break_connections (StreamFleet *f);

/** Cuts the first @p n hosts off from the store, or ends that. */
void stream_fleet_cut (StreamFleet *f, int n, bool cut);

/** @return the number of new streams that servers of the version have begun. */
int stream_fleet_begun_at (const StreamFleet *f, const char *version);

int64_t stream_fleet_now_ms (const StreamFleet *f);
