#include "ticket/ticket_source.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "store/store_watch.h"
#include "ticket/ticket_objects.h"

/* Draining for planned stops begins and ends at wall-clock times, without a change of any row. */
#define STOP_CHECK_INTERVAL_MS 1000

typedef struct
{
  ConfigSource source;
  ConfigSourceOptions options;
  StoreWatch *watch;
  TicketObjects *objects;
  TicketHead head;
  int64_t reported_seq;     /* seq of the catalog reported last; 0: none */
  GHashTable *reported_ids; /* servers reported so far and not removed since */
  GHashTable *listed_ids;   /* servers found by the current call of report_servers() */
} TicketSource;

static void
on_row (void *data, const StoreRow *row)
{
  TicketSource *s = data;

  if (!strcmp (row->key.name, TICKET_HEAD_ROW))
    ticket_head_parse (row->value, row->len, &s->head);
  else if (g_str_has_prefix (row->key.name, TICKET_OBJECT_PREFIX))
    ticket_objects_set (s->objects, row->key.name, row->value, row->len);
}

/* Tickets mark objects as removed in their rows; the rows themselves are never removed. */
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

  g_hash_table_add (s->listed_ids, g_strdup (record->id));
  g_hash_table_add (s->reported_ids, g_strdup (record->id));
  s->options.events->server (s->options.data, record);
}

static void
report_servers (TicketSource *s)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_remove_all (s->listed_ids);
  ticket_objects_each_server (s->objects, timers_wall_ms (s->options.timers), report_server, s);
  g_hash_table_iter_init (&iter, s->reported_ids);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (s->listed_ids, name))
      {
        s->options.events->server_removed (s->options.data, name, 0);
        g_hash_table_iter_remove (&iter);
      }
}

static void
on_batch_done (void *data)
{
  TicketSource *s = data;

  if (s->head.seq <= s->reported_seq)
    return;
  s->reported_seq = s->head.seq;
  report_servers (s);
  s->options.events->catalog (s->options.data,
                              ticket_objects_build_catalog (s->objects, s->head.seq));
}

static const StoreWatchEvents WATCH_EVENTS = { on_row, on_removed, on_batch_done };

static void
on_stop_check (void *data)
{
  TicketSource *s = data;

  timers_start (s->options.timers, s, STOP_CHECK_INTERVAL_MS, on_stop_check, s);
  if (s->reported_seq > 0)
    report_servers (s);
}

static bool
is_synced (const ConfigSource *source)
{
  return ((const TicketSource *)source)->reported_seq > 0;
}

static const ConfigSourceOps SOURCE_OPS = { .is_synced = is_synced };

static int
source_destroy (TicketSource *s)
{
  TALLOC_FREE (s->watch);
  g_hash_table_unref (s->reported_ids);
  g_hash_table_unref (s->listed_ids);
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
                              .events = &WATCH_EVENTS,
                              .data = s };

  s->source.ops = &SOURCE_OPS;
  s->options = *options;
  s->objects = ticket_objects_new (s);
  s->reported_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->listed_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  talloc_set_destructor (s, source_destroy);
  s->watch = store_watch_new (s, &watch);
  timers_start (options->timers, s, STOP_CHECK_INTERVAL_MS, on_stop_check, s);
  return &s->source;
}
