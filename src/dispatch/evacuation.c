#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "core/log.h"
#include "dispatch/dispatch_impl.h"

typedef struct
{
  int servers;
  int in_flight;
} Affected;

/* Marks the servers of the data centre. They may have become cold while they were idle, and their records may be here later
 * than the end of the evacuation. */
static Affected
mark_servers (Dispatch *d, const char *data_centre, bool evacuated, int64_t now_ms)
{
  Affected a = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, d->servers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Server *s = value;

      if (strcmp (s->data_centre, data_centre) != 0)
        continue;
      s->evacuated = evacuated;
      if (!evacuated)
        cold_limit_doubt (&s->cold, now_ms);
      a.servers++;
      a.in_flight += s->in_flight;
    }
  return a;
}

static void
log_change (const char *data_centre, bool evacuated, const Affected *a)
{
  char word[64];

  log_event (LOG_LEVEL_NOTICE, "dispatch", evacuated ? "evacuated" : "evacuation_ended",
             "data_centre=%s servers=%d in_flight=%d", log_word (word, sizeof word, data_centre),
             a->servers, a->in_flight);
}

bool
is_evacuated (const Dispatch *d, const char *data_centre)
{
  return g_hash_table_contains (d->evacuated, data_centre);
}

void
dispatch_set_evacuated (Dispatch *d, const char *data_centre, bool evacuated, int64_t now_ms)
{
  Affected a = { 0 };
  bool changes;
  int64_t n;

  pthread_mutex_lock (&d->lock);
  changes = is_evacuated (d, data_centre) != evacuated;
  if (changes && evacuated)
    g_hash_table_add (d->evacuated, g_strdup (data_centre));
  else if (changes)
    g_hash_table_remove (d->evacuated, data_centre);
  if (changes)
    a = mark_servers (d, data_centre, evacuated, now_ms);
  n = (int64_t)g_hash_table_size (d->evacuated);
  pthread_mutex_unlock (&d->lock);
  if (!changes)
    return;
  log_change (data_centre, evacuated, &a);
  counter_set (gauge_get ("pond_evacuated_data_centres", "",
                          "Data centres whose servers get no requests, as the operator has asked."),
               n);
}

char *
dispatch_describe_evacuated (Dispatch *d, const void *ctx)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer name;
  char *text;
  char *copy;

  pthread_mutex_lock (&d->lock);
  g_hash_table_iter_init (&iter, d->evacuated);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    json_array_append_new (list, json_string (name));
  pthread_mutex_unlock (&d->lock);
  text = json_dumps (list, JSON_COMPACT);
  copy = talloc_strdup (ctx, text);
  free (text);
  json_decref (list);
  return copy;
}
