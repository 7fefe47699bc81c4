#include "budget/ceilings.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "core/log.h"

#define TABLE "ceilings"
#define ROW   "bounds"

#define INTERVAL_MS         250
#define LONGEST_INTERVAL_MS 800

/* The store's writes that all hosts together may take for this. */
#define WRITES_PER_S 400

#define RETRY_MS 100

/* The store usually answers within a few milliseconds. An answer is waited for this long before the row is
 * read again, and longer if the last one was slow. */
#define PATIENCE_MS         250
#define PATIENCE_ANSWERS    4
#define LONGEST_PATIENCE_MS 1000

/* One lost answer is made up for in this time. */
#define STALLED_MS 350

/* For rounding, and for clocks whose rates differ by up to 4 %. */
#define CLOCK_MARGIN_MS   100
#define CLOCK_MARGIN_PART 25

struct Ceilings
{
  CeilingsOptions options;
  int hosts;
  bool ready;
  bool checked; /* the row's version is known */
  int64_t row_version;
  int64_t store_time_ms; /* of the last answer */
  int64_t answered_ms;   /* when that came */
  StoreCall *call;
  Timer *timer;
  char *sent;        /* the row as last sent */
  int64_t begun_ms;  /* when the first publication without an answer was sent */
  int64_t called_ms; /* when the last call began */
  int64_t patience_ms;
  /* The store answered then last before the ceilings in force were sent; 0: there are none. */
  atomic_int_fast64_t base_ms;
  bool on_their_way; /* collected ceilings wait for an answer */
  bool hurry;
  StoreEraListener listener;
  /* Of the last incarnation. */
  json_t *last;
  uint64_t last_incarnation;
  int64_t last_age_ms; /* at most, when this incarnation began; -1: not known */
};

static void read_row (Ceilings *c);
static void publish (Ceilings *c);
static void stop_waiting (Ceilings *c);

static void
on_timer (void *data)
{
  Ceilings *c = data;

  c->timer = NULL;
  if (c->call)
    {
      stop_waiting (c);
      return;
    }
  if (c->checked)
    publish (c);
  else
    read_row (c);
}

static void
start_timer (Ceilings *c, int64_t delay_ms)
{
  TALLOC_FREE (c->timer);
  c->timer = timers_start (c->options.timers, c, delay_ms, on_timer, c);
}

static int64_t
interval (const Ceilings *c)
{
  int64_t ms = (int64_t)c->hosts * 1000 / WRITES_PER_S;

  if (ms < INTERVAL_MS)
    ms = INTERVAL_MS;
  return ms < LONGEST_INTERVAL_MS ? ms : LONGEST_INTERVAL_MS;
}

/* --- The row of the last incarnation ----------------------------------------------------- */

static const StoreRow *
own_row (const StoreReply *reply)
{
  if (reply->n_rows == 0 || strcmp (reply->rows[0].key.name, ROW) != 0)
    return NULL;
  return &reply->rows[0];
}

static bool
is_fresh (const Ceilings *c)
{
  return c->last_age_ms >= 0 && c->last_age_ms < CEILING_LIFETIME_MS;
}

static void
take_last (Ceilings *c, const StoreRow *row, int64_t store_time_ms)
{
  json_t *json = json_loadb (row->value ? row->value : "", row->len, 0, NULL);
  int64_t written = json_integer_value (json_object_get (json, "store_time_ms"));
  int64_t age = store_time_ms - written;

  c->last_incarnation = (uint64_t)json_integer_value (json_object_get (json, "incarnation"));
  /* One of another era may be older than what the last incarnation went by. */
  if (json_integer_value (json_object_get (json, "era")) != c->options.store->era.current)
    age = -1;
  c->last = json_incref (json_object_get (json, "ceilings"));
  if (written > 0 && age >= 0 && c->last_incarnation != c->options.incarnation)
    c->last_age_ms = age + CLOCK_MARGIN_MS + age / CLOCK_MARGIN_PART;
  json_decref (json);
  log_event (LOG_LEVEL_NOTICE, "budget", "last_ceilings",
             "incarnation=%" PRIx64 " age_ms=%" PRId64 " accounts=%zu fresh=%d",
             c->last_incarnation, age, json_object_size (c->last), is_fresh (c));
}

/* Notes what an answer tells of the store's clock, and how long it took. */
static void
note_time (Ceilings *c, const StoreReply *reply)
{
  int64_t now = timers_now_ms (c->options.timers);

  c->patience_ms = PATIENCE_ANSWERS * (now - c->called_ms);
  if (c->patience_ms < PATIENCE_MS)
    c->patience_ms = PATIENCE_MS;
  if (c->patience_ms > LONGEST_PATIENCE_MS)
    c->patience_ms = LONGEST_PATIENCE_MS;
  if (reply->time_ms <= 0)
    return;
  c->store_time_ms = reply->time_ms;
  c->answered_ms = now;
}

static void
settle_publication (Ceilings *c, bool done)
{
  if (!c->on_their_way)
    return;
  c->on_their_way = false;
  c->options.events->published (c->options.data, done);
}

/* Finds out whether the transaction without an answer was done. It can still be done if not. */
static void
check_publication (Ceilings *c, const StoreReply *reply)
{
  const StoreRow *row = own_row (reply);

  if (row && row->value && row->len == strlen (c->sent)
      && memcmp (row->value, c->sent, row->len) == 0)
    settle_publication (c, true);
}

static void
on_row (void *data, const StoreReply *reply)
{
  Ceilings *c = data;
  const StoreRow *row;

  c->call = NULL;
  if (reply->result != STORE_DONE)
    {
      start_timer (c, RETRY_MS);
      return;
    }
  note_time (c, reply);
  row = own_row (reply);
  c->row_version = row ? row->version : 0;
  if (!c->ready && row)
    take_last (c, row, reply->time_ms);
  c->checked = true;
  if (c->on_their_way)
    check_publication (c, reply);
  if (!c->ready)
    {
      c->ready = true;
      c->options.events->ready (c->options.data);
    }
  publish (c);
}

static void
read_row (Ceilings *c)
{
  StoreRange range = { .table = TABLE, .partition = c->options.host, .from = ROW, .limit = 1 };

  c->called_ms = timers_now_ms (c->options.timers);
  c->call = store_range (c->options.store, c, &range, on_row, c);
}

/* --- Publication ------------------------------------------------------------------------- */

static void
on_published (void *data, const StoreReply *reply)
{
  Ceilings *c = data;
  bool again = c->hurry;

  c->call = NULL;
  c->hurry = false;
  switch (reply->result)
    {
    case STORE_DONE:
      c->row_version = reply->version;
      note_time (c, reply);
      settle_publication (c, true);
      start_timer (c, again ? 0 : interval (c));
      return;
    case STORE_REFUSED:
      settle_publication (c, false);
      break;
    case STORE_CONFLICT:
    case STORE_UNKNOWN:
    case STORE_HISTORY_GONE:
      /* Perhaps done, perhaps later: the lower of both ceilings holds until the next one is done. */
      c->checked = false;
      break;
    }
  start_timer (c, RETRY_MS / 2 + (int64_t)rng_below (c->options.rng, RETRY_MS));
}

/* An answer that was lost would keep requests waiting until the store's client gives up. */
static void
stop_waiting (Ceilings *c)
{
  TALLOC_FREE (c->call);
  c->hurry = false;
  c->checked = false;
  read_row (c);
}

static void
add_ceiling (void *data, const char *account, const Ceiling *ceiling)
{
  json_object_set_new (data, account, ceiling_write (ceiling));
}

static void
publish (Ceilings *c)
{
  json_t *list = json_object ();
  int64_t base_ms = c->base_ms;
  json_t *json;
  char *text;

  /* Whether it is done or not: what it states may be read. Set before, so that nothing goes beyond it. */
  c->base_ms = c->answered_ms;
  c->options.events->collect (c->options.data, add_ceiling, list);
  if (json_object_size (list) == 0)
    {
      json_decref (list);
      c->base_ms = base_ms;
      /* A publication without an answer may still be done; it states nothing that this host goes beyond. */
      settle_publication (c, false);
      start_timer (c, interval (c));
      return;
    }
  c->called_ms = timers_now_ms (c->options.timers);
  if (!c->on_their_way)
    c->begun_ms = c->called_ms;
  c->on_their_way = true;
  json = json_pack ("{s:I,s:I,s:I,s:o}", "incarnation", (json_int_t)c->options.incarnation, "era",
                    (json_int_t)c->options.store->era.current, "store_time_ms",
                    (json_int_t)c->store_time_ms, "ceilings", list);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  talloc_free (c->sent);
  c->sent = talloc_strdup (c, text);
  {
    StoreKey key = { TABLE, c->options.host, ROW };
    StoreCheck check = { key, c->row_version };
    StoreWrite write = { key, text, strlen (text) };
    StoreTxn txn = { .checks = &check, .n_checks = 1, .writes = &write, .n_writes = 1 };

    c->call = store_txn (c->options.store, c, &txn, on_published, c);
    start_timer (c, c->patience_ms);
  }
  free (text);
}

void
ceilings_hurry (Ceilings *c)
{
  if (c->call)
    c->hurry = true;
  else if (c->ready)
    start_timer (c, 0);
}

/* --- Set-up and questions ---------------------------------------------------------------- */

/* The row is that of the copy. Until the next publication a new incarnation takes nothing back. */
static void
on_went_back (void *data, int64_t era)
{
  Ceilings *c = data;

  (void)era;
  c->checked = false;
}

static int
ceilings_destroy (Ceilings *c)
{
  list_remove (&c->listener.node);
  json_decref (c->last);
  return 0;
}

Ceilings *
ceilings_new (const void *ctx, const CeilingsOptions *options)
{
  Ceilings *c = talloc_zero (ctx, Ceilings);

  c->options = *options;
  c->options.host = talloc_strdup (c, options->host);
  c->hosts = 1;
  c->patience_ms = PATIENCE_MS;
  c->last_age_ms = -1;
  c->listener = (StoreEraListener){ .restored = on_went_back, .data = c };
  store_era_subscribe (&options->store->era, &c->listener);
  talloc_set_destructor (c, ceilings_destroy);
  read_row (c);
  return c;
}

void
ceilings_set_hosts (Ceilings *c, int hosts)
{
  c->hosts = hosts;
}

bool
ceilings_is_ready (const Ceilings *c)
{
  return c->ready;
}

Tokens
ceilings_of_last (const Ceilings *c, uint64_t incarnation, const char *account)
{
  Ceiling ceiling;

  if (c->last_age_ms < 0 || incarnation != c->last_incarnation)
    return -1;
  if (ceiling_read (json_object_get (c->last, account), &ceiling))
    return ceiling_at (&ceiling, c->last_age_ms);
  return is_fresh (c) && !json_object_get (c->last, account) ? 0 : -1;
}

bool
ceilings_has_last (const Ceilings *c, const char *account)
{
  return c->last_age_ms >= 0 && json_object_get (c->last, account);
}

Tokens
ceilings_apply (const Ceilings *c, const Ceiling *ceiling, int64_t now_ms)
{
  int64_t base_ms = c->base_ms;

  return base_ms == 0 ? CEILING_UNLIMITED : ceiling_at (ceiling, now_ms - base_ms);
}

int64_t
ceilings_hold_until_ms (const Ceilings *c)
{
  return c->base_ms + CEILING_LIFETIME_MS;
}

bool
ceilings_is_stalled (const Ceilings *c, int64_t now_ms)
{
  return !c->ready || (c->on_their_way && now_ms - c->begun_ms > STALLED_MS);
}
