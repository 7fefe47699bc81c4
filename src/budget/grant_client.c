#include "budget/grant_client_impl.h"

#include <inttypes.h>

#include <talloc.h>

#include "core/log.h"

#define MAX_ROWS            500
#define MIN_BACKOFF_MS      60
#define MAX_BACKOFF_MS      500
#define CONFLICT_BACKOFF_MS 12

/* After a conflict, hosts other than the coordinator let the coordinator write first. */
#define NON_COORDINATOR_BACKOFF_MS 100

/* --- Replies ----------------------------------------------------------------------------- */

static void
on_backoff (void *data)
{
  GrantClient *c = data;

  c->backoff_timer = NULL;
  grant_client_step (c);
}

static void
back_off (GrantClient *c, int64_t ms)
{
  int64_t delay = ms / 2 + (int64_t)rng_below (c->options.rng, (uint64_t)ms);

  if (!c->backoff_timer)
    c->backoff_timer = timers_start (c->options.timers, c, delay, on_backoff, c);
}

static void
mark_connected (GrantClient *c)
{
  if (!c->connected)
    log_event (LOG_LEVEL_NOTICE, "budget", "store_regained", "account=%s", c->options.account);
  c->connected = true;
  c->backoff_ms = MIN_BACKOFF_MS;
}

static void
mark_disconnected (GrantClient *c, const StoreReply *reply)
{
  if (c->connected)
    log_event (LOG_LEVEL_NOTICE, "budget", "store_lost",
               "account=%s result=%s detail=\"%s\" open=%zu", c->options.account,
               store_result_name (reply->result), reply->detail, c->n_unresolved);
  c->connected = false;
  back_off (c, c->backoff_ms);
  c->backoff_ms = c->backoff_ms * 2 > MAX_BACKOFF_MS ? MAX_BACKOFF_MS : c->backoff_ms * 2;
}

static void
on_read (void *data, const StoreReply *reply)
{
  GrantClient *c = data;

  c->call = NULL;
  c->options.lock (c->options.data);
  if (reply->result == STORE_DONE)
    grant_client_apply_rows (c, reply, true);
  c->options.unlock (c->options.data);
  if (reply->result == STORE_DONE)
    mark_connected (c);
  else
    mark_disconnected (c, reply);
  c->options.updated (c->options.data);
  grant_client_step (c);
}

static int64_t
conflict_backoff (const GrantClient *c)
{
  int64_t first = c->account->is_coordinator ? CONFLICT_BACKOFF_MS : NON_COORDINATOR_BACKOFF_MS;

  return first << (c->conflicts < 6 ? c->conflicts - 2 : 4);
}

static void
on_txn (void *data, const StoreReply *reply)
{
  GrantClient *c = data;

  c->call = NULL;
  c->options.lock (c->options.data);
  grant_client_finish_txn (c, reply);
  c->options.unlock (c->options.data);
  if (reply->result == STORE_DONE || reply->result == STORE_CONFLICT)
    mark_connected (c);
  else
    mark_disconnected (c, reply);
  /* The rows returned with a conflict are outdated after a pause, so a transaction that uses them then would conflict
   * again. Only every second conflict causes a pause; the retry in between is sent at once with the rows returned. */
  if (reply->result == STORE_CONFLICT && c->conflicts % 2 == 0)
    back_off (c, conflict_backoff (c));
  c->options.updated (c->options.data);
  grant_client_step (c);
}

/* --- Calls ------------------------------------------------------------------------------- */

static void
start_read (GrantClient *c)
{
  StoreRange range = { .table = BUDGET_TABLE, .partition = c->options.account, .limit = MAX_ROWS };

  c->call = store_range (c->options.store, c, &range, on_read, c);
}

static void
start_txn (GrantClient *c, Tokens change, const BudgetRow *next, const BudgetHostRow *host)
{
  char name[256];
  char row_text[BUDGET_ROW_BYTES];
  char host_text[BUDGET_ROW_BYTES];
  StoreKey account_key = { BUDGET_TABLE, c->options.account, BUDGET_ACCOUNT_ROW };
  StoreKey host_key
      = { BUDGET_TABLE, c->options.account, grant_client_host_row_name (c, name, sizeof name) };
  StoreKey era_key = { BUDGET_TABLE, c->options.account, BUDGET_ERA_ROW };
  StoreCheck checks[] = { { account_key, c->row_version },
                          { host_key, c->host_row_version },
                          { era_key, c->era_row_version } };
  StoreWrite writes[] = { { account_key, row_text, budget_row_encode (next, row_text) },
                          { host_key, host_text, budget_host_row_encode (host, host_text) },
                          { era_key, "{}", 2 } };
  StoreTxn txn = { .checks = checks,
                   .n_checks = next->era > 0 ? 3 : 2,
                   .writes = writes,
                   .n_writes = c->starts_era ? 3 : 2 };

  c->sent_era = c->options.store->era.current;
  c->sent = (GrantTxn){ host->seq, c->row_version, change };
  c->sent_row = *next;
  c->call = store_txn (c->options.store, c, &txn, on_txn, c);
}

/* The change of the grant: positive to obtain tokens, negative to return them. A host returns nothing to a store that
 * does not respond: the tokens would be tied up in the transaction while requests on this host need them. */
static Tokens
plan_change (const GrantClient *c, int64_t now_ms)
{
  const BudgetAccount *a = c->account;
  Tokens change = c->closing && a->waiting_tokens == 0
                      ? -a->balance
                      : budget_account_grant_change (a, c->options.policy, now_ms);
  Tokens ceiling
      = ceiling_publisher_effective (c->options.publisher, &a->ceiling, &a->unconsented, now_ms);

  if (c->n_unresolved == MAX_UNRESOLVED || (change > 0 && !grant_client_is_reconciled (c)))
    return 0;
  if (change < 0 && ceiling_publisher_is_stalled (c->options.publisher, now_ms))
    return 0;
  return change < 0 ? -tokens_min (-change, budget_account_returnable (a, ceiling)) : change;
}

/* @return whether a transaction is due; if so, fills in what it writes. */
static bool
plan_txn (GrantClient *c, Tokens *change, BudgetRow *next, BudgetHostRow *host)
{
  BudgetAccount *a = c->account;

  *change = plan_change (c, timers_now_ms (c->options.timers));
  if (*change == 0 && c->n_unresolved == 0 && c->reclaimable == 0 && !c->reconcile_due
      && !(a->is_coordinator && budget_account_should_persist (a)))
    return false;
  *next = budget_account_next_row (a, *change);
  next->parent = c->row_version;
  *host = (BudgetHostRow){ .incarnation = c->options.incarnation,
                           .seq = c->next_seq++,
                           .granted = a->granted + *change,
                           .spent = c->previously_spent + budget_account_persist_spent (a) };
  if (*change < 0)
    budget_account_begin_return (a, -*change);
  return true;
}

void
grant_client_step (GrantClient *c)
{
  Tokens change = 0;
  BudgetRow next;
  BudgetHostRow host;
  bool due = false;

  if (c->call || c->backoff_timer || !ceiling_publisher_is_ready (c->options.publisher)
      || ceiling_publisher_is_previous_pending (c->options.publisher, c->options.account))
    return;
  if (!c->account->row_known || c->totals_requested || !c->connected)
    {
      start_read (c);
      return;
    }
  c->options.lock (c->options.data);
  due = plan_txn (c, &change, &next, &host);
  c->options.unlock (c->options.data);
  if (due)
    start_txn (c, change, &next, &host);
}

/* --- Setup and queries ------------------------------------------------------------------- */

GrantClient *
grant_client_new (const void *ctx, const GrantClientOptions *options, BudgetAccount *account)
{
  GrantClient *c = talloc_zero (ctx, GrantClient);

  c->options = *options;
  c->options.account = talloc_strdup (c, options->account);
  c->account = account;
  c->connected = true;
  c->backoff_ms = MIN_BACKOFF_MS;
  c->next_seq = 1;
  c->total_read_ms = INT64_MIN;
  c->row_fresh_ms = INT64_MIN;
  return c;
}

void
grant_client_close (GrantClient *c)
{
  c->closing = true;
  c->account->returns_all = true;
}

void
grant_client_request_totals (GrantClient *c)
{
  c->totals_requested = true;
}

bool
grant_client_is_connected (const GrantClient *c)
{
  return c->connected;
}

bool
grant_client_may_reclaim (const GrantClient *c)
{
  if (c->account->row_known)
    return c->reclaimable > 0;
  return ceiling_publisher_has_previous (c->options.publisher, c->options.account);
}

bool
grant_client_row_is_fresh (const GrantClient *c, int64_t since_ms)
{
  return c->account->row_known && c->row_fresh_ms >= since_ms;
}

Tokens
grant_client_total_spent (const GrantClient *c)
{
  return c->total_read_ms == INT64_MIN ? -1 : c->total_spent;
}

bool
grant_client_total_is_fresh (const GrantClient *c, int64_t since_ms)
{
  return c->total_read_ms >= since_ms;
}

bool
grant_client_is_busy (const GrantClient *c)
{
  return c->call || c->n_unresolved > 0;
}
