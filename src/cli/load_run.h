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
  LOAD_N_KINDS
} LoadKind;

typedef struct
{
  char **targets;        /* "IP:port" of hosts; NULL for none */
  char **direct_model;   /* "IP:port" of engines, called directly for comparison; NULL for none */
  char **direct_service; /* "IP:port" of backend servers of the pool service; NULL for none */
  const char *api_key;
  const char *budget; /* "": no X-Budget header; the account has a single budget */
  const char *model;
  const char *service; /* pool name */
  double rate;         /* mean requests per second to hosts, and the same rate to direct servers */
  double seconds;      /* how long new requests are sent */
  double weights[LOAD_N_KINDS]; /* relative frequency of each kind */
  double key_reuse;             /* share of bookings that reuse an earlier idempotency key */
  int64_t deadline_ms;
  int max_tokens;
  int prompt_bytes;
  int max_open; /* maximum concurrent requests; further arrivals are skipped and counted */
  uint64_t seed;
} LoadOptions;

/** Runs until all requests have completed. @return the report, with times in microseconds, as a new JSON
 * reference; NULL if no target is given or the rate is not positive. */
json_t *load_run (const LoadOptions *options);
