/** @file
 * Common code of the test stand-ins for backend servers: command line, HTTP server, fault injection, load
 * header, statistics. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "http/server.h"

typedef enum
{
  FAULT_REFUSE,             /* 503 with {"executed":false} */
  FAULT_CLOSE_BEFORE_RUN,   /* closes without a response; nothing was run */
  FAULT_CLOSE_MID_RESPONSE, /* closes in the middle of the response */
  FAULT_NO_RESPONSE,        /* accepts the request, runs nothing, never responds */
  FAULT_WRONG_ID,           /* responds with the id of another request */
  FAULT_SLOW,               /* takes ten times as long as usual */
  FAULT_RUN_THEN_CLOSE,     /* runs, then closes without a response; booking service only */
  FAULT_RUN_THEN_REFUSE, /* runs, then responds with 503 and nothing that says whether it ran; booking service only */
  N_FAULTS
} FaultKind;

typedef struct
{
  int running;
  int waiting;
  double cache_usage;
} StandinLoad;

typedef struct Standin Standin;

struct Standin
{
  Loop *loop;
  HttpServer *server;
  /** Number of further requests that each fault applies to; -1: all. */
  int faults[N_FAULTS];
  bool draining;
  double limit_requests_per_s; /* stated in the load header; 0: none */
  int64_t load_interval_ms;
  StandinLoad load;     /* now */
  StandinLoad reported; /* value of load at reported_ms; sent in the load header */
  int64_t reported_ms;
  int64_t started; /* number of requests, also in the next three */
  int64_t finished;
  int64_t cancelled;
  int64_t refused;
  int64_t tokens;    /* of prompts and output */
  GHashTable *by_id; /* request id to StandinRequestCounts */
};

typedef struct
{
  int started;
  int finished;
  int cancelled;
  int64_t tokens; /* of its prompt, at each start, and its output */
} StandinRequestCounts;

/** Parses the command line, which accepts @p entries besides the common options, and opens the port.
 * @return NULL after printing an error message. */
Standin *standin_new (int argc, char **argv, const GOptionEntry *entries,
                      const HttpServerEvents *events, void *data);

/** Prints "ready" with the port and runs until SIGTERM. */
int standin_run (Standin *standin);

/** @return true if the fault applies to this request; decrements the fault's counter. */
bool standin_take_fault (Standin *standin, FaultKind kind);

/** Handles /admin/faults, /admin/stats and /load, refuses requests while draining, and applies the faults that
 * prevent a request from running. @return true if the request needs no further handling. */
bool standin_handle_common (Standin *standin, HttpCall *call);

StandinRequestCounts *standin_request_counts (Standin *standin, const char *id);

/** @return the request's X-Request-Id, or a wrong id under FAULT_WRONG_ID; a talloc string under @p ctx. */
char *standin_response_id (Standin *standin, const void *ctx, HttpCall *call);

/** Sends a JSON response with the load header (X-Pond-Load) and @p id as X-Request-Id ("": no such header). */
void standin_respond (Standin *standin, HttpCall *call, int status, const char *id,
                      const char *json);

/** Writes the value of the load header to @p text. */
void standin_format_load (Standin *standin, char *text, size_t size);
