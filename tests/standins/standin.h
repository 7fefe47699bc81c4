/** @file
 * What the stand-ins share: command line, HTTP server, fault switches, load header, statistics. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "http/server.h"

typedef enum
{
  FAULT_REFUSE,         /* 503 with {"executed":false} */
  FAULT_CLOSE_BEFORE,   /* closes without an answer; nothing was run */
  FAULT_CLOSE_MID,      /* closes in the middle of the answer */
  FAULT_SILENT,         /* accepts, runs nothing, never answers */
  FAULT_WRONG_ID,       /* answers with the id of another request */
  FAULT_SLOW,           /* takes ten times as long */
  FAULT_RUN_THEN_CLOSE, /* runs, then closes without an answer; services only */
  FAULT_KINDS
} FaultKind;

typedef struct
{
  int running;
  int waiting;
  double cache_used;
} StandinLoad;

typedef struct Standin Standin;

struct Standin
{
  Loop *loop;
  HttpServer *server;
  /** Requests that each fault still applies to; -1 for all. */
  int faults[FAULT_KINDS];
  bool leaving;
  int64_t load_lag_ms;
  StandinLoad load;     /* now */
  StandinLoad reported; /* as of reported_ms */
  int64_t reported_ms;
  int64_t started;
  int64_t finished;
  int64_t cancelled;
  int64_t refused;
  int64_t tokens;    /* read and generated */
  GHashTable *by_id; /* char * to StandinCount */
  void (*request) (Standin *standin, HttpCall *call);
};

typedef struct
{
  int started;
  int finished;
  int cancelled;
} StandinCount;

/** Parses the command line with @p entries added to the shared options, opens the port.
 * @return NULL after an error message. */
Standin *standin_new (int argc, char **argv, const GOptionEntry *entries,
                      const HttpServerEvents *events, void *data);

/** Prints "ready" with the port and runs until SIGTERM. */
int standin_run (Standin *standin);

/** @return true if the fault applies to this request, and counts it. */
bool standin_fault (Standin *standin, FaultKind kind);

/** Handles /admin/ paths, GET /load, and the faults that need no run. @return true if answered. */
bool standin_common (Standin *standin, HttpCall *call);

StandinCount *standin_count (Standin *standin, const char *id);

/** The request's X-Request-Id, or a wrong one under FAULT_WRONG_ID. @return talloc string. */
char *standin_id (Standin *standin, const void *ctx, HttpCall *call);

/** Answers JSON text with the load header and @p id ("" for none). */
void standin_answer (Standin *standin, HttpCall *call, int status, const char *id,
                     const char *json);

/** Fills in the load header text. */
void standin_load_text (Standin *standin, char *text, size_t size);
