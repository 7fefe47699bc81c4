#include "fakes/fake_store.h"

#include <string.h>

#include <talloc.h>

#include "fakes/row_table.h"

/* A call without an answer ends after this time. */
#define CALL_TIMEOUT_MS 1200
#define LATE_MOST_MS    6000

#define LIE_SHARE 0.02

struct FakeStore
{
  Timers *timers;
  Rng *rng;
  RowTable *rows;
  RowTable *copy;
  int64_t era; /* 0: not stated */
  FakeStoreLie lie;
};

typedef enum
{
  CALL_TXN,
  CALL_RANGE,
  CALL_FEED
} CallType;

/* What a call asked for; outlives the call itself if the store does it late. */
typedef struct
{
  FakeStore *store;
  StoreTxn txn;
  char *table;
  char *partition;
  char *from;
  size_t limit;
  int64_t after;
} Ask;

struct StoreCall
{
  FakePort *port;
  CallType type;
  Ask *ask;
  StoreFn fn;
  void *data;
  int64_t until_ms;
  int64_t begun_era;  /* as the host knew it */
  int64_t stated_era; /* in the answer */
  StoreReply reply;
  void *memory; /* of the reply's rows */
};

/* --- Answers ----------------------------------------------------------------------------- */

static void
add_reply_row (StoreCall *c, const StoreKey *key, const TableRow *row)
{
  StoreRow *list = (StoreRow *)c->reply.rows;
  StoreRow *out;

  list = talloc_realloc (c->memory, list, StoreRow, c->reply.n_rows + 1);
  out = &list[c->reply.n_rows++];
  memset (out, 0, sizeof *out);
  out->key.table = talloc_strdup (c->memory, key->table);
  out->key.partition = talloc_strdup (c->memory, key->partition);
  out->key.name = talloc_strdup (c->memory, key->name);
  c->reply.rows = list;
  if (!row)
    return;
  out->removed = !row->value;
  out->version = row->value || c->type == CALL_FEED ? row->version : 0;
  out->len = row->len;
  out->value = row->value ? talloc_memdup (c->memory, row->value, row->len + 1) : NULL;
}

/* --- Calls ------------------------------------------------------------------------------- */

static void
note_era (StoreCall *c)
{
  StoreEra *era = &c->port->store.era;

  store_era_observe (era, c->stated_era, timers_now_ms (c->port->owner->timers));
  if (store_era_accepts (era, c->stated_era, c->begun_era))
    return;
  c->reply = (StoreReply){ .result = STORE_UNKNOWN, .detail = "the store went back" };
}

static void
finish (void *data)
{
  StoreCall *c = data;
  void *keep = talloc_new (NULL);

  if (c->stated_era > 0)
    note_era (c);

  talloc_steal (keep, c);
  c->fn (c->data, &c->reply);
  talloc_free (keep);
}

static void
answer (StoreCall *c, StoreResult result)
{
  c->reply.result = result;
  c->reply.detail = store_result_name (result);
  c->reply.version = row_table_version (c->port->owner->rows);
  c->stated_era = c->port->owner->era;
  c->reply.time_ms = timers_now_ms (c->port->owner->timers) + FAKE_STORE_CLOCK_OFFSET_MS;
  timers_start (c->port->owner->timers, c, c->port->latency_ms, finish, c);
}

static void
time_out (void *data)
{
  StoreCall *c = data;

  c->reply.result = STORE_UNKNOWN;
  c->reply.detail = "no answer";
  finish (c);
}

static void
never_answer (StoreCall *c)
{
  timers_start (c->port->owner->timers, c, CALL_TIMEOUT_MS, time_out, c);
}

static void
apply_late (void *data)
{
  Ask *ask = data;

  row_table_apply (ask->store->rows, &ask->txn);
  talloc_free (ask);
}

static void
tell_lie (StoreCall *c)
{
  FakeStore *s = c->port->owner;
  StoreTxn unchecked = c->ask->txn;

  unchecked.n_checks = 0;
  if (s->lie != FAKE_STORE_DONE_NOT_WRITTEN)
    row_table_apply (s->rows, s->lie == FAKE_STORE_IGNORES_CHECKS ? &unchecked : &c->ask->txn);
  answer (c, s->lie == FAKE_STORE_REFUSED_WRITTEN ? STORE_REFUSED : STORE_DONE);
}

static void
arrive_txn (StoreCall *c)
{
  FakePort *p = c->port;
  FakeStore *s = p->owner;
  const StoreTxn *txn = &c->ask->txn;

  p->txns++;
  if (rng_chance (s->rng, p->late))
    {
      Ask *ask = talloc_steal (s, c->ask);

      timers_start (s->timers, ask, 1000 + (int64_t)rng_below (s->rng, LATE_MOST_MS - 1000),
                    apply_late, ask);
      never_answer (c);
      return;
    }
  if (s->lie != FAKE_STORE_TRUE && rng_chance (s->rng, LIE_SHARE))
    tell_lie (c);
  else if (!row_table_apply (s->rows, txn))
    {
      for (size_t i = 0; i < txn->n_checks; i++)
        add_reply_row (c, &txn->checks[i].key, row_table_find (s->rows, &txn->checks[i].key));
      answer (c, STORE_CONFLICT);
    }
  else if (rng_chance (s->rng, p->lost))
    never_answer (c);
  else
    answer (c, STORE_DONE);
}

static void
arrive_range (StoreCall *c)
{
  FakeStore *s = c->port->owner;
  GPtrArray *rows = row_table_range (s->rows, c->ask->table, c->ask->partition, c->ask->from);

  c->port->reads++;
  for (guint i = 0; i < rows->len && i < c->ask->limit; i++)
    {
      TableRow *row = rows->pdata[i];

      add_reply_row (c, &(StoreKey){ row->table, row->partition, row->name }, row);
    }
  c->reply.has_more = rows->len > c->ask->limit;
  g_ptr_array_free (rows, TRUE);
  answer (c, STORE_DONE);
}

static void
arrive_feed (void *data)
{
  StoreCall *c = data;
  FakeStore *s = c->port->owner;
  GPtrArray *rows;

  if (c->ask->after < row_table_history_from (s->rows)
      || c->ask->after > row_table_version (s->rows))
    {
      answer (c, STORE_HISTORY_GONE);
      return;
    }
  rows = row_table_changes (s->rows, c->ask->table, c->ask->after);
  for (guint i = 0; i < rows->len; i++)
    {
      TableRow *row = rows->pdata[i];

      add_reply_row (c, &(StoreKey){ row->table, row->partition, row->name }, row);
    }
  if (rows->len > 0 || timers_now_ms (s->timers) >= c->until_ms)
    answer (c, STORE_DONE);
  else
    timers_start (s->timers, c, 5, arrive_feed, c);
  g_ptr_array_free (rows, TRUE);
}

static void
arrive (void *data)
{
  StoreCall *c = data;

  if (c->port->silent)
    never_answer (c);
  else if (c->port->refused)
    answer (c, STORE_REFUSED);
  else if (c->type == CALL_TXN)
    arrive_txn (c);
  else if (c->type == CALL_RANGE)
    arrive_range (c);
  else
    {
      c->port->feeds++;
      arrive_feed (c);
    }
}

static StoreCall *
call_new (Store *store, const void *ctx, CallType type, StoreFn fn, void *data)
{
  FakePort *p = (FakePort *)store;
  StoreCall *c = talloc_zero (ctx, StoreCall);

  c->port = p;
  c->begun_era = p->store.era.current;
  c->type = type;
  c->ask = talloc_zero (c, Ask);
  c->ask->store = p->owner;
  c->fn = fn;
  c->data = data;
  c->memory = talloc_new (c);
  timers_start (p->owner->timers, c, p->latency_ms, arrive, c);
  return c;
}

static StoreKey
copy_key (const void *ctx, const StoreKey *key)
{
  return (StoreKey){ talloc_strdup (ctx, key->table), talloc_strdup (ctx, key->partition),
                     talloc_strdup (ctx, key->name) };
}

static StoreCall *
txn (Store *store, const void *ctx, const StoreTxn *t, StoreFn fn, void *data)
{
  StoreCall *c = call_new (store, ctx, CALL_TXN, fn, data);
  StoreCheck *checks = talloc_array (c->ask, StoreCheck, t->n_checks + 1);
  StoreWrite *writes = talloc_array (c->ask, StoreWrite, t->n_writes + 1);

  for (size_t i = 0; i < t->n_checks; i++)
    checks[i] = (StoreCheck){ copy_key (checks, &t->checks[i].key), t->checks[i].version };
  for (size_t i = 0; i < t->n_writes; i++)
    {
      writes[i]
          = (StoreWrite){ .key = copy_key (writes, &t->writes[i].key), .len = t->writes[i].len };
      if (t->writes[i].value)
        writes[i].value = talloc_memdup (writes, t->writes[i].value, t->writes[i].len + 1);
    }
  c->ask->txn = (StoreTxn){ checks, t->n_checks, writes, t->n_writes, t->cross_partition };
  return c;
}

static StoreCall *
range (Store *store, const void *ctx, const StoreRange *r, StoreFn fn, void *data)
{
  StoreCall *c = call_new (store, ctx, CALL_RANGE, fn, data);

  c->ask->table = talloc_strdup (c->ask, r->table);
  c->ask->partition = talloc_strdup (c->ask, r->partition);
  c->ask->from = r->from ? talloc_strdup (c->ask, r->from) : NULL;
  c->ask->limit = r->limit;
  return c;
}

static StoreCall *
feed (Store *store, const void *ctx, const StoreFeed *f, StoreFn fn, void *data)
{
  StoreCall *c = call_new (store, ctx, CALL_FEED, fn, data);

  c->ask->table = talloc_strdup (c->ask, f->table);
  c->ask->after = f->after_version;
  c->until_ms = timers_now_ms (c->port->owner->timers) + f->wait_ms;
  return c;
}

static const StoreOps OPS = { txn, range, feed };

/* --- Set-up ------------------------------------------------------------------------------ */

FakeStore *
fake_store_new (const void *ctx, Timers *timers, Rng *rng)
{
  FakeStore *s = talloc_zero (ctx, FakeStore);

  s->timers = timers;
  s->rng = rng;
  s->rows = row_table_new (s);
  return s;
}

FakePort *
fake_store_port (FakeStore *s)
{
  FakePort *p = talloc_zero (s, FakePort);

  p->store.ops = &OPS;
  p->owner = s;
  p->latency_ms = 2;
  return p;
}

void
fake_store_lie (FakeStore *s, FakeStoreLie lie)
{
  s->lie = lie;
}

void
fake_store_keep_copy (FakeStore *s)
{
  talloc_free (s->copy);
  s->copy = row_table_copy (s, s->rows);
  if (s->era == 0)
    s->era = 1;
}

void
fake_store_go_back (FakeStore *s)
{
  talloc_free (s->rows);
  s->rows = row_table_copy (s, s->copy);
  s->era++;
}

void
fake_store_compact (FakeStore *s)
{
  row_table_compact (s->rows);
}

void
fake_store_put (FakeStore *s, const StoreKey *key, const char *value)
{
  StoreWrite write = { *key, value, value ? strlen (value) : 0 };
  StoreTxn txn = { .writes = &write, .n_writes = 1 };

  row_table_apply (s->rows, &txn);
}

const char *
fake_store_value (FakeStore *s, const StoreKey *key)
{
  const TableRow *row = row_table_find (s->rows, key);

  return row ? row->value : NULL;
}
