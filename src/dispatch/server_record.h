/** @file
 * What a backend server publishes about itself in the store. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const char *id;
  const char *service;
  const char *address; /* "IP:port" */
  const char *data_centre;
  const char *version; /* of its software: any text; NULL is the same as an empty one */
  int slots;           /* number of requests that it can run at once; 0: unknown */
  bool draining;
  int64_t warmup_ms; /* remaining time in which it is slower, after its start */
  int64_t
      started_ms; /* tells its starts apart, by its machine's wall clock, which may step back; 0: unknown */
  bool order_unknown; /* the record known before may be newer: the store was restored in between */
} ServerRecord;
