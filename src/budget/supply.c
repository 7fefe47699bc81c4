#include "budget/supply_impl.h"

#include <inttypes.h>

#include <talloc.h>

#include "core/log.h"

#define PART_ROWS           500
#define FIRST_BACKOFF_MS    60
#define LONGEST_BACKOFF_MS  500
#define CONFLICT_BACKOFF_MS 12

/* Hosts other than the keeper leave the row to it. */
#define OTHERS_BACKOFF_MS 100

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
    supply_take_rows (s, reply, true);
  s->options.unlock (s->options.data);
  if (reply->result == STORE_DONE)
    answered (s);
  else
    not_answered (s, reply);
  s->options.updated (s->options.data);
  supply_step (s);
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
  supply_finish_txn (s, reply);
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
  StoreRange range = { .table = BUDGET_TABLE, .partition = s->options.account, .limit = PART_ROWS };

  s->call = store_range (s->options.store, s, &range, on_read, s);
}

static void
start_txn (Supply *s, Tokens change, const BudgetRow *next, const BudgetHostRow *host)
{
  char name[256];
  char row_text[BUDGET_ROW_BYTES];
  char host_text[BUDGET_ROW_BYTES];
  StoreKey account_key = { BUDGET_TABLE, s->options.account, BUDGET_ACCOUNT_ROW };
  StoreKey host_key
      = { BUDGET_TABLE, s->options.account, supply_host_row_name (s, name, sizeof name) };
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

  s->sent_era = s->options.store->era.current;
  s->sent = (OpenTxn){ host->seq, s->row_version, change };
  s->sent_row = *next;
  s->call = store_txn (s->options.store, s, &txn, on_txn, s);
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

  if (s->n_open == MAX_OPEN || (change > 0 && !supply_is_settled (s)))
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
