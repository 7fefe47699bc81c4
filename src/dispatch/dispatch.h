/** @file
 * Load balancing: the backend servers of all services, and the choice of one for each request. Lock
 * "dispatch"; any thread. Every function takes the current time; this module reads no clock. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catalog/catalog.h"
#include "core/err.h"
#include "core/tokens.h"
#include "dispatch/drain_set.h"
#include "dispatch/host_list.h"
#include "dispatch/limit_statement.h"
#include "dispatch/placing_parts.h"
#include "dispatch/retry_budget.h"
#include "dispatch/server_load.h"
#include "dispatch/server_record.h"
#include "dispatch/server_version.h"
#include "dispatch/service_room.h"

typedef struct Dispatch Dispatch;
typedef struct Assignment Assignment;

/** @return the region of a data centre, or NULL if it is unknown. */
typedef const char *(*RegionOfFn) (void *data, const char *data_centre);

typedef struct
{
  const char *host; /* name of this host */
  const char *data_centre;
  const char *region;
  RegionOfFn region_of;
  void *region_data;
  RetryLimits retries;
  uint64_t seed;
  /* Of what cold servers bear, as in ColdTolerance; 0: no limit is kept. */
  double cold_overshoot;
  double cold_slack;
  const char *policy; /* "cost", "least", "two_choices" or "random" */
  PlacingParts parts; /* of the policy "cost" */
  /** Called when a server reports to this host that it is draining and no other host has reported it
   * yet. Any thread, without the lock; may be NULL. */
  void (*server_draining) (void *data, const ServerInstance *instance);
  void *server_draining_data;
  /** Called when the other hosts are to be informed of what a server has stated: it has changed, or is to be
   * repeated. Any thread, without the lock; may be NULL. */
  void (*server_limited) (void *data, const ServerInstance *instance, LimitStatement statement,
                          int64_t stated_ms);
  void *server_limited_data;
  /** Called when the record of a server is gone or was replaced by that of another start, and the server was not
   * draining. Control loop, without the lock; may be NULL. */
  void (*server_ended) (void *data, const ServerInstance *instance);
  void *server_ended_data;
} DispatchOptions;

/** @return a talloc object under @p ctx. */
Dispatch *dispatch_new (const void *ctx, const DispatchOptions *options);

/** Adds a server, or updates it from the record that it has published. */
void dispatch_server_changed (Dispatch *dispatch, const ServerRecord *record, int64_t now_ms);

/** The record of a server is no longer in the store. @param grace_ms 0: its owner has removed it. Otherwise
 * it may have expired only because of a store outage and may come back: the server stays in use for this time. */
void dispatch_server_removed (Dispatch *dispatch, const char *id, int64_t grace_ms, int64_t now_ms);

/** Another host reports that a server is draining. */
void dispatch_server_draining (Dispatch *dispatch, const ServerInstance *instance, int64_t now_ms);

/** Another host reports what a server has stated about its limit @p age_ms ago. */
void dispatch_server_limited (Dispatch *dispatch, const ServerInstance *instance,
                              LimitStatement statement, int64_t age_ms, int64_t now_ms);

/** The operator evacuates a data centre, whether it is known or not, or takes that back: until then its servers, those
 * included that are added later, get no requests. Those in flight go on. */
void dispatch_set_evacuated (Dispatch *dispatch, const char *data_centre, bool evacuated,
                             int64_t now_ms);

/** @return a JSON list of the names of the evacuated data centres, a talloc string under @p ctx. */
char *dispatch_describe_evacuated (Dispatch *dispatch, const void *ctx);
/** The load of a server, as hosts tell each other. */
typedef struct
{
  uint32_t key; /* of one start of a server */
  LoadFigures figures;
} SharedLoad;

/** Collects what this host has learned of servers' loads since @p since_ms, the newest statements first.
 * @param heard_too also what other hosts have told. @return the number of elements, @p max at most. */
size_t dispatch_loads_since (Dispatch *dispatch, int64_t since_ms, bool heard_too,
                             SharedLoad *loads, size_t max, int64_t now_ms);

/** Another host reports what servers have stated about their loads. Servers that aren't known here, figures that are
 * older than those known and such that no server can have are counted and ignored. */
void dispatch_loads_heard (Dispatch *dispatch, const SharedLoad *loads, size_t n, int64_t now_ms);

/** Removes servers whose grace period after an unconfirmed removal has ended, and outdated entries of
 * the drain set. */
void dispatch_expire (Dispatch *dispatch, int64_t now_ms);

/** Sets the hosts that share the limits of servers, connections and retries, and the number of hosts that are not in
 * this list, but may still send requests: they count for the limits of connections and retries. */
void dispatch_set_hosts (Dispatch *dispatch, const ListedHost *hosts, size_t n, int n_silent);

/** @return the number of usable servers of all services. */
size_t dispatch_n_usable (Dispatch *dispatch, int64_t now_ms);

#define DISPATCH_MAX_PARTS 16
#define DISPATCH_MAX_TRIED 8

/** A part of a prompt. Requests may share leading parts, which servers keep in their prefix
 * caches. */
typedef struct
{
  uint64_t id;
  Tokens tokens;
} PromptPart;

typedef struct
{
  const CatalogService *service;
  int64_t now_ms;
  bool is_retry; /* an earlier attempt may have reached a server: counts against the retry limits */
  bool is_counted;     /* an earlier attempt has been counted as a request for the retry limits */
  const char *version; /* only servers of this version, as in AssignmentServer; NULL: of any */
  const ServerVersions *allowed; /* only servers of these; NULL: of any */
  const RegionSet *regions;      /* only servers in these; NULL: in any */
  Tokens prompt_tokens;
  Tokens max_tokens; /* of the response */
  const PromptPart *parts;
  size_t n_parts;
  const char *tried[DISPATCH_MAX_TRIED]; /* ids of servers that must not be used again */
  size_t n_tried;
  int priority;          /* 0 is the most urgent */
  int64_t target_ms;     /* objective of the request's route; 0: none */
  int64_t left_ms;       /* until the request's deadline */
  int64_t target_gap_ms; /* the longest pause in its stream that the route allows; 0: any */
  bool was_rejected;     /* the server of the attempt before had no room for it */
} DispatchQuery;

/** Chooses a server and counts the request as in flight there until assignment_end(). The only place that takes
 * from the limits of servers.
 * @return a talloc object under @p ctx, or NULL with ERR_NO_SERVER, ERR_VERSION_GONE, ERR_REGION_UNSERVED, ERR_EVACUATED,
 * ERR_OVERLOADED, ERR_SERVER_LIMITS, ERR_SERVERS_COLD or ERR_RETRIES_EXHAUSTED. */
Assignment *dispatch_pick (Dispatch *dispatch, const void *ctx, const DispatchQuery *query,
                           Err *err);

/** @return what the servers of a service can take, at most some 50 ms old. */
ServiceRoom dispatch_room (Dispatch *dispatch, const CatalogService *service, int64_t now_ms);

const char *assignment_server (const Assignment *assignment);

typedef struct
{
  ServerInstance instance; /* valid as long as the assignment */
  const char *version; /* of the server's software, when it was chosen; as long as the assignment */
  /* Since then the record has changed to another start or version of the server. It may be that this is the one that
   * was sent the request, as records arrive late. */
  bool version_doubtful;
  bool draining;
  int others_in_flight; /* other requests of this host */
} AssignmentServer;

/** @return whether the server with this id is known, with another version than @p version (as in AssignmentServer). */
bool dispatch_names_other_version (Dispatch *dispatch, const char *id, const char *version);

/** @return whether a known server has this address. */
bool dispatch_has_address (Dispatch *dispatch, const char *address);

AssignmentServer assignment_server_state (const Assignment *assignment);
const char *assignment_address (const Assignment *assignment);

/** What limits of servers had to do with a choice. */
typedef struct
{
  int avoided; /* servers that were not considered because of their limits */
  /* The limit of the chosen server, or else of one that was avoided; 0: none. */
  double requests_per_s;
  int64_t age_ms; /* of the server's statement */
} AssignmentLimits;

AssignmentLimits assignment_limits (const Assignment *assignment);

/** @return the milliseconds from sending to the first event, as estimated when the server was
 * chosen. */
double assignment_expected_first_event_ms (const Assignment *assignment);

/** The first event of a response stream, or the headers of a response that is not streamed, have
 * arrived. */
void assignment_report_first_event (Assignment *assignment, int64_t now_ms);

/** The response carried a load report of the server. */
void assignment_report_load (Assignment *assignment, const LoadFigures *figures, int64_t now_ms);

/** @return how long a connection to the server may have been idle if this request is to reuse
 * it. */
int64_t assignment_max_idle_ms (const Assignment *assignment);

/** The response announces for how long its connection is kept alive (0: not stated), and whether
 * the server closes it after the response. */
void assignment_report_keep_alive (Assignment *assignment, int64_t keep_alive_ms,
                                   bool closes_connection);

/** The response says that its server is draining: the server gets no new requests. If it is
 * @p misdirected, it came from a different server, which has taken over the address. */
void assignment_report_draining (Assignment *assignment, bool misdirected, int64_t now_ms);

/** The response asks this host to send the server no requests for @p ms. */
void assignment_report_pause (Assignment *assignment, int64_t ms, int64_t now_ms);

/** The response states a limit of the server, or that it has none. The latter counts only if the request was sent
 * after the server last stated a limit. */
void assignment_report_limit (Assignment *assignment, LimitStatement statement, int64_t now_ms);

/** The response states how many rejections in a second its server bears, or (less than 0) nothing of it. @param rejected it
 * is one. */
void assignment_report_brittle (Assignment *assignment, int max_rejections, bool rejected,
                                int64_t now_ms);

/** The response states for how long its server is still cold; 0: it is not. */
void assignment_report_cold (Assignment *assignment, int64_t ms, int64_t now_ms);

typedef enum
{
  ASSIGNMENT_COMPLETED,   /* complete response with a status below 500 */
  ASSIGNMENT_CANCELLED,   /* cancelled by this host */
  ASSIGNMENT_REJECTED,    /* the server did not run the request */
  ASSIGNMENT_MISDIRECTED, /* a different server has the address */
  ASSIGNMENT_UNREACHABLE, /* no connection */
  ASSIGNMENT_FAILED /* connection lost, time-out, invalid response or status of at least 500 */
} AssignmentResult;

/** Ends the use of the server that dispatch_pick() chose, and frees the assignment. */
void assignment_end (Assignment *assignment, AssignmentResult result, int64_t now_ms);

/** @return JSON of all servers, a talloc string under @p ctx. */
char *dispatch_describe (Dispatch *dispatch, const void *ctx, int64_t now_ms);
