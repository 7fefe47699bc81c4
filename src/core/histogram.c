#include "core/histogram.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#define SUB_BUCKET_BITS 3
#define SUB_BUCKETS     (1 << SUB_BUCKET_BITS)

typedef struct RegisteredHistogram RegisteredHistogram;

struct RegisteredHistogram
{
  char *name;
  char *help;
  Histogram histogram;
  RegisteredHistogram *next;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static RegisteredHistogram *registered;

static int
bucket_index (uint64_t v)
{
  int top;
  int b;

  if (v < SUB_BUCKETS)
    return (int)v;
  top = 63 - __builtin_clzll (v);
  b = (top - SUB_BUCKET_BITS + 1) * SUB_BUCKETS
      + (int)((v >> (top - SUB_BUCKET_BITS)) & (SUB_BUCKETS - 1));
  return b < HISTOGRAM_BUCKETS ? b : HISTOGRAM_BUCKETS - 1;
}

static int64_t
bucket_upper_bound (int b)
{
  int shift = b / SUB_BUCKETS - 1;

  if (b < SUB_BUCKETS)
    return b;
  return (int64_t)(((uint64_t)(SUB_BUCKETS + b % SUB_BUCKETS + 1) << shift) - 1);
}

void
histogram_add (Histogram *histogram, int64_t us)
{
  uint64_t v = us < 0 ? 0 : (uint64_t)us;

  atomic_fetch_add_explicit (&histogram->counts[bucket_index (v)], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->total, 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&histogram->sum_us, v, memory_order_relaxed);
}

int64_t
histogram_quantile (const Histogram *histogram, double q)
{
  uint64_t total = 0;
  uint64_t cumulative = 0;
  uint64_t rank;

  for (int b = 0; b < HISTOGRAM_BUCKETS; b++)
    total += atomic_load_explicit (&histogram->counts[b], memory_order_relaxed);
  if (!total)
    return 0;
  rank = (uint64_t)(q * (double)total);
  if (rank >= total)
    rank = total - 1;
  for (int b = 0; b < HISTOGRAM_BUCKETS; b++)
    {
      cumulative += atomic_load_explicit (&histogram->counts[b], memory_order_relaxed);
      if (cumulative > rank)
        return bucket_upper_bound (b);
    }
  return 0;
}

Histogram *
histogram_get (const char *name, const char *help)
{
  RegisteredHistogram *e;

  pthread_mutex_lock (&lock);
  for (e = registered; e; e = e->next)
    if (!strcmp (e->name, name))
      break;
  if (!e)
    {
      e = calloc (1, sizeof *e);
      if (!e)
        abort ();
      e->name = strdup (name);
      e->help = strdup (help);
      e->next = registered;
      registered = e;
    }
  pthread_mutex_unlock (&lock);
  return &e->histogram;
}

static char *
print_histogram (char *out, const RegisteredHistogram *e)
{
  uint64_t cumulative = 0;

  out = talloc_asprintf_append_buffer (out, "# HELP %s %s\n# TYPE %s histogram\n", e->name, e->help,
                                       e->name);
  for (int b = 0; b < HISTOGRAM_BUCKETS && out; b++)
    {
      uint64_t n = atomic_load_explicit (&e->histogram.counts[b], memory_order_relaxed);

      if (!n)
        continue;
      cumulative += n;
      out = talloc_asprintf_append_buffer (out, "%s_bucket{le=\"%.6f\"} %" PRIu64 "\n", e->name,
                                           (double)bucket_upper_bound (b) / 1e6, cumulative);
    }
  return talloc_asprintf_append_buffer (
      out, "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n%s_sum %.6f\n%s_count %" PRIu64 "\n", e->name,
      cumulative, e->name, (double)atomic_load (&e->histogram.sum_us) / 1e6, e->name, cumulative);
}

char *
histograms_print (char *out)
{
  pthread_mutex_lock (&lock);
  for (RegisteredHistogram *e = registered; e && out; e = e->next)
    out = print_histogram (out, e);
  pthread_mutex_unlock (&lock);
  return out;
}
