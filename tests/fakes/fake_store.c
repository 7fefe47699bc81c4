#include "fakes/fake_store.h"

#include <string.h>

#include <talloc.h>

#include "fakes/row_table.h"

/* A call without a reply ends with STORE_UNKNOWN after this time. */
#define CALL_TIMEOUT_MS      1200
#define DELAYED_APPLY_MAX_MS 6000

/* Share of the transactions to which a FakeStoreFault applies. */
#define FAULT_RATE 0.02

struct FakeStore
{
  Timers *timers;
  Rng *rng;
  RowTable *rows;
  RowTable *backup;
  int64_t era; /* sent in replies; 0: none */
  FakeStoreFault fault;
};

typedef enum
{
  CALL_TXN,
  CALL_RANGE,
  CALL_FEED
} CallType;

/* Arguments of a call. They outlive the call if the store applies it after its timeout. */
typedef struct
{
  FakeStore *store;
  StoreTxn txn;
  char *table;
  char *partition;
  char *from;
  size_t limit;
  int64_t after_version;
} CallArgs;

struct StoreCall
{
  FakeStoreClient *client;
  CallType type;
  CallArgs *args;
  StoreFn fn;
  void *data;
  int64_t wait_until_ms;
  int64_t call_era;  /* known to the client when the call started */
  int64_t reply_era; /* sent with the reply; 0: none */
  StoreReply reply;
  void *rows_ctx; /* talloc parent of the reply's rows */
};

/* --- Replies ----------------------------------------------------------------------------- */

static void
add_reply_row (StoreCall *c, const StoreKey *key, const TableRow *row)
{
  StoreRow *list = (StoreRow *)c->reply.rows;
  StoreRow *out;

  list = talloc_realloc (c->rows_ctx, list, StoreRow, c->reply.n_rows + 1);
  out = &list[c->reply.n_rows++];
  memset (out, 0, sizeof *out);
  out->key.table = talloc_strdup (c->rows_ctx, key->table);
  out->key.partition = talloc_strdup (c->rows_ctx, key->partition);
  out->key.name = talloc_strdup (c->rows_ctx, key->name);
  c->reply.rows = list;
  if (!row)
    return;
  out->removed = !row->value;
  out->version = row->value || c->type == CALL_FEED ? row->version : 0;
  out->len = row->len;
  out->value = row->value ? talloc_memdup (c->rows_ctx, row->value, row->len + 1) : NULL;
}

/* --- Calls ------------------------------------------------------------------------------- */

static void
observe_era (StoreCall *c)
{
  StoreEra *era = &c->client->store.era;

  store_era_observe (era, c->reply_era, timers_now_ms (c->client->owner->timers));
  if (store_era_accepts (era, c->reply_era, c->call_era))
    return;
  c->reply
      = (StoreReply){ .result = STORE_UNKNOWN, .detail = "the store was restored during the call" };
}

static void
finish (void *data)
{
  StoreCall *c = data;
  void *tmp = talloc_new (NULL);

  if (c->reply_era > 0)
    observe_era (c);

  talloc_steal (tmp, c);
  c->fn (c->data, &c->reply);
  talloc_free (tmp);
}

static void
reply_later (StoreCall *c, StoreResult result)
{
  c->reply.result = result;
  c->reply.detail = store_result_name (result);
  c->reply.version = row_table_version (c->client->owner->rows);
  c->reply_era = c->client->owner->era;
  c->reply.time_ms = timers_now_ms (c->client->owner->timers) + FAKE_STORE_CLOCK_OFFSET_MS;
  timers_start (c->client->owner->timers, c, c->client->latency_ms, finish, c);
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
time_out_later (StoreCall *c)
{
  timers_start (c->client->owner->timers, c, CALL_TIMEOUT_MS, time_out, c);
}

static void
apply_delayed (void *data)
{
  CallArgs *args = data;

  row_table_apply (args->store->rows, &args->txn);
  talloc_free (args);
}

static void
apply_with_fault (StoreCall *c)
{
  FakeStore *s = c->client->owner;
  StoreTxn unchecked = c->args->txn;

  unchecked.n_checks = 0;
  if (s->fault != FAKE_STORE_DONE_NOT_WRITTEN)
    row_table_apply (s->rows, s->fault == FAKE_STORE_IGNORES_CHECKS ? &unchecked : &c->args->txn);
  reply_later (c, s->fault == FAKE_STORE_REFUSED_WRITTEN ? STORE_REFUSED : STORE_DONE);
}

static void
execute_txn (StoreCall *c)
{
  FakeStoreClient *client = c->client;
  FakeStore *s = client->owner;
  const StoreTxn *txn = &c->args->txn;

  client->txns++;
  if (rng_chance (s->rng, client->delayed_apply_rate))
    {
      CallArgs *args = talloc_steal (s, c->args);

      timers_start (s->timers, args,
                    1000 + (int64_t)rng_below (s->rng, DELAYED_APPLY_MAX_MS - 1000), apply_delayed,
                    args);
      time_out_later (c);
      return;
    }
  if (s->fault != FAKE_STORE_NO_FAULT && rng_chance (s->rng, FAULT_RATE))
    apply_with_fault (c);
  else if (!row_table_apply (s->rows, txn))
    {
      for (size_t i = 0; i < txn->n_checks; i++)
        add_reply_row (c, &txn->checks[i].key, row_table_find (s->rows, &txn->checks[i].key));
      reply_later (c, STORE_CONFLICT);
    }
  else if (rng_chance (s->rng, client->lost_reply_rate))
    time_out_later (c);
  else
    reply_later (c, STORE_DONE);
}

static void
execute_range (StoreCall *c)
{
  FakeStore *s = c->client->owner;
  GPtrArray *rows = row_table_range (s->rows, c->args->table, c->args->partition, c->args->from);

  c->client->reads++;
  for (guint i = 0; i < rows->len && i < c->args->limit; i++)
    {
      TableRow *row = rows->pdata[i];

      add_reply_row (c, &(StoreKey){ row->table, row->partition, row->name }, row);
    }
  c->reply.has_more = rows->len > c->args->limit;
  g_ptr_array_free (rows, TRUE);
  reply_later (c, STORE_DONE);
}

static void
execute_feed (void *data)
{
  StoreCall *c = data;
  FakeStore *s = c->client->owner;
  GPtrArray *rows;

  if (c->args->after_version < row_table_compacted_version (s->rows)
      || c->args->after_version > row_table_version (s->rows))
    {
      reply_later (c, STORE_HISTORY_GONE);
      return;
    }
  rows = row_table_changes (s->rows, c->args->table, c->args->after_version);
  for (guint i = 0; i < rows->len; i++)
    {
      TableRow *row = rows->pdata[i];

      add_reply_row (c, &(StoreKey){ row->table, row->partition, row->name }, row);
    }
  if (rows->len > 0 || timers_now_ms (s->timers) >= c->wait_until_ms)
    reply_later (c, STORE_DONE);
  else
    timers_start (s->timers, c, 5, execute_feed, c);
  g_ptr_array_free (rows, TRUE);
}

static void
execute (void *data)
{
  StoreCall *c = data;

  if (c->client->drop_calls)
    time_out_later (c);
  else if (c->client->refuse_calls)
    reply_later (c, STORE_REFUSED);
  else if (c->type == CALL_TXN)
    execute_txn (c);
  else if (c->type == CALL_RANGE)
    execute_range (c);
  else
    {
      c->client->feeds++;
      execute_feed (c);
    }
}

static StoreCall *
call_new (Store *store, const void *ctx, CallType type, StoreFn fn, void *data)
{
  FakeStoreClient *client = (FakeStoreClient *)store;
  StoreCall *c = talloc_zero (ctx, StoreCall);

  c->client = client;
  c->call_era = client->store.era.current;
  c->type = type;
  c->args = talloc_zero (c, CallArgs);
  c->args->store = client->owner;
  c->fn = fn;
  c->data = data;
  c->rows_ctx = talloc_new (c);
  timers_start (client->owner->timers, c, client->latency_ms, execute, c);
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
  StoreCheck *checks = talloc_array (c->args, StoreCheck, t->n_checks + 1);
  StoreWrite *writes = talloc_array (c->args, StoreWrite, t->n_writes + 1);

  for (size_t i = 0; i < t->n_checks; i++)
    checks[i] = (StoreCheck){ copy_key (checks, &t->checks[i].key), t->checks[i].version };
  for (size_t i = 0; i < t->n_writes; i++)
    {
      writes[i]
          = (StoreWrite){ .key = copy_key (writes, &t->writes[i].key), .len = t->writes[i].len };
      if (t->writes[i].value)
        writes[i].value = talloc_memdup (writes, t->writes[i].value, t->writes[i].len + 1);
    }
  c->args->txn = (StoreTxn){ checks, t->n_checks, writes, t->n_writes, t->cross_partition };
  return c;
}

static StoreCall *
range (Store *store, const void *ctx, const StoreRange *r, StoreFn fn, void *data)
{
  StoreCall *c = call_new (store, ctx, CALL_RANGE, fn, data);

  c->args->table = talloc_strdup (c->args, r->table);
  c->args->partition = talloc_strdup (c->args, r->partition);
  c->args->from = r->from ? talloc_strdup (c->args, r->from) : NULL;
  c->args->limit = r->limit;
  return c;
}

static StoreCall *
feed (Store *store, const void *ctx, const StoreFeed *f, StoreFn fn, void *data)
{
  StoreCall *c = call_new (store, ctx, CALL_FEED, fn, data);

  c->args->table = talloc_strdup (c->args, f->table);
  c->args->after_version = f->after_version;
  c->wait_until_ms = timers_now_ms (c->client->owner->timers) + f->wait_ms;
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

FakeStoreClient *
fake_store_client_new (FakeStore *s)
{
  FakeStoreClient *client = talloc_zero (s, FakeStoreClient);

  client->store.ops = &OPS;
  client->owner = s;
  client->latency_ms = 2;
  return client;
}

void
fake_store_set_fault (FakeStore *s, FakeStoreFault fault)
{
  s->fault = fault;
}

void
fake_store_take_backup (FakeStore *s)
{
  talloc_free (s->backup);
  s->backup = row_table_copy (s, s->rows);
  if (s->era == 0)
    s->era = 1;
}

void
fake_store_restore (FakeStore *s)
{
  talloc_free (s->rows);
  s->rows = row_table_copy (s, s->backup);
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

size_t
fake_store_count (FakeStore *s, const char *table, const char *partition)
{
  GPtrArray *rows = row_table_range (s->rows, table, partition, NULL);
  size_t n = rows->len;

  g_ptr_array_free (rows, TRUE);
  return n;
}
