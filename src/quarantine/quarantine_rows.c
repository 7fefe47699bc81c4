#include "quarantine/quarantine_rows.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "core/json_integer.h"
#include "core/log.h"
#include "store/store_watch.h"

/* The feed answers at once if there is a change. A connection that has gone silent is noticed only after this time. */
#define WATCH_WAIT_MS 5000

#define TICK_MS 50

/* A kind's name, a colon and sixteen digits. */
#define NAME_BYTES 40

/* Far above what hosts write. */
#define MAX_COUNT 1000000

static const IntegerRange ENDS = { 1, MAX_COUNT };
static const IntegerRange TRIALS = { 0, MAX_COUNT };

struct QuarantineRows
{
  QuarantineRowsOptions options;
  StoreWatch *watch;
  StoreCall *call; /* the write in progress */
  StoppedWrite write;
};

static int64_t
now_ms (const QuarantineRows *r)
{
  return timers_now_ms (r->options.timers);
}

/* --- Reading ----------------------------------------------------------------------------- */

static bool
parse_name (const char *name, QuarantineKey *key)
{
  for (int kind = 0; kind < QUARANTINE_N_KINDS; kind++)
    {
      const char *prefix = quarantine_kind_name ((QuarantineKind)kind);
      size_t len = strlen (prefix);
      char *end;

      if (strncmp (name, prefix, len) != 0 || name[len] != ':' || !name[len + 1])
        continue;
      *key = (QuarantineKey){ .kind = (QuarantineKind)kind,
                              .id = strtoull (name + len + 1, &end, 16) };
      return !*end;
    }
  return false;
}

/* @return false if the row is malformed. */
static bool
parse_row (const json_t *json, StoppedRow *row)
{
  int64_t ends;
  int64_t trials;
  const json_t *instances = json_object_get (json, "instances");
  const json_t *instance;
  size_t i;

  if (!json_integer_read (json_object_get (json, "ends"), ENDS, &ends)
      || !json_integer_read (json_object_get (json, "trials"), TRIALS, &trials))
    return false;
  *row = (StoppedRow){ .ends = (int)ends,
                       .trials = (int)trials,
                       .in_doubt = json_is_true (json_object_get (json, "in_doubt")) };
  json_array_foreach (instances, i, instance)
  {
    if (json_is_string (instance) && row->n_instances < EVIDENCE_ENDS - 1)
      row->instances[row->n_instances++] = strtoull (json_string_value (instance), NULL, 16);
  }
  return true;
}

static void
on_row (void *data, const StoreRow *row)
{
  QuarantineRows *r = data;
  json_t *json = json_loadb (row->value, row->len, 0, NULL);
  QuarantineKey key;
  StoppedRow parsed;

  if (parse_name (row->key.name, &key) && parse_row (json, &parsed))
    quarantine_row_changed (r->options.quarantine, key, row->version, &parsed, now_ms (r));
  else
    log_event (LOG_LEVEL_WARNING, "quarantine", "row_ignored", "version=%" PRId64, row->version);
  json_decref (json);
}

static void
on_removed (void *data, const StoreKey *name)
{
  QuarantineRows *r = data;
  QuarantineKey key;

  if (parse_name (name->name, &key))
    quarantine_row_removed (r->options.quarantine, key, now_ms (r));
}

static const StoreWatchEvents WATCH_EVENTS = { .changed = on_row, .removed = on_removed };

/* --- Writing ----------------------------------------------------------------------------- */

static StoppedWriteResult
result_of (const StoreReply *reply)
{
  if (reply->result == STORE_DONE)
    return STOPPED_WRITTEN;
  return reply->result == STORE_CONFLICT ? STOPPED_WRITE_CONFLICT : STOPPED_WRITE_FAILED;
}

static void
on_written (void *data, const StoreReply *reply)
{
  static const char *const NAMES[STOPPED_N_WRITES] = { "add", "trial", "remove" };
  QuarantineRows *r = data;

  r->call = NULL;
  log_event (LOG_LEVEL_NOTICE, "quarantine", "row_written",
             "write=%s kind=%s key=%" PRIx64 " trials=%d result=%s version=%" PRId64,
             NAMES[r->write.kind], quarantine_kind_name (r->write.key.kind), r->write.key.id,
             r->write.row.trials, store_result_name (reply->result), reply->version);
  quarantine_written (r->options.quarantine, &r->write, result_of (reply), reply->version,
                      now_ms (r));
}

static char *
row_json (const void *ctx, const StoppedRow *row)
{
  char *text = talloc_asprintf (ctx, "{\"ends\":%d,\"trials\":%d,%s\"instances\":[", row->ends,
                                row->trials, row->in_doubt ? "\"in_doubt\":true," : "");

  for (size_t i = 0; i < row->n_instances; i++)
    text = talloc_asprintf_append (text, "%s\"%" PRIx64 "\"", i > 0 ? "," : "", row->instances[i]);
  return talloc_asprintf_append (text, "]}");
}

static void
start_write (QuarantineRows *r)
{
  const StoppedWrite *w = &r->write;
  char name[NAME_BYTES];
  char *value = row_json (r, &w->row);
  StoreKey key = { .table = QUARANTINE_TABLE, .partition = "", .name = name };
  StoreCheck check = { .key = key, .version = w->version };
  StoreWrite write = { .key = key };
  StoreTxn txn = { .checks = &check, .n_checks = 1, .writes = &write, .n_writes = 1 };

  snprintf (name, sizeof name, "%s:%016" PRIx64, quarantine_kind_name (w->key.kind), w->key.id);
  if (w->kind != STOPPED_WRITE_REMOVE)
    {
      write.value = value;
      write.len = strlen (value);
    }
  r->call = store_txn (r->options.store, r, &txn, on_written, r);
  talloc_free (value);
}

static void
on_tick (void *data)
{
  QuarantineRows *r = data;

  timers_start (r->options.timers, r, TICK_MS, on_tick, r);
  if (!r->call && quarantine_next_write (r->options.quarantine, now_ms (r), &r->write))
    start_write (r);
}

QuarantineRows *
quarantine_rows_new (const void *ctx, const QuarantineRowsOptions *options)
{
  QuarantineRows *r = talloc_zero (ctx, QuarantineRows);
  StoreWatchOptions watch = { .store = options->store,
                              .timers = options->timers,
                              .rng = options->rng,
                              .table = QUARANTINE_TABLE,
                              .wait_ms = WATCH_WAIT_MS,
                              .events = &WATCH_EVENTS,
                              .data = r };

  r->options = *options;
  r->watch = store_watch_new (r, &watch);
  timers_start (options->timers, r, TICK_MS, on_tick, r);
  return r;
}
