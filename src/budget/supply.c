#include "budget/supply.h"

#include <inttypes.h>
#include <string.h>

#include <talloc.h>

#include "budget/budget_rows.h"
#include "budget/put_back.h"
#include "core/log.h"

#define PART_ROWS           500
#define FIRST_BACKOFF_MS    60
#define LONGEST_BACKOFF_MS  500
#define CONFLICT_BACKOFF_MS 12

/* Hosts other than the keeper leave the row to it. */
#define OTHERS_BACKOFF_MS 100

/* Transactions without an answer. With this many, the next one changes nothing and needs no record: once
 * it is done, the others cannot be done any more. */
#define MAX_OPEN 8

typedef struct
{
  uint64_t seq;
  int64_t checked_version; /* of the account's row: it can be done only while this is current */
  Tokens change;
} OpenTxn;

struct Supply
{
  SupplyOptions options;
  BudgetAccount *account;
  bool closing;
  bool want_totals;

  StoreCall *call;
  Timer *backoff;
  int64_t backoff_ms;
  int conflicts;
  bool connected;

  int64_t row_version;
  int64_t host_row_version;
  Tokens spent_before; /* by earlier incarnations of this host */
  Tokens reclaim;      /* granted to the last incarnation, which it cannot have used */
  Tokens total_spent;
  int64_t total_ms;
  int64_t fresh_ms;

  /* After the store went back. */
  bool went_back;
  RowKnowledge mine; /* of the row before; version 0: nothing */
  bool put_back_due;
  int64_t store_time_ms; /* of the last answer */
  int64_t sent_era;      /* of the transaction on its way */
  int64_t era_row_version;
  bool begins_era; /* the next transaction is the first of the era */

  uint64_t next_seq;
  OpenTxn sent; /* the one on its way */
  BudgetRow sent_row;
  OpenTxn open[MAX_OPEN];
  size_t n_open;
};

static const char *
host_row_name (const Supply *s, char *name, size_t size)
{
  snprintf (name, size, "%s%s", BUDGET_HOST_PREFIX, s->options.host);
  return name;
}

/* --- Outcomes ---------------------------------------------------------------------------- */

/* Tokens to be given back left the balance before the transaction; tokens to be drawn come with it. */
static void
resolve (Supply *s, const OpenTxn *t, bool done)
{
  if (done)
    budget_account_granted (s->account, t->change);
  else if (t->change < 0)
    budget_account_restore (s->account, -t->change);
}

static void
resolve_all (Supply *s, uint64_t done_seq)
{
  for (size_t i = 0; i < s->n_open; i++)
    resolve (s, &s->open[i], s->open[i].seq == done_seq);
  s->n_open = 0;
}

/* A transaction over a change of the era. What it drew is not used; what it gave back may be free in a row
 * that is older or newer than the change, and is not used either. */
static void
resolve_void (Supply *s, const OpenTxn *t)
{
  resolve (s, t, t->change < 0);
}

static bool
is_open (const Supply *s, uint64_t seq)
{
  for (size_t i = 0; i < s->n_open; i++)
    if (s->open[i].seq == seq)
      return true;
  return false;
}

/* A transaction without an answer may still be done while the row has the version that it checks. */
static void
drop_dead (Supply *s)
{
  size_t kept = 0;

  for (size_t i = 0; i < s->n_open; i++)
    if (s->open[i].checked_version == s->row_version)
      s->open[kept++] = s->open[i];
    else
      resolve (s, &s->open[i], false);
  s->n_open = kept;
}

/* The row of the last incarnation, which is gone: its process ended before this one began. */
static void
take_last (Supply *s, const BudgetHostRow *row)
{
  Tokens ceiling = ceilings_of_last (s->options.ceilings, row->incarnation, s->options.account);

  s->spent_before = tokens_max (s->spent_before, row->spent);
  /* It may have been taken back before the store went back. */
  if (ceiling >= 0 && !s->went_back)
    s->reclaim = tokens_max (row->granted - ceiling, 0);
}

static void
take_host_row (Supply *s, const StoreRow *stored)
{
  BudgetHostRow row = { 0 };

  s->host_row_version = stored->version;
  if (!budget_host_row_read (stored, &row))
    return;
  if (row.incarnation != s->options.incarnation)
    take_last (s, &row);
  else if (is_open (s, row.seq))
    resolve_all (s, row.seq);
}

/* Takes over the rows of an answer; rows that are not in it do not exist. */
static void
take_rows (Supply *s, const StoreReply *reply, bool whole_part)
{
  char own[256];
  Tokens total = 0;
  int64_t now = timers_now_ms (s->options.timers);

  host_row_name (s, own, sizeof own);
  s->row_version = 0;
  s->host_row_version = 0;
  s->era_row_version = 0;
  s->reclaim = 0;
  memset (&s->account->row, 0, sizeof s->account->row);
  for (size_t i = 0; i < reply->n_rows; i++)
    {
      const StoreRow *row = &reply->rows[i];
      BudgetHostRow host = { 0 };

      if (row->removed || row->version == 0)
        continue;
      if (!strcmp (row->key.name, BUDGET_ACCOUNT_ROW))
        {
          s->row_version = row->version;
          if (!budget_row_read (row, &s->account->row))
            {
              /* Nothing may be granted from a row that cannot be read. */
              s->account->row.granted = INT64_MAX / 4;
              log_event (LOG_LEVEL_ERR, "budget", "row_unreadable", "account=%s version=%" PRId64,
                         s->options.account, row->version);
            }
        }
      else if (!strcmp (row->key.name, BUDGET_ERA_ROW))
        s->era_row_version = row->version;
      else if (!strncmp (row->key.name, BUDGET_HOST_PREFIX, strlen (BUDGET_HOST_PREFIX)))
        {
          if (!strcmp (row->key.name, own))
            take_host_row (s, row);
          else if (budget_host_row_read (row, &host))
            total = tokens_add_saturated (total, host.spent);
        }
    }
  drop_dead (s);
  s->store_time_ms = reply->time_ms;
  s->begins_era = s->account->row.era < s->options.store->era.now;
  s->put_back_due = put_back (&s->account->row, s->options.store->era.now,
                              s->mine.version > 0 ? &s->mine : NULL, reply->time_ms);
  s->account->row.granted -= s->reclaim;
  s->account->known = true;
  s->fresh_ms = now;
  if (!whole_part)
    return;
  s->total_spent = total + s->spent_before + s->account->spent - s->account->told;
  s->total_ms = now;
  s->want_totals = false;
}

/* --- Answers ----------------------------------------------------------------------------- */

static void
on_backoff (void *data)
{
  Supply *s = data;

  s->backoff = NULL;
  supply_step (s);
}

static void
back_off (Supply *s, int64_t ms)
{
  int64_t delay = ms / 2 + (int64_t)rng_below (s->options.rng, (uint64_t)ms);

  if (!s->backoff)
    s->backoff = timers_start (s->options.timers, s, delay, on_backoff, s);
}

static void
answered (Supply *s)
{
  if (!s->connected)
    log_event (LOG_LEVEL_NOTICE, "budget", "store_regained", "account=%s", s->options.account);
  s->connected = true;
  s->backoff_ms = FIRST_BACKOFF_MS;
}

static void
not_answered (Supply *s, const StoreReply *reply)
{
  if (s->connected)
    log_event (LOG_LEVEL_NOTICE, "budget", "store_lost",
               "account=%s result=%s detail=\"%s\" open=%zu", s->options.account,
               store_result_name (reply->result), reply->detail, s->n_open);
  s->connected = false;
  back_off (s, s->backoff_ms);
  s->backoff_ms = s->backoff_ms * 2 > LONGEST_BACKOFF_MS ? LONGEST_BACKOFF_MS : s->backoff_ms * 2;
}

static void
on_read (void *data, const StoreReply *reply)
{
  Supply *s = data;

  s->call = NULL;
  s->options.lock (s->options.data);
  if (reply->result == STORE_DONE)
    take_rows (s, reply, true);
  s->options.unlock (s->options.data);
  if (reply->result == STORE_DONE)
    answered (s);
  else
    not_answered (s, reply);
  s->options.updated (s->options.data);
  supply_step (s);
}

static void
finish_txn (Supply *s, const StoreReply *reply)
{
  switch (reply->result)
    {
    case STORE_DONE:
      s->account->row = s->sent_row;
      s->row_version = reply->version;
      s->host_row_version = reply->version;
      s->fresh_ms = timers_now_ms (s->options.timers);
      s->store_time_ms = reply->time_ms;
      s->conflicts = 0;
      if (s->reclaim > 0)
        log_event (LOG_LEVEL_NOTICE, "budget", "reclaimed", "account=%s tokens=%" PRId64,
                   s->options.account, s->reclaim);
      s->reclaim = 0;
      s->put_back_due = false;
      if (s->begins_era)
        s->era_row_version = reply->version;
      s->begins_era = false;
      resolve (s, &s->sent, true);
      /* They checked a version that this transaction has replaced. */
      resolve_all (s, 0);
      break;
    case STORE_CONFLICT:
      resolve (s, &s->sent, false);
      take_rows (s, reply, false);
      s->conflicts++;
      break;
    case STORE_REFUSED:
      resolve (s, &s->sent, false);
      break;
    case STORE_UNKNOWN:
    case STORE_HISTORY_GONE:
      if (s->sent_era != s->options.store->era.now)
        resolve_void (s, &s->sent);
      else if (s->n_open < MAX_OPEN)
        s->open[s->n_open++] = s->sent;
      break;
    }
}

static int64_t
conflict_backoff (const Supply *s)
{
  int64_t first = s->account->keeper ? CONFLICT_BACKOFF_MS : OTHERS_BACKOFF_MS;

  return first << (s->conflicts < 6 ? s->conflicts - 2 : 4);
}

static void
on_txn (void *data, const StoreReply *reply)
{
  Supply *s = data;

  s->call = NULL;
  s->options.lock (s->options.data);
  finish_txn (s, reply);
  s->options.unlock (s->options.data);
  if (reply->result == STORE_DONE || reply->result == STORE_CONFLICT)
    answered (s);
  else
    not_answered (s, reply);
  /* The rows of a conflict are old after a pause, and the next transaction surely conflicts; the one after
   * that goes at once, with the rows that it told. */
  if (reply->result == STORE_CONFLICT && s->conflicts % 2 == 0)
    back_off (s, conflict_backoff (s));
  s->options.updated (s->options.data);
  supply_step (s);
}

/* --- Calls ------------------------------------------------------------------------------- */

static void
start_read (Supply *s)
{
  StoreRange range = { .table = BUDGET_TABLE, .part = s->options.account, .limit = PART_ROWS };

  s->call = store_range (s->options.store, s, &range, on_read, s);
}

static void
start_txn (Supply *s, Tokens change, const BudgetRow *next, const BudgetHostRow *host)
{
  char name[256];
  char row_text[BUDGET_ROW_BYTES];
  char host_text[BUDGET_ROW_BYTES];
  StoreKey account_key = { BUDGET_TABLE, s->options.account, BUDGET_ACCOUNT_ROW };
  StoreKey host_key = { BUDGET_TABLE, s->options.account, host_row_name (s, name, sizeof name) };
  StoreKey era_key = { BUDGET_TABLE, s->options.account, BUDGET_ERA_ROW };
  StoreCheck checks[] = { { account_key, s->row_version },
                          { host_key, s->host_row_version },
                          { era_key, s->era_row_version } };
  StoreWrite writes[] = { { account_key, row_text, budget_row_write (next, row_text) },
                          { host_key, host_text, budget_host_row_write (host, host_text) },
                          { era_key, "{}", 2 } };
  StoreTxn txn = { .checks = checks,
                   .n_checks = next->era > 0 ? 3 : 2,
                   .writes = writes,
                   .n_writes = s->begins_era ? 3 : 2 };

  s->sent_era = s->options.store->era.now;
  s->sent = (OpenTxn){ host->seq, s->row_version, change };
  s->sent_row = *next;
  s->call = store_txn (s->options.store, s, &txn, on_txn, s);
}

/* The other hosts may not have put back yet what they know. */
static bool
may_draw (const Supply *s, int64_t now_ms)
{
  return put_back_is_settled (&s->account->row, s->options.store->era.now,
                              s->store_time_ms + now_ms - s->fresh_ms);
}

/* What to draw, or, below zero, to give back. A host gives nothing back to a store that does not answer: the
 * tokens would wait in the transaction while requests here need them. */
static Tokens
plan_change (const Supply *s, int64_t now_ms)
{
  const BudgetAccount *a = s->account;
  Tokens change = s->closing && a->waiting == 0
                      ? -a->balance
                      : budget_account_change (a, s->options.policy, now_ms);

  if (s->n_open == MAX_OPEN || (change > 0 && !may_draw (s, now_ms)))
    return 0;
  if (change < 0 && ceilings_is_stalled (s->options.ceilings, now_ms))
    return 0;
  return change;
}

/* @return whether a transaction is due, with what it is to write. */
static bool
plan_txn (Supply *s, Tokens *change, BudgetRow *next, BudgetHostRow *host)
{
  BudgetAccount *a = s->account;

  *change = plan_change (s, timers_now_ms (s->options.timers));
  if (*change == 0 && s->n_open == 0 && s->reclaim == 0 && !s->put_back_due
      && !(a->keeper && budget_account_should_write (a)))
    return false;
  *next = budget_account_next_row (a, *change);
  next->parent = s->row_version;
  *host = (BudgetHostRow){ .incarnation = s->options.incarnation,
                           .seq = s->next_seq++,
                           .granted = a->granted + *change,
                           .spent = s->spent_before + budget_account_write_spent (a) };
  if (*change < 0)
    budget_account_withdraw (a, -*change);
  return true;
}

void
supply_step (Supply *s)
{
  Tokens change = 0;
  BudgetRow next;
  BudgetHostRow host;
  bool due = false;

  if (s->call || s->backoff || !ceilings_is_ready (s->options.ceilings))
    return;
  if (!s->account->known || s->want_totals || !s->connected)
    {
      start_read (s);
      return;
    }
  s->options.lock (s->options.data);
  due = plan_txn (s, &change, &next, &host);
  s->options.unlock (s->options.data);
  if (due)
    start_txn (s, change, &next, &host);
}

/* --- Set-up and questions ---------------------------------------------------------------- */

Supply *
supply_new (const void *ctx, const SupplyOptions *options, BudgetAccount *account)
{
  Supply *s = talloc_zero (ctx, Supply);

  s->options = *options;
  s->options.account = talloc_strdup (s, options->account);
  s->account = account;
  s->connected = true;
  s->backoff_ms = FIRST_BACKOFF_MS;
  s->next_seq = 1;
  s->total_ms = INT64_MIN;
  s->fresh_ms = INT64_MIN;
  return s;
}

/* A row into which others may not have put yet what they know tells less than what was known before. */
static bool
knows_row (const Supply *s)
{
  const BudgetRow *row = &s->account->row;

  return s->account->known && s->row_version > 0
         && put_back_is_settled (row, row->era, s->store_time_ms);
}

void
supply_went_back (Supply *s)
{
  for (size_t i = 0; i < s->n_open; i++)
    resolve_void (s, &s->open[i]);
  s->n_open = 0;
  if (knows_row (s))
    s->mine = (RowKnowledge){ .era = s->account->row.era,
                              .version = s->row_version,
                              .granted = s->account->row.granted + s->reclaim };
  log_event (LOG_LEVEL_NOTICE, "budget", "went_back",
             "account=%s known_version=%" PRId64 " known_granted=%" PRId64 " held=%" PRId64,
             s->options.account, s->mine.version, s->mine.granted, s->account->granted);
  s->went_back = true;
  s->account->known = false;
  s->row_version = 0;
  s->host_row_version = 0;
  s->era_row_version = 0;
  s->reclaim = 0;
}

bool
supply_is_behind (const Supply *s)
{
  return s->went_back && (!s->account->known || s->put_back_due);
}

void
supply_close (Supply *s)
{
  s->closing = true;
}

void
supply_want_totals (Supply *s)
{
  s->want_totals = true;
}

bool
supply_is_connected (const Supply *s)
{
  return s->connected;
}

bool
supply_may_reclaim (const Supply *s)
{
  if (s->account->known)
    return s->reclaim > 0;
  return ceilings_has_last (s->options.ceilings, s->options.account);
}

bool
supply_is_fresh (const Supply *s, int64_t since_ms)
{
  return s->account->known && s->fresh_ms >= since_ms;
}

Tokens
supply_total_spent (const Supply *s)
{
  return s->total_ms == INT64_MIN ? -1 : s->total_spent;
}

bool
supply_knows_total (const Supply *s, int64_t since_ms)
{
  return s->total_ms >= since_ms;
}

bool
supply_is_busy (const Supply *s)
{
  return s->call || s->n_open > 0;
}
