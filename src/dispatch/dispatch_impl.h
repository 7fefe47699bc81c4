/** @file
 * Internals of the dispatch module: dispatch.c (choice of a server, set-up), candidate.c (assessment of one server), servers.c (the set of
 * known servers), assignments.c (requests in flight). */
#pragma once

#include <pthread.h>

#include <glib.h>

#include "core/counter.h"
#include "core/rng.h"
#include "dispatch/brittle.h"
#include "dispatch/cost.h"
#include "dispatch/dispatch.h"
#include "dispatch/drain_set.h"
#include "dispatch/prefix_map.h"
#include "dispatch/server.h"

typedef struct
{
  char *name;
  List servers;
  RetryBudget retry_budget;
  LatencyModel latency;
  Brittle brittle;
  double usual_others; /* moving average of Server.other_requests when servers state their loads */
  double hold_ms;      /* as in ServiceRoom */
  LostServers lost;
  ServiceRoom room; /* as of room_ms */
  int64_t room_ms;
} ServerPool; /* the servers of one service */

/* Why figures of a server's load were ignored. */
typedef enum
{
  LOAD_IGNORED_OLDER,
  LOAD_IGNORED_CONTRADICTORY,
  LOAD_IGNORED_UNKNOWN, /* no server has the key: another start, or one that this host doesn't know yet */
  N_LOAD_IGNORED
} LoadIgnored;

struct Dispatch
{
  pthread_mutex_t lock; /* "dispatch" */
  DispatchOptions options;
  Rng rng;
  GHashTable *pools;     /* by service */
  GHashTable *servers;   /* by id */
  GHashTable *evacuated; /* set of names of data centres */
  PrefixMap *prefixes;
  DrainSet *drain_set;
  HostList *hosts; /* that share the limits of servers, connections and retries */
  int n_silent_hosts;
  Counter *limit_avoided;
  Counter *cold_avoided;
  GHashTable *servers_by_key; /* see Server.key; NULL as a value: several have it */
  Counter *loads_ignored[N_LOAD_IGNORED];
};

struct Assignment
{
  Dispatch *dispatch;
  Server *server;
  ServerPool *pool;
  int64_t sent_ms;
  int64_t first_event_ms;  /* 0: not yet */
  double expected_wait_ms; /* for a place */
  Tokens prefill_tokens; /* counted in the server's pending_prefill_tokens until the first event */
  double expected_first_event_ms;
  bool first_event_seen;
  bool closes_connection; /* the server closes the connection after the response */
  bool is_engine;         /* the server is an inference engine, which processes prompts */
  char version[SERVER_VERSION_BYTES]; /* of the server, when it was chosen */
  uint32_t version_changes;           /* the same */
  AssignmentLimits limits;
};

/* The caller of these functions holds the lock. */

/* servers.c */
ServerPool *server_pool_get (Dispatch *d, const char *service);
void free_if_unused (Server *s);
/* @param source for the log: who has reported it. @return false if the instance was already in the
 * drain set. */
bool mark_draining (Dispatch *d, Server *s, const char *source, int64_t now_ms);
int n_hosts (const Dispatch *d);

/* Determines Server.host_rank anew if the list of hosts has changed. */
void update_host_rank (const Dispatch *d, Server *s);
/* @return this host's rank in the server's order of hosts, or -1 if the list of hosts lacks this host. */
int rank_of_host (const Dispatch *d, Server *s);

/* evacuation.c */
bool is_evacuated (const Dispatch *d, const char *data_centre);
/* load_picture.c */
void load_picture_init (Dispatch *d);
void load_picture_add (Dispatch *d, Server *s);
void load_picture_remove (Dispatch *d, const Server *s);
/* A server has stated its load. @param heard to another host, which has told it. */
void load_picture_report (Dispatch *d, Server *s, const LoadFigures *figures, bool heard,
                          int64_t now_ms);

/* limits.c */
/* @return whether the server is warm, or this host's share of what it bears while it is cold has room. */
bool has_room_if_cold (const Dispatch *d, Server *s, const DispatchQuery *q);
/* @return whether this host may send the server a request, as far as the server's limit is concerned. */
LimitState check_limit (Dispatch *d, Server *s, int64_t now_ms);
