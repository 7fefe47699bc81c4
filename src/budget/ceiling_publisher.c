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

/* Consent is requested at this age of the last publication: well after the next one is due, and a few round trips
 * between hosts before the growth starts. */
#define CONSENT_AFTER_MS 1500

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
  CeilingPrevious previous; /* loaded once ready */
  GrowthConsent consent;
  bool needs_consent;        /* a ceiling of the last publication sent does */
  atomic_bool grows_in_full; /* growth_consent_is_given() */
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

static void
load_previous (CeilingPublisher *c, const StoreRow *row, int64_t store_time_ms)
{
  CeilingPreviousRow previous = { .text = row->value,
                                  .len = row->len,
                                  .store_time_ms = store_time_ms,
                                  .era = c->options.store->era.current,
                                  .own_incarnation = c->options.incarnation };

  ceiling_previous_load (&c->previous, &previous);
  log_event (LOG_LEVEL_NOTICE, "budget", "last_ceilings",
             "incarnation=%" PRIx64 " age_ms=%" PRId64 " accounts=%zu fresh=%d witness=%s",
             c->previous.incarnation, c->previous.age_ms, json_object_size (c->previous.ceilings),
             ceiling_previous_is_fresh (&c->previous),
             c->previous.consent == CONSENT_ASKED ? c->previous.witness.host : "-");
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
  if (committed)
    growth_consent_committed (&c->consent);
  c->grows_in_full = growth_consent_is_given (&c->consent);
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

typedef struct
{
  json_t *list;
  bool needs_consent;
} CollectedCeilings;

static void
add_ceiling (void *data, const char *account, const Ceiling *ceiling)
{
  CollectedCeilings *collected = data;

  json_object_set_new (collected->list, account, ceiling_to_json (ceiling));
  collected->needs_consent |= ceiling_needs_consent (ceiling);
}

/* Names the witness only while an unused account needs one, to keep the row small. */
static void
add_witness (CeilingPublisher *c, json_t *row)
{
  const GrowthConsent *g = &c->consent;

  if (!g->witness.host[0])
    return;
  json_object_set_new (row, "witness", json_string (g->witness.host));
  json_object_set_new (row, "witness_incarnation",
                       json_integer ((json_int_t)g->witness.incarnation));
  json_object_set_new (row, "publication", json_integer ((json_int_t)g->publication));
}

/* Until the witness consents to this publication, ceilings of unused accounts grow slowly. The witness stays the same
 * while the store may have several publications, see growth_consent_is_given(). */
static void
begin_consent (CeilingPublisher *c)
{
  WitnessId named = c->consent.witness;
  const WitnessId *witness = named.host[0] ? &named : NULL;

  if (!c->in_flight)
    witness = c->needs_consent ? c->options.events->witness (c->options.data) : NULL;
  growth_consent_sent (&c->consent, witness);
  c->grows_in_full = growth_consent_is_given (&c->consent);
}

/* Takes over the reference to @p list. */
static void
send_row (CeilingPublisher *c, json_t *list)
{
  json_t *json;
  char *text;

  c->call_started_ms = timers_now_ms (c->options.timers);
  if (!c->in_flight)
    c->first_sent_ms = c->call_started_ms;
  c->in_flight = true;
  json = json_pack ("{s:I,s:I,s:I,s:o}", "incarnation", (json_int_t)c->options.incarnation, "era",
                    (json_int_t)c->options.store->era.current, "store_time_ms",
                    (json_int_t)c->store_time_ms, "ceilings", list);
  add_witness (c, json);
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

static void
publish (CeilingPublisher *c)
{
  CollectedCeilings collected = { .list = json_object () };
  int64_t age_origin_ms = c->age_origin_ms;
  bool grows_in_full = c->grows_in_full;

  /* The next incarnation may read this row even if this host never learns that it has committed. The origin of the
   * age is set first, so that this host does not exceed the ceilings in the row. */
  c->age_origin_ms = c->replied_ms;
  c->grows_in_full = false;
  c->options.events->collect (c->options.data, add_ceiling, &collected);
  if (json_object_size (collected.list) == 0)
    {
      json_decref (collected.list);
      c->age_origin_ms = age_origin_ms;
      c->grows_in_full = grows_in_full;
      /* A publication whose result is not known may still commit; this host does not exceed the ceilings in it. */
      finish_publication (c, false);
      start_timer (c, interval (c));
      return;
    }
  c->needs_consent = collected.needs_consent;
  begin_consent (c);
  send_row (c, collected.list);
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
  ceiling_previous_clear (&c->previous);
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
  c->previous = CEILING_PREVIOUS_INIT;
  c->consent = GROWTH_CONSENT_INIT;
  c->grows_in_full = true;
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

CeilingPrevious *
ceiling_publisher_previous (CeilingPublisher *c)
{
  return &c->previous;
}

Tokens
ceiling_publisher_previous_max (const CeilingPublisher *c, uint64_t incarnation,
                                const char *account)
{
  return ceiling_previous_max (&c->previous, incarnation, account);
}

bool
ceiling_publisher_has_previous (const CeilingPublisher *c, const char *account)
{
  return ceiling_previous_has (&c->previous, account);
}

bool
ceiling_publisher_is_previous_pending (const CeilingPublisher *c, const char *account)
{
  return ceiling_previous_is_pending (&c->previous, account);
}

Tokens
ceiling_publisher_effective (const CeilingPublisher *c, const Ceiling *ceiling,
                             const Ceiling *without_consent, int64_t now_ms)
{
  const Ceiling *bound = c->grows_in_full ? ceiling : without_consent;
  int64_t age_origin_ms = c->age_origin_ms;

  return age_origin_ms == 0 ? CEILING_UNLIMITED : ceiling_at (bound, now_ms - age_origin_ms);
}

bool
ceiling_publisher_wants_witness (const CeilingPublisher *c)
{
  return c->needs_consent;
}

const GrowthConsent *
ceiling_publisher_needs_consent (const CeilingPublisher *c, int64_t now_ms)
{
  bool is_due = c->needs_consent && c->consent.witness.host[0] && !c->grows_in_full
                && now_ms - c->age_origin_ms >= CONSENT_AFTER_MS;

  return is_due ? &c->consent : NULL;
}

void
ceiling_publisher_consent (CeilingPublisher *c, const WitnessId *witness, uint64_t publication)
{
  growth_consent_received (&c->consent, witness, publication);
  c->grows_in_full = growth_consent_is_given (&c->consent);
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
