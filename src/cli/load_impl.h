/* Shared by load_run.c (arrivals and requests) and load_results.c. */
#pragma once

#include <glib.h>

#include "cli/load_run.h"
#include "cli/load_samples.h"
#include "core/loop.h"
#include "core/rng.h"
#include "http/client.h"

#define BUFFER_BYTES 512

typedef enum
{
  LOAD_VIA_HOST,
  LOAD_DIRECT, /* to a backend server, for comparison */
  LOAD_ROUTES
} LoadRoute;

typedef struct
{
  LoadSamples latency;
  LoadSamples first_token;
  LoadSamples between_tokens;
  LoadSamples token_delay; /* time since the engine sent the token, by its "sent_us" */
  int64_t sent;
  int64_t succeeded; /* status 200, and "[DONE]" in a stream */
  int64_t truncated; /* streams that ended without "[DONE]" */
  int64_t tokens;
  GHashTable *errors; /* error kind to gint64 * */
} LoadStats;

typedef struct
{
  const LoadOptions *options;
  Loop *loop;
  HttpClient *client;
  Rng rng;
  int64_t start_us;
  double next_arrival_s[LOAD_ROUTES];
  int64_t open_requests;
  int64_t peak_open_requests;
  int64_t skipped;        /* arrivals above max_open */
  int64_t n_booking_keys; /* different keys sent so far */
  size_t next_target;     /* for round robin */
  char *prompt;
  LoadStats stats[LOAD_ROUTES][LOAD_KINDS];
} LoadRun;

typedef struct
{
  LoadRun *run;
  HttpExchange *exchange;
  LoadKind kind;
  LoadRoute route;
  int64_t started_us;
  int64_t last_token_us;
  int64_t tokens;
  bool done_seen;
  bool error_seen;
  char buffer[BUFFER_BYTES]; /* incomplete event of a stream, or start of another body */
  size_t buffer_len;
} LoadRequest;

/* @return a new reference. */
json_t *load_results_json (LoadRun *run);
