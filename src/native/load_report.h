/** @file
 * The load that a backend server reports in a response header. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int running;       /* requests being processed */
  int waiting;       /* requests queued at the server */
  double cache_used; /* fraction of the cache in use, 0 to 1 */
  bool draining;
  double limit_requests_per_s; /* that the server accepts from all hosts together; 0: no limit */
  int64_t age_ms;              /* age of the other values */
} LoadReport;

/** Parses the value of an X-Pond-Load header: "running=3 waiting=0 cache=0.41 leaving=0 limit=1.5 age_ms=120". Only
 * running and waiting are required; the others are 0 by default, and unknown fields are skipped.
 * @return false if it is malformed or out of range. */
bool load_report_parse (const char *text, LoadReport *report);
