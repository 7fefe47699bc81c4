#include "ticket/ticket_source.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "store/store_watch.h"
#include "ticket/objects.h"

/* Planned stops begin and end by the clock. */
#define STOPS_MS 1000

typedef struct
{
  ConfigSource source;
  ConfigSourceOptions options;
  StoreWatch *watch;
  TicketObjects *objects;
  TicketHead head;
  int64_t reported_seq;
  GHashTable *servers; /* names that were reported */
  GHashTable *met;     /* of one round */
} TicketSource;

static void
on_row (void *data, const StoreRow *row)
{
  TicketSource *s = data;

  if (!strcmp (row->key.name, TICKET_HEAD_ROW))
    ticket_head_read (row->value, row->len, &s->head);
  else if (g_str_has_prefix (row->key.name, TICKET_OBJECT_PREFIX))
    ticket_objects_set (s->objects, row->key.name, row->value, row->len);
}

/* Tickets mark objects as removed and never remove rows. */
static void
on_removed (void *data, const StoreKey *key)
{
  (void)data;
  (void)key;
}

static void
report_server (void *data, const ServerRecord *record)
{
  TicketSource *s = data;

  g_hash_table_add (s->met, g_strdup (record->id));
  g_hash_table_add (s->servers, g_strdup (record->id));
  s->options.events->server (s->options.data, record);
}

static void
report_servers (TicketSource *s)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_remove_all (s->met);
  ticket_objects_servers (s->objects, timers_wall_ms (s->options.timers), report_server, s);
  g_hash_table_iter_init (&iter, s->servers);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (s->met, name))
      {
        s->options.events->server_removed (s->options.data, name, true);
        g_hash_table_iter_remove (&iter);
      }
}

static void
on_settled (void *data)
{
  TicketSource *s = data;

  if (s->head.seq <= s->reported_seq)
    return;
  s->reported_seq = s->head.seq;
  report_servers (s);
  s->options.events->catalog (s->options.data, ticket_objects_catalog (s->objects, s->head.seq));
}

static const StoreWatchEvents EVENTS = { on_row, on_removed, on_settled };

static void
on_stops (void *data)
{
  TicketSource *s = data;

  timers_start (s->options.timers, s, STOPS_MS, on_stops, s);
  if (s->reported_seq > 0)
    report_servers (s);
}

static bool
is_complete (const ConfigSource *source)
{
  return ((const TicketSource *)source)->reported_seq > 0;
}

static const ConfigSourceOps OPS = { .is_synced = is_complete };

static int
source_destroy (TicketSource *s)
{
  TALLOC_FREE (s->watch);
  g_hash_table_unref (s->servers);
  g_hash_table_unref (s->met);
  return 0;
}

ConfigSource *
ticket_source_new (const void *ctx, const ConfigSourceOptions *options)
{
  TicketSource *s = talloc_zero (ctx, TicketSource);
  StoreWatchOptions watch = { .store = options->store,
                              .timers = options->timers,
                              .rng = options->rng,
                              .table = TICKET_TABLE,
                              .rows_have_own_version = true,
                              .events = &EVENTS,
                              .data = s };

  s->source.ops = &OPS;
  s->options = *options;
  s->objects = ticket_objects_new (s);
  s->servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->met = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (s, source_destroy);
  s->watch = store_watch_new (s, &watch);
  timers_start (options->timers, s, STOPS_MS, on_stops, s);
  return &s->source;
}
