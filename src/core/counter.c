#include "core/counter.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "core/histogram.h"

struct Counter
{
  char *name;
  char *labels;
  char *help;
  bool is_gauge;
  _Atomic int64_t value;
  Counter *next;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static Counter *counters;
static Counter *_Atomic refusals[ERR_N_KINDS];

static Counter *
find_counter (const char *name, const char *labels)
{
  for (Counter *c = counters; c; c = c->next)
    if (!strcmp (c->name, name) && !strcmp (c->labels, labels))
      return c;
  return NULL;
}

/* Keeps counters of the same name together, as the Prometheus text format requires. */
static void
insert_counter (Counter *c)
{
  Counter **link = &counters;
  Counter **after_same_name = NULL;

  for (; *link; link = &(*link)->next)
    if (!strcmp ((*link)->name, c->name))
      after_same_name = &(*link)->next;
  if (after_same_name)
    link = after_same_name;
  c->next = *link;
  *link = c;
}

static Counter *
get_counter (const char *name, const char *labels, const char *help, bool is_gauge)
{
  Counter *c;

  pthread_mutex_lock (&lock);
  c = find_counter (name, labels);
  if (!c)
    {
      /* Counters live until exit and are shared by threads, so they have no talloc parent. */
      c = calloc (1, sizeof *c);
      if (!c)
        abort ();
      c->name = strdup (name);
      c->labels = strdup (labels);
      c->help = strdup (help);
      c->is_gauge = is_gauge;
      insert_counter (c);
    }
  pthread_mutex_unlock (&lock);
  return c;
}

Counter *
counter_get (const char *name, const char *labels, const char *help)
{
  return get_counter (name, labels, help, false);
}

Counter *
gauge_get (const char *name, const char *labels, const char *help)
{
  return get_counter (name, labels, help, true);
}

void
counter_add (Counter *counter, int64_t n)
{
  atomic_fetch_add_explicit (&counter->value, n, memory_order_relaxed);
}

void
counter_set (Counter *counter, int64_t value)
{
  atomic_store_explicit (&counter->value, value, memory_order_relaxed);
}

int64_t
counter_value (const Counter *counter)
{
  return atomic_load_explicit (&counter->value, memory_order_relaxed);
}

void
counter_add_refusal (ErrKind kind)
{
  Counter *c = atomic_load (&refusals[kind]);
  char labels[64];

  if (!c)
    {
      snprintf (labels, sizeof labels, "reason=\"%s\"", err_info (kind)->name);
      c = counter_get ("pond_refusals_total", labels, "Requests refused, by reason.");
      atomic_store (&refusals[kind], c);
    }
  counter_add (c, 1);
}

char *
counters_print (const void *ctx)
{
  char *out = talloc_strdup (ctx, "");
  const char *previous_name = "";

  pthread_mutex_lock (&lock);
  for (Counter *c = counters; c && out; c = c->next)
    {
      if (strcmp (previous_name, c->name) != 0)
        out = talloc_asprintf_append_buffer (out, "# HELP %s %s\n# TYPE %s %s\n", c->name, c->help,
                                             c->name, c->is_gauge ? "gauge" : "counter");
      previous_name = c->name;
      out = talloc_asprintf_append_buffer (
          out, c->labels[0] ? "%s{%s} %" PRId64 "\n" : "%s%s %" PRId64 "\n", c->name, c->labels,
          counter_value (c));
    }
  pthread_mutex_unlock (&lock);
  return histograms_print (out);
}
