/** @file
 * The backend servers as this host sees them, and the choice among them. Lock "route"; any thread.
 * Every function takes the time; there is no clock here. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/err.h"
#include "core/tokens.h"
#include "backend/failure.h"
#include "route/retry.h"
#include "ticket/config.h"

typedef struct Routes Routes;

typedef struct
{
  const char *data_centre;
  const char *region;
  uint64_t seed;
} RoutesOptions;

Routes *routes_new (const void *ctx, const RoutesOptions *options);

/** Takes over pools, servers, stops and policy from a new configuration; keeps what is known of
 * servers that stay. Does not keep @p config. The policy "default" names the variant. */
void routes_configure (Routes *routes, const Config *config);

#define ROUTE_MAX_PREFIXES 32
#define ROUTE_MAX_TRIED    8
#define ROUTE_NAME_BYTES   64

typedef struct
{
  const char *pool;
  int priority; /* 0 to 9 */
  int64_t now_ms;
  int64_t deadline_ms;
  Tokens prompt_tokens;
  Tokens max_tokens;
  bool streams_resume; /* the caller's request may be moved by the engine's resume */
  /** Hashes of the prompt's leading blocks, each over everything before its end; from
   * prefix_hashes(). */
  uint64_t prefixes[ROUTE_MAX_PREFIXES];
  size_t n_prefixes;
  char tried[ROUTE_MAX_TRIED][ROUTE_NAME_BYTES]; /* servers not to use again */
  size_t n_tried;
} RouteQuery;

/** Fills in @p out with hashes over the first 1, 2, ... blocks of the prompt. @return how many. */
size_t prefix_hashes (const char *prompt, size_t len, uint64_t *out, size_t max);

typedef struct
{
  char pool[ROUTE_NAME_BYTES];
  char server[ROUTE_NAME_BYTES];
  char address[ROUTE_NAME_BYTES];
  bool cross_region;
  bool cross_data_centre;
  Tokens tokens; /* counted as in flight until route_end() */
  uint64_t id;
} RouteChoice;

/** Chooses a server and counts the request as in flight there until route_end().
 * @return false with ERR_UNKNOWN_POOL, ERR_NO_SERVER, ERR_OVERLOADED, ERR_STOP_PLANNED,
 * ERR_SERVER_LEAVING or ERR_DEADLINE_EXCEEDED (the deadline cannot be met). err->retry_after_ms is
 * set where a time is known. */
bool route_pick (Routes *routes, const RouteQuery *query, RouteChoice *choice, Err *err);

typedef struct
{
  bool failed;
  FailurePoint point;     /* if failed */
  int64_t first_token_ms; /* from the start of the attempt; -1 if none came */
  int64_t total_ms;
  Tokens tokens_out;
  int64_t bytes;
} RouteResult;

/** Ends what route_pick() began. Exactly once per choice; a second call violates
 * in_flight_never_negative and does nothing. */
void route_end (Routes *routes, const RouteChoice *choice, const RouteResult *result,
                int64_t now_ms);

/** Progress of a stream: @p tokens more have come. */
void route_progress (Routes *routes, const RouteChoice *choice, Tokens tokens);

/** A server's own load report. */
typedef struct
{
  int running;
  int waiting;
  double cache_used; /* 0 to 1 */
  bool leaving;
  int64_t age_ms;
} LoadReport;

/** Parses an X-Pond-Load header: "running=3 waiting=0 cache=0.41 leaving=0 age_ms=120". */
bool load_report_parse (const char *text, LoadReport *report);

void route_report_load (Routes *routes, const char *server, const LoadReport *report,
                        int64_t now_ms);

/** Takes a server out of use before any ticket does: it is on the host list as leaving, or refused
 * work because it is leaving. Ends with a call with @p leaving false, or when a ticket that marks the
 * server leaving is followed by one that does not, or when the server reports that it stays and the
 * mark was not repeated for 30 s. Servers that are not configured are ignored, so
 * repeat the call on each reading of the host list. */
void route_mark_leaving (Routes *routes, const char *server, bool leaving, int64_t now_ms);

/** The retry decision with the pool's retry budget, counted by reason. */
RetryDecision route_retry (Routes *routes, const char *pool, const RetryQuery *query);

/** Servers that are to be asked for their load: nothing was heard from them since @p older_than_ms
 * and they were not returned here since then. Those silent for longest come first; ones that are
 * avoided after failures and ones in this region count for more. At most 64. */
size_t routes_silent (Routes *routes, int64_t now_ms, int64_t older_than_ms, RouteChoice *out,
                      size_t max);

/** @return requests of this host that are in flight at a server. */
size_t routes_in_flight (Routes *routes, const char *server);

/** A stream that a planned stop would cut off. */
typedef struct
{
  uint64_t id; /* of its RouteChoice */
  char pool[ROUTE_NAME_BYTES];
  char server[ROUTE_NAME_BYTES];
  Tokens tokens_out;
} RouteMove;

/** Lists streams that are to be moved now by the engine's resume: a planned stop of their server is
 * close and they may outlast its start. A stream is listed until its choice is ended. Streams that
 * cannot be resumed are not listed.
 * @return how many there are, which may be more than @p max. */
size_t routes_to_move (Routes *routes, int64_t now_ms, RouteMove *out, size_t max);

/** @return JSON of all servers for `status`, a talloc string under @p ctx. */
char *routes_describe (Routes *routes, const void *ctx);
