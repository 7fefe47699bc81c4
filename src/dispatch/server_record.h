/** @file
 * What a backend server has published about itself. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const char *id;
  const char *service;
  const char *address; /* "IP:port" */
  const char *data_centre;
  const char *version;
  int slots; /* requests that it runs at once; 0: unknown */
  bool leaving;
  int64_t cold_ms; /* how much longer it is slow after its start */
  int64_t born_ms; /* wall clock of its start; 0: unknown */
} ServerRecord;
