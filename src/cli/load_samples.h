/** @file
 * Exact samples of one measured quantity. The buckets of the metrics' histograms are too wide to show the
 * latency that a host adds. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

typedef struct
{
  int64_t *values;
  size_t n;
  size_t capacity;
} LoadSamples;

void load_samples_add (LoadSamples *samples, int64_t value);
void load_samples_free (LoadSamples *samples);

/** Sorts the samples. @return the quantile @p q (0 to 1), or 0 if there are no samples. */
int64_t load_samples_quantile (LoadSamples *samples, double q);

/** @return a new reference to an object with "n", "p50", "p90", "p99" and "max". */
json_t *load_samples_json (LoadSamples *samples);
