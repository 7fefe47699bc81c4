/** @file
 * Latency histograms with 8 buckets per power of two. A quantile is reported as the upper bound of its
 * bucket, which is at most 12.5 % too high. Values from 2^42 us are counted in the last bucket. Debian has no HDR histogram library for C. */
#pragma once

#include <stdatomic.h>
#include <stdint.h>

#define HISTOGRAM_BUCKETS 320

typedef struct
{
  _Atomic uint64_t counts[HISTOGRAM_BUCKETS];
  _Atomic uint64_t total;
  _Atomic uint64_t sum_us;
} Histogram;

/** Adds one value in microseconds. Any thread. */
void histogram_add (Histogram *histogram, int64_t us);

/** @param q quantile from 0 to 1. @return microseconds, or 0 if the histogram is empty. */
int64_t histogram_quantile (const Histogram *histogram, double q);

/** Finds or creates the histogram @p name of the metrics endpoint. A histogram lives until the process
 * exits. Any thread. */
Histogram *histogram_get (const char *name, const char *help);

/** Appends all histograms to the talloc string @p out and reallocates it. @return the new string. */
char *histograms_print (char *out);
