#include "cli/load_samples.h"

#include <stdlib.h>

void
load_samples_add (LoadSamples *s, int64_t value)
{
  if (s->n == s->capacity)
    {
      s->capacity = s->capacity ? s->capacity * 2 : 1024;
      s->values = realloc (s->values, s->capacity * sizeof *s->values);
      if (!s->values)
        abort ();
    }
  s->values[s->n++] = value;
}

void
load_samples_free (LoadSamples *s)
{
  free (s->values);
  s->values = NULL;
  s->n = 0;
  s->capacity = 0;
}

static int
compare_values (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return (x > y) - (x < y);
}

int64_t
load_samples_quantile (LoadSamples *s, double q)
{
  size_t at;

  if (s->n == 0)
    return 0;
  qsort (s->values, s->n, sizeof *s->values, compare_values);
  at = (size_t)(q * (double)s->n);
  return s->values[at < s->n ? at : s->n - 1];
}

json_t *
load_samples_json (LoadSamples *s)
{
  return json_pack ("{s:I,s:I,s:I,s:I,s:I}", "n", (json_int_t)s->n, "p50",
                    (json_int_t)load_samples_quantile (s, 0.5), "p90",
                    (json_int_t)load_samples_quantile (s, 0.9), "p99",
                    (json_int_t)load_samples_quantile (s, 0.99), "max",
                    (json_int_t)load_samples_quantile (s, 1));
}
