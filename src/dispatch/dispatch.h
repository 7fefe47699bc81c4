/** @file
 * The backend servers of all services and the choice among them. Lock "dispatch"; any thread. Every
 * function takes the time; there is no clock here. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catalog/catalog.h"
#include "core/err.h"
#include "core/tokens.h"
#include "dispatch/leavers.h"
#include "dispatch/retry_pool.h"
#include "dispatch/server_record.h"

typedef struct Dispatch Dispatch;
typedef struct Flight Flight;

/** @return the region of a data centre, or NULL if it is unknown. */
typedef const char *(*RegionOfFn) (void *data, const char *data_centre);

typedef struct
{
  const char *data_centre;
  const char *region;
  RegionOfFn region_of;
  void *region_data;
  RetryLimits retries;
  uint64_t seed;
  const char *policy; /* "cost", "least", "two_choices" or "random" */
  /** This host is the first to learn from a server that it leaves. Any thread, without the lock; may be
   * NULL. */
  void (*leaves) (void *data, const ServerStart *start);
  void *leaves_data;
} DispatchOptions;

/** @return a talloc object under @p ctx. */
Dispatch *dispatch_new (const void *ctx, const DispatchOptions *options);

/** Takes over what a server has published. */
void dispatch_server_changed (Dispatch *dispatch, const ServerRecord *record, int64_t now_ms);

/** A server is no longer published. Unless the store was @p steady, the entry may have lapsed only
 * because of that and come back: the server may still be used for a while. */
void dispatch_server_removed (Dispatch *dispatch, const char *id, bool steady, int64_t now_ms);

/** Another host has learned from a server that it leaves. */
void dispatch_server_leaves (Dispatch *dispatch, const ServerStart *start, int64_t now_ms);

/** Ends the use of servers whose doubt has ended. */
void dispatch_expire (Dispatch *dispatch, int64_t now_ms);

/** Tells how many hosts share the limits. */
void dispatch_set_hosts (Dispatch *dispatch, int hosts);

/** @return servers that may be used, of all services. */
size_t dispatch_n_usable (Dispatch *dispatch, int64_t now_ms);

#define DISPATCH_MAX_PARTS 16
#define DISPATCH_MAX_TRIED 8

/** A part of a prompt that other requests may share. */
typedef struct
{
  uint64_t id;
  Tokens tokens;
} PromptPart;

typedef struct
{
  const CatalogService *service;
  int64_t now_ms;
  int64_t objective_ms;
  int priority;
  bool repeat; /* was sent before: draws on the retry limits */
  Tokens prompt_tokens;
  Tokens max_tokens; /* of the answer */
  const PromptPart *parts;
  size_t n_parts;
  const char *tried[DISPATCH_MAX_TRIED]; /* ids of servers not to use again */
  size_t n_tried;
} DispatchQuery;

/** Chooses a server and counts the request as in flight there until flight_end().
 * @return a talloc object under @p ctx, or NULL with ERR_NO_SERVER, ERR_OVERLOADED or
 * ERR_RETRIES_EXHAUSTED. */
Flight *dispatch_pick (Dispatch *dispatch, const void *ctx, const DispatchQuery *query, Err *err);

const char *flight_server (const Flight *flight);
const char *flight_address (const Flight *flight);

/** @return the milliseconds to the first event that the choice reckoned with. */
double flight_expected_ms (const Flight *flight);

/** The first part of an answer has come. */
void flight_first (Flight *flight, int64_t now_ms);

/** A report of the server's load came with an answer. */
void flight_report_load (Flight *flight, int running, int waiting, int slots, int64_t now_ms);

/** @return for how long a connection to the server may have been idle that the request uses. */
int64_t flight_max_idle_ms (const Flight *flight);

/** An answer says for how long its connection is kept (0: not said), and whether it @p closes. */
void flight_report_connection (Flight *flight, int64_t promised_ms, bool closes);

/** An answer says that its server leaves: it gets nothing new. With @p other the answer is of whatever
 * server has the address now. */
void flight_report_leaving (Flight *flight, bool other, int64_t now_ms);

/** An answer says that its server wants nothing from this host for @p ms. */
void flight_report_pause (Flight *flight, int64_t ms, int64_t now_ms);

typedef enum
{
  FLIGHT_DONE,        /* a whole answer */
  FLIGHT_CANCELLED,   /* ended by this side */
  FLIGHT_REJECTED,    /* the server did not take it */
  FLIGHT_MISDIRECTED, /* another server has the address */
  FLIGHT_UNREACHABLE, /* no connection */
  FLIGHT_FAILED       /* broke off, silent, or an error */
} FlightEnd;

/** Ends what dispatch_pick() began, and frees the flight. */
void flight_end (Flight *flight, FlightEnd end, int64_t now_ms);

/** @return JSON of all servers, a talloc string under @p ctx. */
char *dispatch_describe (Dispatch *dispatch, const void *ctx, int64_t now_ms);
