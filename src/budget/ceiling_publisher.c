#include "budget/ceiling_publisher.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "core/log.h"

#define TABLE "ceilings"
#define ROW   "bounds"

#define MIN_INTERVAL_MS 250
#define MAX_INTERVAL_MS 800

/* Rate of publications by all hosts together, unless an interval above raises or lowers it. */
#define FLEET_WRITES_PER_S 400

#define RETRY_MS 100

/* The store usually replies within a few milliseconds. The row is read again if a reply takes longer than
 * REPLY_TIMEOUT_FACTOR times the last one, within these bounds. */
#define MIN_REPLY_TIMEOUT_MS 250
#define MAX_REPLY_TIMEOUT_MS 1000
#define REPLY_TIMEOUT_FACTOR 4

/* A publication without a result for longer than this counts as stalled. Allows for one lost reply and the read that
 * follows it. */
#define STALLED_AFTER_MS 350

/* Added to the age of the previous incarnation's ceilings, for rounding and for clocks whose rates differ by up to
 * 4 %. */
#define CLOCK_MARGIN_MS      100
#define CLOCK_MARGIN_DIVISOR 25

struct CeilingPublisher
{
  CeilingPublisherOptions options;
  int hosts;  /* number of hosts that publish */
  bool ready; /* the row of the previous incarnation has been read */
  bool row_version_known;
  int64_t row_version;
  int64_t store_time_ms; /* as stated in the last reply */
  int64_t replied_ms;    /* local time of that reply */
  StoreCall *call;
  Timer *timer;
  char *sent_value;        /* the row as sent in the last publication */
  int64_t first_sent_ms;   /* when the first publication with a still unknown result was sent */
  int64_t call_started_ms; /* of the last call */
  int64_t reply_timeout_ms;
  /* Local time from which the age of the sent ceilings counts: that of the reply from which their row has its store
   * time. 0: none were sent. */
  atomic_int_fast64_t age_origin_ms;
  bool in_flight;     /* the collected ceilings have been sent, and the result is not known */
  bool publish_again; /* as soon as the call in progress has ended */
  StoreEraListener listener;
  /* From the row of the previous incarnation. */
  json_t *previous_ceilings; /* ceilings by account */
  uint64_t previous_incarnation;
  /* Upper bound on the age of previous_ceilings at the start of this incarnation; -1: unknown. */
  int64_t previous_age_ms;
};

static void read_row (CeilingPublisher *c);
static void publish (CeilingPublisher *c);
static void abandon_call (CeilingPublisher *c);

static void
on_timer (void *data)
{
  CeilingPublisher *c = data;

  c->timer = NULL;
  if (c->call)
    {
      abandon_call (c);
      return;
    }
  if (c->row_version_known)
    publish (c);
  else
    read_row (c);
}

static void
start_timer (CeilingPublisher *c, int64_t delay_ms)
{
  TALLOC_FREE (c->timer);
  c->timer = timers_start (c->options.timers, c, delay_ms, on_timer, c);
}

static int64_t
interval (const CeilingPublisher *c)
{
  int64_t ms = (int64_t)c->hosts * 1000 / FLEET_WRITES_PER_S;

  if (ms < MIN_INTERVAL_MS)
    ms = MIN_INTERVAL_MS;
  return ms < MAX_INTERVAL_MS ? ms : MAX_INTERVAL_MS;
}

/* --- The row of the previous incarnation ------------------------------------------------- */

static const StoreRow *
own_row (const StoreReply *reply)
{
  if (reply->n_rows == 0 || strcmp (reply->rows[0].key.name, ROW) != 0)
    return NULL;
  return &reply->rows[0];
}

static bool
previous_is_fresh (const CeilingPublisher *c)
{
  return c->previous_age_ms >= 0 && c->previous_age_ms < CEILING_GROWTH_DELAY_MS;
}

static void
load_previous (CeilingPublisher *c, const StoreRow *row, int64_t store_time_ms)
{
  json_t *json = json_loadb (row->value ? row->value : "", row->len, 0, NULL);
  int64_t written_ms = json_integer_value (json_object_get (json, "store_time_ms"));
  int64_t age = store_time_ms - written_ms;

  c->previous_incarnation = (uint64_t)json_integer_value (json_object_get (json, "incarnation"));
  /* A row of another era may be older than the ceilings that the previous incarnation used. */
  if (json_integer_value (json_object_get (json, "era")) != c->options.store->era.current)
    age = -1;
  c->previous_ceilings = json_incref (json_object_get (json, "ceilings"));
  if (written_ms > 0 && age >= 0 && c->previous_incarnation != c->options.incarnation)
    c->previous_age_ms = age + CLOCK_MARGIN_MS + age / CLOCK_MARGIN_DIVISOR;
  json_decref (json);
  log_event (LOG_LEVEL_NOTICE, "budget", "last_ceilings",
             "incarnation=%" PRIx64 " age_ms=%" PRId64 " accounts=%zu fresh=%d",
             c->previous_incarnation, age, json_object_size (c->previous_ceilings),
             previous_is_fresh (c));
}

/* Records the store time of a reply, and derives the next timeout from how long the reply took. */
static void
record_reply_time (CeilingPublisher *c, const StoreReply *reply)
{
  int64_t now = timers_now_ms (c->options.timers);

  c->reply_timeout_ms = REPLY_TIMEOUT_FACTOR * (now - c->call_started_ms);
  if (c->reply_timeout_ms < MIN_REPLY_TIMEOUT_MS)
    c->reply_timeout_ms = MIN_REPLY_TIMEOUT_MS;
  if (c->reply_timeout_ms > MAX_REPLY_TIMEOUT_MS)
    c->reply_timeout_ms = MAX_REPLY_TIMEOUT_MS;
  if (reply->time_ms <= 0)
    return;
  c->store_time_ms = reply->time_ms;
  c->replied_ms = now;
}

static void
finish_publication (CeilingPublisher *c, bool committed)
{
  if (!c->in_flight)
    return;
  c->in_flight = false;
  c->options.events->published (c->options.data, committed);
}

/* Checks whether the publication whose result is not known has committed. If not, it may still commit later. */
static void
check_unconfirmed (CeilingPublisher *c, const StoreReply *reply)
{
  const StoreRow *row = own_row (reply);

  if (row && row->value && row->len == strlen (c->sent_value)
      && memcmp (row->value, c->sent_value, row->len) == 0)
    finish_publication (c, true);
}

static void
on_row (void *data, const StoreReply *reply)
{
  CeilingPublisher *c = data;
  const StoreRow *row;

  c->call = NULL;
  if (reply->result != STORE_DONE)
    {
      start_timer (c, RETRY_MS);
      return;
    }
  record_reply_time (c, reply);
  row = own_row (reply);
  c->row_version = row ? row->version : 0;
  if (!c->ready && row)
    load_previous (c, row, reply->time_ms);
  c->row_version_known = true;
  if (c->in_flight)
    check_unconfirmed (c, reply);
  if (!c->ready)
    {
      c->ready = true;
      c->options.events->ready (c->options.data);
    }
  publish (c);
}

static void
read_row (CeilingPublisher *c)
{
  StoreRange range = { .table = TABLE, .partition = c->options.host, .from = ROW, .limit = 1 };

  c->call_started_ms = timers_now_ms (c->options.timers);
  c->call = store_range (c->options.store, c, &range, on_row, c);
}

/* --- Publication ------------------------------------------------------------------------- */

static void
on_published (void *data, const StoreReply *reply)
{
  CeilingPublisher *c = data;
  bool again = c->publish_again;

  c->call = NULL;
  c->publish_again = false;
  switch (reply->result)
    {
    case STORE_DONE:
      c->row_version = reply->version;
      record_reply_time (c, reply);
      finish_publication (c, true);
      start_timer (c, again ? 0 : interval (c));
      return;
    case STORE_REFUSED:
      finish_publication (c, false);
      break;
    case STORE_CONFLICT:
    case STORE_UNKNOWN:
    case STORE_HISTORY_GONE:
      /* It may have committed or may commit later: the lower of the old and the new ceiling of each account applies
       * until a publication commits. */
      c->row_version_known = false;
      break;
    }
  start_timer (c, RETRY_MS / 2 + (int64_t)rng_below (c->options.rng, RETRY_MS));
}

/* Cancels the call and reads the row: a lost reply would delay requests until the store client times out. */
static void
abandon_call (CeilingPublisher *c)
{
  TALLOC_FREE (c->call);
  c->publish_again = false;
  c->row_version_known = false;
  read_row (c);
}

static void
add_ceiling (void *data, const char *account, const Ceiling *ceiling)
{
  json_object_set_new (data, account, ceiling_to_json (ceiling));
}

static void
publish (CeilingPublisher *c)
{
  json_t *list = json_object ();
  int64_t age_origin_ms = c->age_origin_ms;
  json_t *json;
  char *text;

  /* The next incarnation may read this row even if this host never learns that it has committed. The origin of the
   * age is set first, so that this host does not exceed the ceilings in the row. */
  c->age_origin_ms = c->replied_ms;
  c->options.events->collect (c->options.data, add_ceiling, list);
  if (json_object_size (list) == 0)
    {
      json_decref (list);
      c->age_origin_ms = age_origin_ms;
      /* A publication whose result is not known may still commit; this host does not exceed the ceilings in it. */
      finish_publication (c, false);
      start_timer (c, interval (c));
      return;
    }
  c->call_started_ms = timers_now_ms (c->options.timers);
  if (!c->in_flight)
    c->first_sent_ms = c->call_started_ms;
  c->in_flight = true;
  json = json_pack ("{s:I,s:I,s:I,s:o}", "incarnation", (json_int_t)c->options.incarnation, "era",
                    (json_int_t)c->options.store->era.current, "store_time_ms",
                    (json_int_t)c->store_time_ms, "ceilings", list);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  talloc_free (c->sent_value);
  c->sent_value = talloc_strdup (c, text);
  {
    StoreKey key = { TABLE, c->options.host, ROW };
    StoreCheck check = { key, c->row_version };
    StoreWrite write = { key, text, strlen (text) };
    StoreTxn txn = { .checks = &check, .n_checks = 1, .writes = &write, .n_writes = 1 };

    c->call = store_txn (c->options.store, c, &txn, on_published, c);
    start_timer (c, c->reply_timeout_ms);
  }
  free (text);
}

void
ceiling_publisher_publish_soon (CeilingPublisher *c)
{
  if (c->call)
    c->publish_again = true;
  else if (c->ready)
    start_timer (c, 0);
}

/* --- Setup and queries ------------------------------------------------------------------- */

/* The row is now the one in the backup, of an earlier era: a new incarnation that reads it reclaims nothing. */
static void
on_store_restored (void *data, int64_t era)
{
  CeilingPublisher *c = data;

  (void)era;
  c->row_version_known = false;
}

static int
ceiling_publisher_destroy (CeilingPublisher *c)
{
  list_remove (&c->listener.node);
  json_decref (c->previous_ceilings);
  return 0;
}

CeilingPublisher *
ceiling_publisher_new (const void *ctx, const CeilingPublisherOptions *options)
{
  CeilingPublisher *c = talloc_zero (ctx, CeilingPublisher);

  c->options = *options;
  c->options.host = talloc_strdup (c, options->host);
  c->hosts = 1;
  c->reply_timeout_ms = MIN_REPLY_TIMEOUT_MS;
  c->previous_age_ms = -1;
  c->listener = (StoreEraListener){ .restored = on_store_restored, .data = c };
  store_era_subscribe (&options->store->era, &c->listener);
  talloc_set_destructor (c, ceiling_publisher_destroy);
  read_row (c);
  return c;
}

void
ceiling_publisher_set_hosts (CeilingPublisher *c, int hosts)
{
  c->hosts = hosts;
}

bool
ceiling_publisher_is_ready (const CeilingPublisher *c)
{
  return c->ready;
}

Tokens
ceiling_publisher_previous_max (const CeilingPublisher *c, uint64_t incarnation,
                                const char *account)
{
  Ceiling ceiling;

  if (c->previous_age_ms < 0 || incarnation != c->previous_incarnation)
    return -1;
  if (ceiling_from_json (json_object_get (c->previous_ceilings, account), &ceiling))
    return ceiling_at (&ceiling, c->previous_age_ms);
  return previous_is_fresh (c) && !json_object_get (c->previous_ceilings, account) ? 0 : -1;
}

bool
ceiling_publisher_has_previous (const CeilingPublisher *c, const char *account)
{
  return c->previous_age_ms >= 0 && json_object_get (c->previous_ceilings, account);
}

Tokens
ceiling_publisher_effective (const CeilingPublisher *c, const Ceiling *ceiling, int64_t now_ms)
{
  int64_t age_origin_ms = c->age_origin_ms;

  return age_origin_ms == 0 ? CEILING_UNLIMITED : ceiling_at (ceiling, now_ms - age_origin_ms);
}

int64_t
ceiling_publisher_growth_start_ms (const CeilingPublisher *c)
{
  return c->age_origin_ms + CEILING_GROWTH_DELAY_MS;
}

bool
ceiling_publisher_is_stalled (const CeilingPublisher *c, int64_t now_ms)
{
  return !c->ready || (c->in_flight && now_ms - c->first_sent_ms > STALLED_AFTER_MS);
}
