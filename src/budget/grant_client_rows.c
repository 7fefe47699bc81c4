#include "budget/grant_client_impl.h"

#include <inttypes.h>
#include <string.h>

#include "core/log.h"

const char *
grant_client_host_row_name (const GrantClient *c, char *name, size_t size)
{
  snprintf (name, size, "%s%s", BUDGET_HOST_PREFIX, c->options.host);
  return name;
}

/* --- Results of transactions ------------------------------------------------------------- */

/* Returned tokens left the balance before the transaction; obtained tokens are added once it has committed. */
static void
resolve (GrantClient *c, const GrantTxn *t, bool committed)
{
  if (committed)
    budget_account_apply_change (c->account, t->change);
  else if (t->change < 0)
    budget_account_cancel_return (c->account, -t->change);
}

static void
resolve_all (GrantClient *c, uint64_t committed_seq)
{
  for (size_t i = 0; i < c->n_unresolved; i++)
    resolve (c, &c->unresolved[i], c->unresolved[i].seq == committed_seq);
  c->n_unresolved = 0;
}

/* Resolves a transaction whose result was not known when the era changed. Tokens that it was to obtain are not used.
 * Tokens that it was to return may already be unallocated in the row, and are not used either. */
static void
resolve_across_eras (GrantClient *c, const GrantTxn *t)
{
  resolve (c, t, t->change < 0);
}

static bool
is_unresolved (const GrantClient *c, uint64_t seq)
{
  for (size_t i = 0; i < c->n_unresolved; i++)
    if (c->unresolved[i].seq == seq)
      return true;
  return false;
}

/* A transaction whose reply was lost may still commit while the row has the version that it checks. The others are
 * resolved as not committed. */
static void
drop_superseded (GrantClient *c)
{
  size_t n_remaining = 0;

  for (size_t i = 0; i < c->n_unresolved; i++)
    if (c->unresolved[i].checked_version == c->row_version)
      c->unresolved[n_remaining++] = c->unresolved[i];
    else
      resolve (c, &c->unresolved[i], false);
  c->n_unresolved = n_remaining;
}

bool
grant_client_is_reconciled (const GrantClient *c)
{
  const StoreEra *era = &c->options.store->era;
  int64_t now = timers_now_ms (c->options.timers);

  return reconcile_is_complete (&c->account->row, era->current,
                                c->store_time_ms + now - c->row_fresh_ms, now - era->since_ms);
}

/* The host row written by the previous incarnation, whose process ended before this one started. */
static void
apply_previous_incarnation (GrantClient *c, const BudgetHostRow *row)
{
  Tokens ceiling
      = ceiling_publisher_previous_max (c->options.publisher, row->incarnation, c->options.account);

  c->previously_spent = tokens_max (c->previously_spent, row->spent);
  /* A restored row may be older than a transaction that has already reclaimed the same tokens. */
  if (ceiling >= 0 && row->granted > ceiling && !c->store_restored)
    c->reclaimable = row->granted - ceiling;
}

static void
apply_host_row (GrantClient *c, const StoreRow *stored)
{
  BudgetHostRow row = { 0 };

  c->host_row_version = stored->version;
  if (!budget_host_row_decode (stored, &row))
    return;
  if (row.incarnation != c->options.incarnation)
    apply_previous_incarnation (c, &row);
  else if (is_unresolved (c, row.seq))
    resolve_all (c, row.seq);
}

void
grant_client_apply_rows (GrantClient *c, const StoreReply *reply, bool all_rows)
{
  char own_name[256];
  Tokens total = 0;
  int64_t now = timers_now_ms (c->options.timers);

  grant_client_host_row_name (c, own_name, sizeof own_name);
  c->row_version = 0;
  c->host_row_version = 0;
  c->era_row_version = 0;
  c->reclaimable = 0;
  memset (&c->account->row, 0, sizeof c->account->row);
  for (size_t i = 0; i < reply->n_rows; i++)
    {
      const StoreRow *row = &reply->rows[i];
      BudgetHostRow host = { 0 };

      if (row->removed || row->version == 0)
        continue;
      if (!strcmp (row->key.name, BUDGET_ACCOUNT_ROW))
        {
          c->row_version = row->version;
          if (!budget_row_decode (row, &c->account->row))
            {
              /* No grant may be obtained from a malformed row. */
              c->account->row.granted = INT64_MAX / 4;
              log_event (LOG_LEVEL_ERR, "budget", "row_unreadable", "account=%s version=%" PRId64,
                         c->options.account, row->version);
            }
        }
      else if (!strcmp (row->key.name, BUDGET_ERA_ROW))
        c->era_row_version = row->version;
      else if (!strncmp (row->key.name, BUDGET_HOST_PREFIX, strlen (BUDGET_HOST_PREFIX)))
        {
          if (!strcmp (row->key.name, own_name))
            apply_host_row (c, row);
          else if (budget_host_row_decode (row, &host))
            total = tokens_add_saturated (total, host.spent);
        }
    }
  drop_superseded (c);
  c->store_time_ms = reply->time_ms;
  c->starts_era = c->account->row.era < c->options.store->era.current;
  c->reconcile_due
      = reconcile_row (&c->account->row, c->options.store->era.current,
                       c->known_row.version > 0 ? &c->known_row : NULL, reply->time_ms);
  c->account->row.granted -= c->reclaimable;
  c->account->row_known = true;
  c->row_fresh_ms = now;
  c->row_reconciled = grant_client_is_reconciled (c);
  if (!all_rows)
    return;
  total = tokens_add_saturated (total, c->previously_spent);
  c->total_spent = tokens_add_saturated (total, c->account->spent - c->account->reported);
  c->total_read_ms = now;
  c->totals_requested = false;
}

void
grant_client_finish_txn (GrantClient *c, const StoreReply *reply)
{
  switch (reply->result)
    {
    case STORE_DONE:
      c->account->row = c->sent_row;
      c->row_version = reply->version;
      c->host_row_version = reply->version;
      c->row_fresh_ms = timers_now_ms (c->options.timers);
      c->store_time_ms = reply->time_ms;
      c->conflicts = 0;
      if (c->reclaimable > 0)
        log_event (LOG_LEVEL_NOTICE, "budget", "reclaimed", "account=%s tokens=%" PRId64,
                   c->options.account, c->reclaimable);
      c->account->regained += c->reclaimable;
      c->reclaimable = 0;
      c->reconcile_due = false;
      c->row_reconciled = grant_client_is_reconciled (c);
      if (c->starts_era)
        c->era_row_version = reply->version;
      c->starts_era = false;
      resolve (c, &c->sent, true);
      /* The unresolved transactions checked a version that this transaction has replaced. */
      resolve_all (c, 0);
      break;
    case STORE_CONFLICT:
      resolve (c, &c->sent, false);
      grant_client_apply_rows (c, reply, false);
      c->conflicts++;
      break;
    case STORE_REFUSED:
      resolve (c, &c->sent, false);
      break;
    case STORE_UNKNOWN:
    case STORE_HISTORY_GONE:
      if (c->sent_era != c->options.store->era.current)
        resolve_across_eras (c, &c->sent);
      else if (c->n_unresolved < MAX_UNRESOLVED)
        c->unresolved[c->n_unresolved++] = c->sent;
      break;
    }
}

/* --- Restore of the store ---------------------------------------------------------------- */

void
grant_client_on_restore (GrantClient *c)
{
  for (size_t i = 0; i < c->n_unresolved; i++)
    resolve_across_eras (c, &c->unresolved[i]);
  c->n_unresolved = 0;
  /* A row that other hosts may not have reconciled yet is less complete than the known row of an earlier era. */
  if (c->account->row_known && c->row_version > 0 && c->row_reconciled)
    c->known_row = (KnownRow){ .era = c->account->row.era,
                               .version = c->row_version,
                               .granted = c->account->row.granted + c->reclaimable };
  log_event (LOG_LEVEL_NOTICE, "budget", "went_back",
             "account=%s known_version=%" PRId64 " known_granted=%" PRId64 " held=%" PRId64,
             c->options.account, c->known_row.version, c->known_row.granted, c->account->granted);
  c->store_restored = true;
  c->account->row_known = false;
  c->row_version = 0;
  c->host_row_version = 0;
  c->era_row_version = 0;
  c->reclaimable = 0;
}

bool
grant_client_needs_reconcile (const GrantClient *c)
{
  return c->store_restored && (!c->account->row_known || c->reconcile_due);
}
