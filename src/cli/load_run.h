/** @file
 * Open-loop load generator: requests arrive as a Poisson process, independently of response times. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

typedef enum
{
  LOAD_MODEL,
  LOAD_STREAM,
  LOAD_BOOKING,
  LOAD_LOOK_UP,
  LOAD_KINDS
} LoadKind;

typedef struct
{
  char **targets;        /* "IP:port" of hosts; NULL for none */
  char **direct_model;   /* "IP:port" of engines, called directly for comparison; NULL for none */
  char **direct_service; /* the same for service servers */
  const char *api_key;
  const char *budget; /* "": no X-Budget header; the account has a single budget */
  const char *model;
  const char *service; /* pool name */
  double rate;         /* requests per second, separately for hosts and for direct servers */
  double seconds;
  double weights[LOAD_KINDS];
  double key_reuse; /* share of bookings that reuse an earlier idempotency key */
  int64_t deadline_ms;
  int max_tokens;
  int prompt_bytes;
  int max_open; /* concurrent requests; arrivals above it are skipped and counted */
  uint64_t seed;
} LoadOptions;

/** Runs until all requests have completed. @return the report, with times in microseconds, as a new JSON
 * reference; NULL if no target is given or the rate is not positive. */
json_t *load_run (const LoadOptions *options);
