#include "store/store_watch.h"

#include <glib.h>
#include <inttypes.h>

#include <talloc.h>

#include "core/log.h"

/* Owners rewrite rows that expired during an outage of the store within about two seconds of its end. */
#define REWRITTEN_AFTER_MS 2000
#define STABLE_AFTER_MS    3000

/* For a row whose removal is found later than that, but before the store counts as stable. */
#define MIN_GRACE_MS 300

#define PAGE_ROWS 500

/* Mean delays; the actual ones vary at random from half to one and a half of the mean. */
#define INITIAL_MEAN_RETRY_MS 50
#define MAX_MEAN_RETRY_MS     400

/* After an attempt to connect that was not answered: it has taken long by itself, and nothing of it has reached the store. */
#define UNCONNECTED_MEAN_RETRY_MS 100

/* Replies that come so soon after the end of their wait are prompt. While they are, one that is later than the second limit is not
 * waited for: the path to the store was cut, or the connection is dead. */
#define PROMPT_MS 200
#define LATE_MS   400

/* Time in which owners rewrite the rows that a restore of the store has lost. */
#define REWRITE_GRACE_MS 3000

/* Removals are remembered for this long, because a full read may return a state that is some seconds old. */
#define TOMBSTONE_TTL_MS 60000

typedef struct
{
  int64_t version;
  int64_t restore_count; /* restore_count of the watch when the row was reported */
  int64_t removed_ms;    /* when the removal was reported; 0: the row exists */
} ReportedRow;

struct StoreWatch
{
  StoreWatchOptions options;
  GHashTable *reported;    /* ReportedRow by name */
  GHashTable *found;       /* names in the pages read so far; NULL: no full read in progress */
  char *page_start;        /* first name of the next page */
  int64_t read_version;    /* of the store when the first page of the full read was read */
  int64_t version;         /* the feed has been read up to this version */
  int64_t stable_since_ms; /* first success after a failure or restore; INT64_MAX: none yet */
  int64_t call_started_ms; /* of the call in flight */
  int64_t call_wait_ms;    /* time that it asks the store to wait for changes */
  bool is_prompt;          /* the last reply of the feed was */
  int64_t mean_retry_ms;   /* mean delay before the next retry */
  int64_t poll_delay_ms;   /* before the next poll, after a reply with changes */
  bool synced;
  bool order_is_known;    /* of the row that is being reported; store_watch_order_is_known() */
  bool full_read_pending; /* a full read is due or in progress */
  StoreEraListener listener;
  bool needs_restore_version;
  int64_t restore_count; /* restores of the store since the watch started */
  /* Version of the store at the first page read after the last restore; rows above it were written after the
   * restore. 0 with rows_have_own_version; INT64_MAX: no restore yet. */
  int64_t restore_version;
};

static void read_page (StoreWatch *w);
static void read_feed (StoreWatch *w);

/* A row above restore_version was written after the restore, so its version cannot be compared with that of a row
 * reported before the restore. */
static bool
is_stale (const StoreWatch *w, const ReportedRow *previous, const StoreRow *row)
{
  if (previous->restore_count != w->restore_count && row->version > w->restore_version)
    return false;
  return previous->version >= row->version;
}

static void
report_row (StoreWatch *w, const StoreRow *row)
{
  const char *name = row->key.name;
  const ReportedRow *previous = g_hash_table_lookup (w->reported, name);
  bool existed = previous && !previous->removed_ms;
  ReportedRow now = { .version = row->version, .restore_count = w->restore_count };

  /* The feed covers all partitions of the table; full reads only the empty one. */
  if (row->key.partition[0])
    return;
  if (w->found)
    g_hash_table_add (w->found, g_strdup (name));
  if (previous && is_stale (w, previous, row))
    return;
  if (row->removed)
    now.removed_ms = timers_now_ms (w->options.timers);
  w->order_is_known = !previous || previous->restore_count == w->restore_count;
  g_hash_table_insert (w->reported, g_strdup (name), g_memdup2 (&now, sizeof now));
  if (!row->removed)
    w->options.events->changed (w->options.data, row);
  else if (existed)
    w->options.events->removed (w->options.data, &row->key);
}

/* Reports the removal of rows that the full read did not find, except rows that are newer than the read. Also
 * forgets old removals. */
static void
remove_missing (StoreWatch *w)
{
  int64_t now = timers_now_ms (w->options.timers);
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  GPtrArray *removed = g_ptr_array_new_with_free_func (g_free);

  g_hash_table_iter_init (&iter, w->reported);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      ReportedRow *row = value;

      if (row->removed_ms && now - row->removed_ms > TOMBSTONE_TTL_MS)
        g_hash_table_iter_remove (&iter);
      else if (!row->removed_ms && row->version <= w->read_version
               && !g_hash_table_contains (w->found, name))
        {
          *row = (ReportedRow){ .version = w->read_version,
                                .restore_count = w->restore_count,
                                .removed_ms = now };
          g_ptr_array_add (removed, g_strdup (name));
        }
    }
  for (guint i = 0; i < removed->len; i++)
    w->options.events->removed (w->options.data,
                                &(StoreKey){ w->options.table, "", removed->pdata[i] });
  g_ptr_array_free (removed, TRUE);
}

/* --- Restores of the store ---------------------------------------------------------------- */

static void
set_restore_version (StoreWatch *w, const StoreReply *reply)
{
  if (!w->needs_restore_version)
    return;
  w->needs_restore_version = false;
  w->restore_version = w->options.rows_have_own_version ? 0 : reply->version;
}

static void
reset_table_read (StoreWatch *w)
{
  w->full_read_pending = true;
  w->read_version = 0;
  TALLOC_FREE (w->page_start);
  if (w->found)
    g_hash_table_unref (w->found);
  w->found = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* A row that was lost in the restore and is still missing has no owner any more. Its version may be higher than
 * that of the next full read, which would then keep it as newer; lowering it makes the read report its removal. */
static void
on_rewrite_grace_over (void *data)
{
  StoreWatch *w = data;
  GHashTableIter iter;
  gpointer value;

  if (w->full_read_pending)
    {
      timers_start (w->options.timers, w, REWRITE_GRACE_MS, on_rewrite_grace_over, w);
      return;
    }
  g_hash_table_iter_init (&iter, w->reported);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ReportedRow *row = value;

      if (!row->removed_ms && row->restore_count != w->restore_count
          && row->version > w->restore_version)
        row->version = w->restore_version;
    }
  reset_table_read (w);
}

/* The call in flight ends with STORE_UNKNOWN; its retry starts the full read. */
static void
on_store_restored (void *data, int64_t era)
{
  StoreWatch *w = data;

  (void)era;
  w->restore_count++;
  w->needs_restore_version = true;
  w->stable_since_ms = INT64_MAX;
  reset_table_read (w);
  timers_start (w->options.timers, w, REWRITE_GRACE_MS, on_rewrite_grace_over, w);
}

/* --- Failures ---------------------------------------------------------------------------- */

static void
on_retry_or_poll (void *data)
{
  StoreWatch *w = data;

  if (w->full_read_pending)
    read_page (w);
  else
    read_feed (w);
}

static int64_t
retry_delay_ms (StoreWatch *w, const StoreReply *reply)
{
  int64_t mean_ms = w->mean_retry_ms;

  if (reply->no_connection && mean_ms > UNCONNECTED_MEAN_RETRY_MS)
    mean_ms = UNCONNECTED_MEAN_RETRY_MS;
  return mean_ms / 2 + (int64_t)rng_below (w->options.rng, (uint64_t)mean_ms);
}

static void
retry_after_failure (StoreWatch *w, const StoreReply *reply)
{
  int64_t delay = retry_delay_ms (w, reply);

  w->is_prompt = false;
  if (w->stable_since_ms != INT64_MAX)
    log_event (LOG_LEVEL_WARNING, "store", "watch_lost", "table=%s result=%s detail=\"%s\"",
               w->options.table, store_result_name (reply->result),
               reply->detail ? reply->detail : "");
  w->stable_since_ms = INT64_MAX;
  w->mean_retry_ms
      = w->mean_retry_ms * 2 > MAX_MEAN_RETRY_MS ? MAX_MEAN_RETRY_MS : w->mean_retry_ms * 2;
  timers_start (w->options.timers, w, delay, on_retry_or_poll, w);
}

static void
note_success (StoreWatch *w)
{
  w->mean_retry_ms = INITIAL_MEAN_RETRY_MS;
  if (w->stable_since_ms != INT64_MAX)
    return;
  w->stable_since_ms = timers_now_ms (w->options.timers);
  log_event (LOG_LEVEL_NOTICE, "store", "watch_steady", "table=%s version=%" PRId64,
             w->options.table, w->version);
}

/* --- Full reads -------------------------------------------------------------------------- */

static void
start_table_read (StoreWatch *w)
{
  reset_table_read (w);
  read_page (w);
}

static void
report_batch_done (StoreWatch *w)
{
  if (w->options.events->batch_done)
    w->options.events->batch_done (w->options.data);
}

static void
finish_table_read (StoreWatch *w)
{
  w->full_read_pending = false;
  w->version = w->read_version;
  remove_missing (w);
  g_hash_table_unref (w->found);
  w->found = NULL;
  w->synced = true;
  report_batch_done (w);
  read_feed (w);
}

static void
on_page (void *data, const StoreReply *reply)
{
  StoreWatch *w = data;
  const char *last = store_reply_last_name (reply);

  if (reply->result != STORE_DONE)
    {
      retry_after_failure (w, reply);
      return;
    }
  note_success (w);
  set_restore_version (w, reply);
  /* The feed continues at the version of the first page, so it includes changes made while later pages are read. */
  if (!w->read_version)
    w->read_version = reply->version;
  for (size_t i = 0; i < reply->n_rows; i++)
    report_row (w, &reply->rows[i]);
  if (!reply->has_more || !last)
    {
      finish_table_read (w);
      return;
    }
  talloc_free (w->page_start);
  /* The smallest name greater than the last one of the page. */
  w->page_start = talloc_asprintf (w, "%s\x01", last);
  read_page (w);
}

static void
read_page (StoreWatch *w)
{
  StoreRange range
      = { .table = w->options.table, .partition = "", .from = w->page_start, .limit = PAGE_ROWS };

  store_range (w->options.store, w, &range, on_page, w);
}

/* --- Change feed ------------------------------------------------------------------------- */

static void
on_feed (void *data, const StoreReply *reply)
{
  StoreWatch *w = data;

  if (reply->result == STORE_HISTORY_GONE)
    {
      log_event (LOG_LEVEL_NOTICE, "store", "history_gone", "table=%s version=%" PRId64,
                 w->options.table, w->version);
      note_success (w);
      start_table_read (w);
      return;
    }
  if (reply->result != STORE_DONE)
    {
      retry_after_failure (w, reply);
      return;
    }
  note_success (w);
  w->is_prompt
      = timers_now_ms (w->options.timers) - w->call_started_ms <= w->call_wait_ms + PROMPT_MS;
  for (size_t i = 0; i < reply->n_rows; i++)
    report_row (w, &reply->rows[i]);
  if (reply->version > w->version)
    w->version = reply->version;
  if (reply->n_rows > 0)
    report_batch_done (w);
  if (w->full_read_pending)
    read_page (w);
  else if (reply->n_rows > 0 && w->poll_delay_ms > 0)
    timers_start (w->options.timers, w, w->poll_delay_ms, on_retry_or_poll, w);
  else
    read_feed (w);
}

/* After a failure the first call does not wait for changes: a call that is to be answered at once is known to be lost
 * sooner. */
static void
read_feed (StoreWatch *w)
{
  bool failed = w->stable_since_ms == INT64_MAX;
  StoreFeed feed = { .table = w->options.table,
                     .after_version = w->version,
                     .wait_ms = failed ? 0 : w->options.wait_ms,
                     .late_ms = w->is_prompt ? LATE_MS : 0 };

  w->call_wait_ms = feed.wait_ms;

  w->call_started_ms = timers_now_ms (w->options.timers);
  store_feed (w->options.store, w, &feed, on_feed, w);
}

/* --- Set-up ------------------------------------------------------------------------------ */

static int
watch_destroy (StoreWatch *w)
{
  list_remove (&w->listener.node);
  g_hash_table_unref (w->reported);
  if (w->found)
    g_hash_table_unref (w->found);
  return 0;
}

StoreWatch *
store_watch_new (const void *ctx, const StoreWatchOptions *options)
{
  StoreWatch *w = talloc_zero (ctx, StoreWatch);

  w->options = *options;
  w->reported = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (w->options.wait_ms == 0)
    w->options.wait_ms = STORE_WATCH_DEFAULT_LONG_POLL_MS;
  w->mean_retry_ms = INITIAL_MEAN_RETRY_MS;
  w->stable_since_ms = INT64_MAX;
  w->restore_version = INT64_MAX;
  w->listener = (StoreEraListener){ .restored = on_store_restored, .data = w };
  store_era_subscribe (&w->options.store->era, &w->listener);
  talloc_set_destructor (w, watch_destroy);
  start_table_read (w);
  return w;
}

void
store_watch_set_poll_delay (StoreWatch *w, int64_t delay_ms)
{
  w->poll_delay_ms = delay_ms;
}

int64_t
store_watch_removal_grace_ms (const StoreWatch *w)
{
  int64_t stable_ms;

  if (w->stable_since_ms == INT64_MAX)
    return REWRITTEN_AFTER_MS;
  stable_ms = timers_now_ms (w->options.timers) - w->stable_since_ms;
  if (stable_ms >= STABLE_AFTER_MS)
    return 0;
  return stable_ms + MIN_GRACE_MS > REWRITTEN_AFTER_MS ? MIN_GRACE_MS
                                                       : REWRITTEN_AFTER_MS - stable_ms;
}

bool
store_watch_order_is_known (const StoreWatch *w)
{
  return w->order_is_known;
}

bool
store_watch_is_synced (const StoreWatch *w)
{
  return w->synced;
}
