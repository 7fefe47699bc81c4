/** @file
 * The load that a backend server reports in a response header. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int running;
  int waiting;
  double cache_used; /* 0 to 1 */
  bool draining;
  int64_t age_ms;
} LoadReport;

/** Parses the value of an X-Pond-Load header: "running=3 waiting=0 cache=0.41 leaving=0 age_ms=120".
 * @return false if it is malformed or out of range. */
bool load_report_parse (const char *text, LoadReport *report);
