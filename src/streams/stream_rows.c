#include "streams/stream_rows.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core/log.h"

#define HOST_PREFIX    "host:"
#define SERVICE_PREFIX "service:"

/* A partition takes 300 writes a second. The rows of hosts are spread over all of them; those of services are in the last
 * one, which is read last. */
static const char *const PARTITIONS[] = { "hosts", "" };

#define N_PARTITIONS   (sizeof PARTITIONS / sizeof PARTITIONS[0])
#define LAST_PARTITION (N_PARTITIONS - 1)

#define TICK_MS   50
#define PAGE_ROWS 500

/* Rows of hosts that have ended are removed by those that find them. */
#define MAX_REMOVALS 20

struct StreamRows
{
  StreamRowsOptions options;
  char *name; /* of this host's row */
  const char *partition;
  size_t read_partition; /* index of the partition that is read */
  char *page_start;
  bool reading;
  StoreCall *versions_call;
  StoreCall *record_call;
  StoreCall *removal_call;
  VersionsWrite write;
  size_t removal_partition;
  char *removals[MAX_REMOVALS];
  int64_t removal_versions[MAX_REMOVALS];
  size_t n_removals;
};

static void start_calls (StreamRows *r);

static int64_t
now_ms (const StreamRows *r)
{
  return timers_now_ms (r->options.timers);
}

/* --- Removal of old rows ----------------------------------------------------------------- */

static void
clear_removals (StreamRows *r)
{
  for (size_t i = 0; i < r->n_removals; i++)
    TALLOC_FREE (r->removals[i]);
  r->n_removals = 0;
}

static void
on_rows_removed (void *data, const StoreReply *reply)
{
  StreamRows *r = data;

  r->removal_call = NULL;
  log_event (LOG_LEVEL_INFO, "streams", "rows_removed", "rows=%zu result=%s", r->n_removals,
             store_result_name (reply->result));
  clear_removals (r);
}

static void
remove_old_rows (StreamRows *r)
{
  StoreCheck checks[MAX_REMOVALS];
  StoreWrite writes[MAX_REMOVALS];
  StoreTxn txn = {
    .checks = checks, .n_checks = r->n_removals, .writes = writes, .n_writes = r->n_removals
  };

  if (r->n_removals == 0 || r->removal_call)
    return;
  for (size_t i = 0; i < r->n_removals; i++)
    {
      StoreKey key = { .table = STREAMS_TABLE,
                       .partition = PARTITIONS[r->removal_partition],
                       .name = r->removals[i] };

      checks[i] = (StoreCheck){ .key = key, .version = r->removal_versions[i] };
      writes[i] = (StoreWrite){ .key = key };
    }
  r->removal_call = store_txn (r->options.store, r, &txn, on_rows_removed, r);
}

static void
note_old_row (StreamRows *r, const StoreRow *row)
{
  if (r->removal_call || r->n_removals == MAX_REMOVALS || !strcmp (row->key.name, r->name)
      || (r->n_removals > 0 && r->removal_partition != r->read_partition))
    return;
  r->removal_partition = r->read_partition;
  r->removals[r->n_removals] = talloc_strdup (r, row->key.name);
  r->removal_versions[r->n_removals++] = row->version;
}

/* --- Reading ----------------------------------------------------------------------------- */

static void
read_row (StreamRows *r, const StoreRow *row, int64_t store_now_ms)
{
  Streams *s = r->options.streams;
  const char *name = row->key.name;

  if (g_str_has_prefix (name, HOST_PREFIX))
    {
      if (streams_read_hosts_row (s, row->value, row->len) < store_now_ms)
        note_old_row (r, row);
    }
  else if (g_str_has_prefix (name, SERVICE_PREFIX))
    streams_read_versions_row (s, name + strlen (SERVICE_PREFIX), row->value, row->len,
                               row->version);
}

static void read_page (StreamRows *r);

static void
end_read (StreamRows *r, bool complete)
{
  r->reading = false;
  TALLOC_FREE (r->page_start);
  streams_read_end (r->options.streams, complete, now_ms (r));
  remove_old_rows (r);
  start_calls (r);
}

static void
on_page (void *data, const StoreReply *reply)
{
  StreamRows *r = data;

  if (reply->result != STORE_DONE)
    {
      log_event (LOG_LEVEL_NOTICE, "streams", "read_failed", "result=%s detail=\"%s\"",
                 store_result_name (reply->result), reply->detail ? reply->detail : "");
      end_read (r, false);
      return;
    }
  streams_read_at (r->options.streams,
                   (StreamsStoreTime){ reply->time_ms, r->options.store->era.current }, now_ms (r));
  for (size_t i = 0; i < reply->n_rows; i++)
    read_row (r, &reply->rows[i], reply->time_ms);
  TALLOC_FREE (r->page_start);
  /* The smallest name greater than the last one of the page. */
  if (reply->has_more && reply->n_rows > 0)
    r->page_start = talloc_asprintf (r, "%s\x01", reply->rows[reply->n_rows - 1].key.name);
  else if (r->read_partition == LAST_PARTITION)
    {
      end_read (r, true);
      return;
    }
  else
    r->read_partition++;
  read_page (r);
}

static void
read_page (StreamRows *r)
{
  StoreRange range = { .table = STREAMS_TABLE,
                       .partition = PARTITIONS[r->read_partition],
                       .from = r->page_start,
                       .limit = PAGE_ROWS };

  store_range (r->options.store, r, &range, on_page, r);
}

/* --- Writing ----------------------------------------------------------------------------- */

static void
on_versions_written (void *data, const StoreReply *reply)
{
  StreamRows *r = data;

  r->versions_call = NULL;
  log_event (LOG_LEVEL_NOTICE, "streams", "versions_written",
             "service=%s result=%s row_version=%" PRId64, r->write.service,
             store_result_name (reply->result), reply->version);
  streams_versions_written (r->options.streams, &r->write, reply->result == STORE_DONE,
                            reply->version, now_ms (r));
  start_calls (r);
}

static void
write_versions (StreamRows *r)
{
  void *tmp = talloc_new (r);
  StoreKey key = { .table = STREAMS_TABLE, .partition = PARTITIONS[LAST_PARTITION] };
  StoreCheck check;
  StoreWrite write;
  StoreTxn txn = { .checks = &check, .n_checks = 1, .writes = &write, .n_writes = 1 };

  key.name = talloc_asprintf (tmp, SERVICE_PREFIX "%s", r->write.service);
  check = (StoreCheck){ .key = key, .version = r->write.row_version };
  write = (StoreWrite){ .key = key, .value = version_set_encode (tmp, &r->write.set) };
  write.len = strlen (write.value);
  r->versions_call = store_txn (r->options.store, r, &txn, on_versions_written, r);
  talloc_free (tmp);
}

static void
on_record_written (void *data, const StoreReply *reply)
{
  StreamRows *r = data;

  r->record_call = NULL;
  if (reply->result == STORE_DONE)
    return;
  log_event (LOG_LEVEL_NOTICE, "streams", "record_not_written", "result=%s",
             store_result_name (reply->result));
  streams_record_write_failed (r->options.streams);
}

static void
write_record (StreamRows *r)
{
  StoreWrite write
      = { .key = { .table = STREAMS_TABLE, .partition = r->partition, .name = r->name } };
  StoreTxn txn = { .writes = &write, .n_writes = 1 };
  char *value = streams_next_record_write (r->options.streams, r, now_ms (r), &write.len);

  if (!value)
    return;
  write.value = value;
  r->record_call = store_txn (r->options.store, r, &txn, on_record_written, r);
  talloc_free (value);
}

/* --- Set-up ------------------------------------------------------------------------------ */

static void
start_calls (StreamRows *r)
{
  if (!r->reading && streams_read_begin (r->options.streams, now_ms (r)))
    {
      r->reading = true;
      r->read_partition = 0;
      clear_removals (r);
      read_page (r);
    }
  if (!r->versions_call && streams_next_versions_write (r->options.streams, now_ms (r), &r->write))
    write_versions (r);
  if (!r->record_call)
    write_record (r);
}

static void
on_tick (void *data)
{
  StreamRows *r = data;

  timers_start (r->options.timers, r, TICK_MS, on_tick, r);
  streams_tick (r->options.streams, now_ms (r));
  start_calls (r);
}

void
stream_rows_wake (StreamRows *r)
{
  start_calls (r);
}

StreamRows *
stream_rows_new (const void *ctx, const StreamRowsOptions *options)
{
  StreamRows *r = talloc_zero (ctx, StreamRows);

  r->options = *options;
  r->name = talloc_asprintf (r, HOST_PREFIX "%s:%" PRIx64, options->host, options->incarnation);
  r->partition = PARTITIONS[g_str_hash (r->name) % N_PARTITIONS];
  timers_start (options->timers, r, TICK_MS, on_tick, r);
  return r;
}
