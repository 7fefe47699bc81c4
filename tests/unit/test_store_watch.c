/* Watching a table of the store: full reads, the change feed, lost history, stale replies, failures, restores. */
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "fakes/virtual_timers.h"
#include "harness.h"
#include "store/store_watch.h"

/* A store with at most one open call, to which the test replies. */
typedef struct
{
  Store store;
  VirtualTimers *vt;
  StoreCall *call;
  StoreFn fn;
  void *data;
  bool is_feed;
  int64_t after_version; /* of the last feed call */
  char from[64];         /* of the last range call, "" for none */
  int calls;
  StoreWatch *watch;
  Rng rng;
  char events[512]; /* "+name=value" and "-name" as the watch reports them */
} Fixture;

struct StoreCall
{
  int unused;
};

static StoreCall *
start_call (Fixture *fx, const void *ctx, bool is_feed, StoreFn fn, void *data)
{
  CU_ASSERT_PTR_NULL (fx->call);
  fx->call = talloc_zero (ctx, StoreCall);
  fx->is_feed = is_feed;
  fx->fn = fn;
  fx->data = data;
  fx->calls++;
  return fx->call;
}

static StoreCall *
range (Store *store, const void *ctx, const StoreRange *r, StoreFn fn, void *data)
{
  Fixture *fx = (Fixture *)store;

  snprintf (fx->from, sizeof fx->from, "%s", r->from ? r->from : "");
  return start_call (fx, ctx, false, fn, data);
}

static StoreCall *
feed (Store *store, const void *ctx, const StoreFeed *f, StoreFn fn, void *data)
{
  Fixture *fx = (Fixture *)store;

  fx->after_version = f->after_version;
  return start_call (fx, ctx, true, fn, data);
}

static const StoreOps OPS = { NULL, range, feed };

static void
append_event (Fixture *fx, const char *sign, const char *name, const char *value)
{
  size_t len = strlen (fx->events);

  snprintf (fx->events + len, sizeof fx->events - len, "%s%s%s%s ", sign, name, value ? "=" : "",
            value ? value : "");
}

static void
on_changed (void *data, const StoreRow *row)
{
  append_event (data, "+", row->key.name, row->value);
}

static void
on_removed (void *data, const StoreKey *key)
{
  append_event (data, "-", key->name, NULL);
}

static const StoreWatchEvents EVENTS = { on_changed, on_removed, NULL };

static Fixture *
fixture_new (void)
{
  Fixture *fx = talloc_zero (NULL, Fixture);
  StoreWatchOptions options
      = { .store = &fx->store, .rng = &fx->rng, .table = "t", .events = &EVENTS, .data = fx };

  fx->store.ops = &OPS;
  fx->vt = virtual_timers_new (fx, 1000);
  rng_seed (&fx->rng, 1);
  options.timers = virtual_timers_service (fx->vt);
  fx->watch = store_watch_new (fx, &options);
  return fx;
}

static void
run_ms (Fixture *fx, int64_t ms)
{
  Timers *timers = virtual_timers_service (fx->vt);

  virtual_timers_run (fx->vt, timers_now_ms (timers) + ms);
}

/* Replies to the open call. */
static void
send_reply (Fixture *fx, const StoreReply *r)
{
  StoreCall *call = fx->call;

  fx->call = NULL;
  talloc_steal (fx, call);
  fx->fn (fx->data, r);
  talloc_free (call);
}

static StoreRow
row (const char *name, int64_t version, const char *value)
{
  return (StoreRow){ .key = { "t", "", name },
                     .version = version,
                     .value = value,
                     .len = value ? strlen (value) : 0,
                     .removed = !value };
}

static void
reply_rows (Fixture *fx, int64_t version, const StoreRow *rows, size_t n, bool more)
{
  fx->events[0] = '\0';
  send_reply (
      fx,
      &(StoreReply){
          .result = STORE_DONE, .rows = rows, .n_rows = n, .version = version, .has_more = more });
}

static void
reply_failure (Fixture *fx, StoreResult result)
{
  fx->events[0] = '\0';
  send_reply (fx, &(StoreReply){ .result = result });
}

/* Guards against a change between two pages of a full read that is never reported: a feed that started at the version
 * of the last page would not contain it. */
static void
feed_starts_at_the_version_of_the_first_page (void)
{
  Fixture *fx = fixture_new ();
  StoreRow first[] = { row ("a", 3, "1"), row ("b", 4, "2") };
  StoreRow second[] = { row ("c", 9, "3") };
  StoreRow change[] = { row ("a", 8, "4"), row ("b", 7, NULL), row ("c", 9, "3") };

  reply_rows (fx, 5, first, 2, true);
  CU_ASSERT_STRING_EQUAL (fx->events, "+a=1 +b=2 ");
  CU_ASSERT_FALSE (fx->is_feed);
  CU_ASSERT (strcmp (fx->from, "b") > 0);
  CU_ASSERT_FALSE (store_watch_is_synced (fx->watch));
  reply_rows (fx, 9, second, 1, false);
  CU_ASSERT (store_watch_is_synced (fx->watch));
  CU_ASSERT (fx->is_feed);
  CU_ASSERT_EQUAL (fx->after_version, 5);
  reply_rows (fx, 9, change, 3, false);
  CU_ASSERT_STRING_EQUAL (fx->events, "+a=4 -b ");
  CU_ASSERT_EQUAL (fx->after_version, 9);
  talloc_free (fx);
}

/* Guards against a full read that ends early, and then reports the rows behind as removed: no row of one page can be
 * read. */
static void
a_page_of_unreadable_rows_does_not_end_a_full_read (void)
{
  Fixture *fx = fixture_new ();
  StoreRow rows[] = { row ("c", 4, "2") };

  send_reply (
      fx, &(StoreReply){ .result = STORE_DONE, .version = 5, .has_more = true, .last_name = "b" });
  CU_ASSERT_FALSE (store_watch_is_synced (fx->watch));
  CU_ASSERT_FALSE (fx->is_feed);
  CU_ASSERT (strcmp (fx->from, "b") > 0 && strcmp (fx->from, "c") < 0);
  reply_rows (fx, 6, rows, 1, false);
  CU_ASSERT_STRING_EQUAL (fx->events, "+c=2 ");
  CU_ASSERT (store_watch_is_synced (fx->watch));
  talloc_free (fx);
}

/* Guards against a server that is used for ever: its row was removed in a part of the feed that the store has
 * compacted, so no feed reply reports it. */
static void
a_row_removed_in_lost_history_is_reported (void)
{
  Fixture *fx = fixture_new ();
  StoreRow before[] = { row ("a", 3, "1"), row ("b", 4, "2") };
  StoreRow after[] = { row ("b", 4, "2") };

  reply_rows (fx, 5, before, 2, false);
  reply_failure (fx, STORE_HISTORY_GONE);
  CU_ASSERT_FALSE (fx->is_feed);
  reply_rows (fx, 20, after, 1, false);
  CU_ASSERT_STRING_EQUAL (fx->events, "-a ");
  CU_ASSERT_EQUAL (fx->after_version, 20);
  talloc_free (fx);
}

/* Guards against an older configuration or server that replaces a newer one, because the full read after lost
 * history returns a stale state. */
static void
a_stale_page_never_replaces_a_newer_row (void)
{
  Fixture *fx = fixture_new ();
  StoreRow start[] = { row ("a", 3, "old") };
  StoreRow change[] = { row ("a", 8, "new") };

  reply_rows (fx, 5, start, 1, false);
  reply_rows (fx, 8, change, 1, false);
  reply_failure (fx, STORE_HISTORY_GONE);
  reply_rows (fx, 6, start, 1, false);
  CU_ASSERT_STRING_EQUAL (fx->events, "");
  talloc_free (fx);
}

/* Guards against requests to a server that has been removed, because a stale full read still has its row. */
static void
a_stale_page_does_not_bring_a_removed_row_back (void)
{
  Fixture *fx = fixture_new ();
  StoreRow start[] = { row ("a", 3, "1") };
  StoreRow removal[] = { row ("a", 8, NULL) };
  StoreRow again[] = { row ("a", 12, "2") };

  reply_rows (fx, 5, start, 1, false);
  reply_rows (fx, 8, removal, 1, false);
  CU_ASSERT_STRING_EQUAL (fx->events, "-a ");
  reply_failure (fx, STORE_HISTORY_GONE);
  reply_rows (fx, 6, start, 1, false);
  CU_ASSERT_STRING_EQUAL (fx->events, "");
  reply_rows (fx, 12, again, 1, false);
  CU_ASSERT_STRING_EQUAL (fx->events, "+a=2 ");
  talloc_free (fx);
}

/* Guards against the removal of a new server, because a stale full read does not have its row yet. */
static void
a_stale_page_does_not_remove_a_newer_row (void)
{
  Fixture *fx = fixture_new ();
  StoreRow start[] = { row ("a", 3, "1") };
  StoreRow added[] = { row ("b", 8, "2") };

  reply_rows (fx, 5, start, 1, false);
  reply_rows (fx, 8, added, 1, false);
  reply_failure (fx, STORE_HISTORY_GONE);
  reply_rows (fx, 6, start, 1, false);
  CU_ASSERT_STRING_EQUAL (fx->events, "");
  talloc_free (fx);
}

static bool
is_stable (const Fixture *fx)
{
  return store_watch_removal_grace_ms (fx->watch) == 0;
}

/* Guards against taking rows that expired during a store outage for rows that their owners have removed. */
static void
watch_is_stable_only_after_a_time_without_failures (void)
{
  Fixture *fx = fixture_new ();

  reply_rows (fx, 5, NULL, 0, false);
  CU_ASSERT_FALSE (is_stable (fx));
  run_ms (fx, 3500);
  CU_ASSERT (is_stable (fx));
  reply_failure (fx, STORE_UNKNOWN);
  CU_ASSERT_FALSE (is_stable (fx));
  run_ms (fx, 1000);
  reply_rows (fx, 5, NULL, 0, false);
  CU_ASSERT_FALSE (is_stable (fx));
  run_ms (fx, 3500);
  CU_ASSERT (is_stable (fx));
  talloc_free (fx);
}

/* Guards against hosts that retry a failing store without delay, and against a watch that stops retrying. */
static void
failures_are_retried_after_a_delay (void)
{
  Fixture *fx = fixture_new ();

  for (int i = 0; i < 20; i++)
    {
      reply_failure (fx, STORE_REFUSED);
      CU_ASSERT_PTR_NULL (fx->call);
      run_ms (fx, 600);
      CU_ASSERT_PTR_NOT_NULL (fx->call);
    }
  CU_ASSERT_EQUAL (fx->calls, 21);
  talloc_free (fx);
}

/* Guards against high store load from a large fleet: without a delay, each host calls the store for every change. */
static void
poll_delay_merges_changes (void)
{
  Fixture *fx = fixture_new ();
  StoreRow changes[] = { row ("a", 8, "1"), row ("b", 9, "2") };

  reply_rows (fx, 5, NULL, 0, false);
  store_watch_set_poll_delay (fx->watch, 400);
  reply_rows (fx, 9, changes, 2, false);
  CU_ASSERT_PTR_NULL (fx->call);
  run_ms (fx, 300);
  CU_ASSERT_PTR_NULL (fx->call);
  run_ms (fx, 200);
  CU_ASSERT_PTR_NOT_NULL (fx->call);
  CU_ASSERT_EQUAL (fx->after_version, 9);
  reply_rows (fx, 9, NULL, 0, false);
  CU_ASSERT_PTR_NOT_NULL (fx->call);
  talloc_free (fx);
}

/* --- Restores of the store ---------------------------------------------------------------------- */

/* Simulates a restore during the open call, whose reply the client discards and reports as STORE_UNKNOWN. */
static void
restore_store (Fixture *fx, int64_t era)
{
  store_era_observe (&fx->store.era, era, 0);
  reply_failure (fx, STORE_UNKNOWN);
  run_ms (fx, 500);
  CU_ASSERT_FALSE (fx->is_feed);
}

/* Guards against a watch that ignores all changes until the versions of a restored store have caught up, and against
 * one that reports rows of the backup: a server that was removed or is draining would be used again. */
static void
after_a_restore_only_newer_rows_are_reported (void)
{
  Fixture *fx = fixture_new ();
  StoreRow before[] = { row ("drains", 90, "draining"), row ("left", 40, "ready"),
                        row ("joined", 95, "ready"), row ("ended", 96, "ready") };
  StoreRow gone[] = { row ("left", 97, NULL) };
  StoreRow backup[] = { row ("drains", 41, "ready"), row ("left", 40, "ready") };
  StoreRow again[] = { row ("joined", 61, "ready"), row ("drains", 62, "draining") };

  store_era_observe (&fx->store.era, 4, 0);
  reply_rows (fx, 96, before, 4, false);
  reply_rows (fx, 97, gone, 1, false);
  restore_store (fx, 5);
  reply_rows (fx, 60, backup, 2, false);
  CU_ASSERT_STRING_EQUAL (fx->events, "");
  CU_ASSERT_FALSE (is_stable (fx));
  CU_ASSERT (fx->is_feed);
  reply_rows (fx, 62, again, 2, false);
  CU_ASSERT_STRING_EQUAL (fx->events, "+joined=ready +drains=draining ");
  /* A row that has not been rewritten by the end of the grace period is reported as removed. */
  run_ms (fx, 4000);
  reply_rows (fx, 62, NULL, 0, false);
  CU_ASSERT_FALSE (fx->is_feed);
  reply_rows (fx, 62, again, 2, false);
  CU_ASSERT_STRING_EQUAL (fx->events, "-ended ");
  talloc_free (fx);
}

/* Guards against use of a reply if the call or the reply is from an older era (a number that each restore of the store
 * increases), and against an era that decreases. */
static void
replies_across_an_era_change_are_rejected (void)
{
  StoreEra era = { 0 };

  store_era_observe (&era, 3, 0);
  CU_ASSERT (store_era_accepts (&era, 3, 0));
  CU_ASSERT (store_era_accepts (&era, 3, 3));
  CU_ASSERT (store_era_accepts (&era, 0, 3));
  store_era_observe (&era, 2, 0);
  CU_ASSERT_EQUAL (era.current, 3);
  CU_ASSERT_FALSE (store_era_accepts (&era, 2, 3));
  store_era_observe (&era, 4, 0);
  CU_ASSERT_FALSE (store_era_accepts (&era, 4, 3));
  CU_ASSERT_EQUAL (store_era_parse ("7"), 8);
  CU_ASSERT_EQUAL (store_era_parse ("0"), 1);
  CU_ASSERT_EQUAL (store_era_parse ("7x"), 0);
  CU_ASSERT_EQUAL (store_era_parse ("-1"), 0);
  CU_ASSERT_EQUAL (store_era_parse (""), 0);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "feed_starts_at_the_version_of_the_first_page",
      feed_starts_at_the_version_of_the_first_page },
    { "a_page_of_unreadable_rows_does_not_end_a_full_read",
      a_page_of_unreadable_rows_does_not_end_a_full_read },
    { "a_row_removed_in_lost_history_is_reported", a_row_removed_in_lost_history_is_reported },
    { "a_stale_page_never_replaces_a_newer_row", a_stale_page_never_replaces_a_newer_row },
    { "a_stale_page_does_not_bring_a_removed_row_back",
      a_stale_page_does_not_bring_a_removed_row_back },
    { "a_stale_page_does_not_remove_a_newer_row", a_stale_page_does_not_remove_a_newer_row },
    { "watch_is_stable_only_after_a_time_without_failures",
      watch_is_stable_only_after_a_time_without_failures },
    { "poll_delay_merges_changes", poll_delay_merges_changes },
    { "after_a_restore_only_newer_rows_are_reported",
      after_a_restore_only_newer_rows_are_reported },
    { "replies_across_an_era_change_are_rejected", replies_across_an_era_change_are_rejected },
    { "failures_are_retried_after_a_delay", failures_are_retried_after_a_delay },
  };

  return harness_run ("store_watch", CASES, sizeof CASES / sizeof CASES[0]);
}
