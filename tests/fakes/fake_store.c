#include "fakes/fake_store.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

/* A call without an answer ends after this time. */
#define CALL_TIMEOUT_MS 1200
#define LATE_MOST_MS    6000

typedef struct
{
  char *id; /* "table\npart\nname" */
  char *table;
  char *part;
  char *name;
  char *value; /* NULL: removed */
  size_t len;
  int64_t version;
} Row;

struct FakeStore
{
  Timers *timers;
  Rng *rng;
  GHashTable *rows; /* by id, removed ones too */
  int64_t version;
  int64_t history_from; /* changes up to this version are forgotten */
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
  char *part;
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
  StoreReply reply;
  void *memory; /* of the reply's rows */
};

/* --- Rows -------------------------------------------------------------------------------- */

static char *
row_id (const StoreKey *key)
{
  return g_strdup_printf ("%s\n%s\n%s", key->table, key->part, key->name);
}

static Row *
find (FakeStore *s, const StoreKey *key)
{
  char *id = row_id (key);
  Row *row = g_hash_table_lookup (s->rows, id);

  g_free (id);
  return row;
}

static int64_t
version_of (FakeStore *s, const StoreKey *key)
{
  Row *row = find (s, key);

  return row && row->value ? row->version : 0;
}

static void
write_row (FakeStore *s, const StoreKey *key, const char *value, size_t len)
{
  Row *row = find (s, key);

  if (!row)
    {
      row = talloc_zero (s, Row);
      row->id = row_id (key);
      row->table = talloc_strdup (row, key->table);
      row->part = talloc_strdup (row, key->part);
      row->name = talloc_strdup (row, key->name);
      g_hash_table_insert (s->rows, row->id, row);
    }
  TALLOC_FREE (row->value);
  if (value)
    {
      row->value = talloc_zero_size (row, len + 1);
      memcpy (row->value, value, len);
    }
  row->len = len;
  row->version = s->version;
}

static bool
apply (FakeStore *s, const StoreTxn *txn)
{
  for (size_t i = 0; i < txn->n_checks; i++)
    if (version_of (s, &txn->checks[i].key) != txn->checks[i].version)
      return false;
  s->version++;
  for (size_t i = 0; i < txn->n_writes; i++)
    write_row (s, &txn->writes[i].key, txn->writes[i].value, txn->writes[i].len);
  return true;
}

static int
by_name (const void *a, const void *b)
{
  return strcmp ((*(Row *const *)a)->name, (*(Row *const *)b)->name);
}

static int
by_version (const void *a, const void *b)
{
  int64_t x = (*(Row *const *)a)->version;
  int64_t y = (*(Row *const *)b)->version;

  return x < y ? -1 : x > y;
}

static void
add_reply_row (StoreCall *c, const StoreKey *key, const Row *row)
{
  StoreRow *list = (StoreRow *)c->reply.rows;
  StoreRow *out;

  list = talloc_realloc (c->memory, list, StoreRow, c->reply.n_rows + 1);
  out = &list[c->reply.n_rows++];
  memset (out, 0, sizeof *out);
  out->key.table = talloc_strdup (c->memory, key->table);
  out->key.part = talloc_strdup (c->memory, key->part);
  out->key.name = talloc_strdup (c->memory, key->name);
  c->reply.rows = list;
  if (!row)
    return;
  out->removed = !row->value;
  out->version = row->value || c->type == CALL_FEED ? row->version : 0;
  out->len = row->len;
  out->value = row->value ? talloc_memdup (c->memory, row->value, row->len + 1) : NULL;
}

/* @return rows of the table after a version, or of one part from a name on. */
static GPtrArray *
select_rows (FakeStore *s, const StoreCall *c)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Row *row = value;
      bool fits = !strcmp (row->table, c->ask->table);

      if (c->type == CALL_FEED)
        fits = fits && row->version > c->ask->after;
      else
        fits = fits && row->value && !strcmp (row->part, c->ask->part)
               && (!c->ask->from || strcmp (row->name, c->ask->from) >= 0);
      if (fits)
        g_ptr_array_add (list, row);
    }
  if (list->len > 0)
    qsort (list->pdata, list->len, sizeof (gpointer), c->type == CALL_FEED ? by_version : by_name);
  return list;
}

/* --- Calls ------------------------------------------------------------------------------- */

static void
finish (void *data)
{
  StoreCall *c = data;
  void *keep = talloc_new (NULL);

  talloc_steal (keep, c);
  c->fn (c->data, &c->reply);
  talloc_free (keep);
}

static void
answer (StoreCall *c, StoreResult result)
{
  c->reply.result = result;
  c->reply.detail = store_result_name (result);
  c->reply.version = c->port->owner->version;
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

  apply (ask->store, &ask->txn);
  talloc_free (ask);
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
  if (!apply (s, txn))
    {
      for (size_t i = 0; i < txn->n_checks; i++)
        add_reply_row (c, &txn->checks[i].key, find (s, &txn->checks[i].key));
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
  GPtrArray *rows = select_rows (s, c);

  c->port->reads++;
  for (guint i = 0; i < rows->len && i < c->ask->limit; i++)
    {
      Row *row = rows->pdata[i];

      add_reply_row (c, &(StoreKey){ row->table, row->part, row->name }, row);
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

  if (c->ask->after < s->history_from)
    {
      answer (c, STORE_HISTORY_GONE);
      return;
    }
  rows = select_rows (s, c);
  for (guint i = 0; i < rows->len; i++)
    {
      Row *row = rows->pdata[i];

      add_reply_row (c, &(StoreKey){ row->table, row->part, row->name }, row);
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
  return (StoreKey){ talloc_strdup (ctx, key->table), talloc_strdup (ctx, key->part),
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
  c->ask->txn = (StoreTxn){ checks, t->n_checks, writes, t->n_writes, t->several_parts };
  return c;
}

static StoreCall *
range (Store *store, const void *ctx, const StoreRange *r, StoreFn fn, void *data)
{
  StoreCall *c = call_new (store, ctx, CALL_RANGE, fn, data);

  c->ask->table = talloc_strdup (c->ask, r->table);
  c->ask->part = talloc_strdup (c->ask, r->part);
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

static int
store_destroy (FakeStore *s)
{
  GHashTableIter iter;
  gpointer row;

  g_hash_table_iter_init (&iter, s->rows);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    g_free (((Row *)row)->id);
  g_hash_table_unref (s->rows);
  return 0;
}

FakeStore *
fake_store_new (const void *ctx, Timers *timers, Rng *rng)
{
  FakeStore *s = talloc_zero (ctx, FakeStore);

  s->timers = timers;
  s->rng = rng;
  s->version = 1;
  s->rows = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (s, store_destroy);
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
fake_store_compact (FakeStore *s)
{
  s->history_from = s->version;
}

void
fake_store_put (FakeStore *s, const StoreKey *key, const char *value)
{
  s->version++;
  write_row (s, key, value, value ? strlen (value) : 0);
}

const char *
fake_store_value (FakeStore *s, const StoreKey *key)
{
  Row *row = find (s, key);

  return row ? row->value : NULL;
}
