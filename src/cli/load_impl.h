/* Internals of the load generator, shared by load_run.c (sends requests) and load_results.c (report). */
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
  LOAD_DIRECT, /* directly to a backend server, for comparison */
  LOAD_N_ROUTES
} LoadRoute;

typedef struct
{
  LoadSamples latency; /* all samples are in microseconds */
  LoadSamples first_token;
  LoadSamples between_tokens;
  LoadSamples token_delay; /* time from the engine's "sent_us" in the event until its receipt */
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
  double next_arrival_s[LOAD_N_ROUTES];
  int64_t open_requests;
  int64_t peak_open_requests;
  int64_t skipped;        /* arrivals not sent, because max_open requests were open */
  int64_t n_booking_keys; /* different idempotency keys sent so far */
  size_t next_target;     /* round-robin counter for all lists of targets */
  char *prompt;
  LoadStats stats[LOAD_N_ROUTES][LOAD_N_KINDS];
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
  bool done_seen;            /* the stream had "[DONE]" */
  bool error_seen;           /* the stream had an error event */
  char buffer[BUFFER_BYTES]; /* incomplete event of a stream, or start of another body */
  size_t buffer_len;
} LoadRequest;

/* @return the report as a new reference. */
json_t *load_results_json (LoadRun *run);
