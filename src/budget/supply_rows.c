#include "budget/supply_impl.h"

#include <inttypes.h>
#include <string.h>

#include "core/log.h"

const char *
supply_host_row_name (const Supply *s, char *name, size_t size)
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

bool
supply_is_settled (const Supply *s)
{
  const StoreEra *era = &s->options.store->era;
  int64_t now = timers_now_ms (s->options.timers);

  return put_back_is_settled (&s->account->row, era->current, s->store_time_ms + now - s->fresh_ms,
                              now - era->since_ms);
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

void
supply_take_rows (Supply *s, const StoreReply *reply, bool whole_part)
{
  char own[256];
  Tokens total = 0;
  int64_t now = timers_now_ms (s->options.timers);

  supply_host_row_name (s, own, sizeof own);
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
  s->begins_era = s->account->row.era < s->options.store->era.current;
  s->put_back_due = put_back (&s->account->row, s->options.store->era.current,
                              s->mine.version > 0 ? &s->mine : NULL, reply->time_ms);
  s->account->row.granted -= s->reclaim;
  s->account->known = true;
  s->fresh_ms = now;
  s->row_settled = supply_is_settled (s);
  if (!whole_part)
    return;
  s->total_spent = total + s->spent_before + s->account->spent - s->account->told;
  s->total_ms = now;
  s->want_totals = false;
}

void
supply_finish_txn (Supply *s, const StoreReply *reply)
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
      s->row_settled = supply_is_settled (s);
      if (s->begins_era)
        s->era_row_version = reply->version;
      s->begins_era = false;
      resolve (s, &s->sent, true);
      /* They checked a version that this transaction has replaced. */
      resolve_all (s, 0);
      break;
    case STORE_CONFLICT:
      resolve (s, &s->sent, false);
      supply_take_rows (s, reply, false);
      s->conflicts++;
      break;
    case STORE_REFUSED:
      resolve (s, &s->sent, false);
      break;
    case STORE_UNKNOWN:
    case STORE_HISTORY_GONE:
      if (s->sent_era != s->options.store->era.current)
        resolve_void (s, &s->sent);
      else if (s->n_open < MAX_OPEN)
        s->open[s->n_open++] = s->sent;
      break;
    }
}

/* --- Eras of the store ------------------------------------------------------------------- */

void
supply_went_back (Supply *s)
{
  for (size_t i = 0; i < s->n_open; i++)
    resolve_void (s, &s->open[i]);
  s->n_open = 0;
  /* A row into which others may not have put yet what they know tells less than what was known before. */
  if (s->account->known && s->row_version > 0 && s->row_settled)
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
