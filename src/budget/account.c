#include "budget/account.h"

#include <math.h>

#include "core/invariant.h"

/* Time constant of the moving average of the rate. */
#define RATE_WINDOW_MS 6000.0
#define SIZE_WEIGHT    0.1

/* Before any demand is known, each host holds this part of the limit, shared among hosts. */
#define FIRST_PART 8

/* A host draws at most this part of its share of what is free, so that the others find some too. */
#define FREE_PART 2

/* Changes below this part of the target wait, to save transactions. */
#define LOW_PCT  70
#define HIGH_PCT 150

Tokens
budget_account_limit (const BudgetAccount *a)
{
  return a->limit_version >= a->row.limit_version ? a->limit : a->row.limit;
}

Tokens
budget_account_free (const BudgetAccount *a)
{
  return tokens_max (budget_account_limit (a) - a->row.granted, 0);
}

/* The rate as it would be if nothing were spent up to now. */
static double
rate_now (const BudgetAccount *a, int64_t now_ms)
{
  if (a->rate_ms == 0)
    return 0;
  return a->rate * exp (-(double)(now_ms - a->rate_ms) / RATE_WINDOW_MS);
}

static bool
is_scarce (const BudgetAccount *a, const BudgetPolicy *p)
{
  return budget_account_free (a) < budget_account_limit (a) / 100 * p->scarce_pct;
}

Tokens
budget_account_target (const BudgetAccount *a, const BudgetPolicy *p, int hosts, int64_t now_ms)
{
  bool scarce = is_scarce (a, p);
  double horizon = (double)(scarce ? p->scarce_horizon_ms : p->horizon_ms);
  double mean = rate_now (a, now_ms) * horizon;
  double wanted = mean + 2 * sqrt (mean * a->mean_reserve);
  Tokens first = budget_account_limit (a) / (FIRST_PART * hosts);
  Tokens share = (budget_account_free (a) + a->balance) / (FREE_PART * hosts);

  if (scarce)
    first = 0;
  return tokens_min (tokens_max ((Tokens)wanted, first), share);
}

Tokens
budget_account_change (const BudgetAccount *a, const BudgetPolicy *p, int hosts, int64_t now_ms)
{
  Tokens free_tokens = budget_account_free (a);
  Tokens target = budget_account_target (a, p, hosts, now_ms);
  Tokens missing = a->waiting - a->balance;

  if (missing > 0)
    return tokens_min (missing + target, free_tokens) >= missing
               ? tokens_min (missing + target, free_tokens)
               : 0;
  if (a->balance - a->waiting < target / 100 * LOW_PCT)
    return tokens_min (target - (a->balance - a->waiting), free_tokens);
  if (is_scarce (a, p) && a->balance - a->waiting > target / 100 * HIGH_PCT)
    return target - (a->balance - a->waiting);
  return 0;
}

BudgetRow
budget_account_next_row (const BudgetAccount *a, Tokens change)
{
  BudgetRow next = a->row;

  if (a->limit_version >= next.limit_version)
    {
      next.limit = a->limit;
      next.limit_version = a->limit_version;
    }
  next.granted += change;
  INVARIANT ("grants_within_limit", change <= 0 || next.granted <= next.limit,
             "granted %lld of %lld", (long long)next.granted, (long long)next.limit);
  return next;
}

bool
budget_account_reserve (BudgetAccount *a, Tokens tokens)
{
  if (a->balance < tokens)
    return false;
  a->balance -= tokens;
  a->reserved += tokens;
  return true;
}

void
budget_account_settle (BudgetAccount *a, Tokens tokens, Tokens spent, int64_t now_ms)
{
  INVARIANT ("spend_within_reservation", spent >= 0 && spent <= tokens, "spent %lld of %lld",
             (long long)spent, (long long)tokens);
  if (spent > tokens)
    spent = tokens;
  a->reserved -= tokens;
  a->balance += tokens - spent;
  a->spent += spent;
  a->rate = rate_now (a, now_ms) + (double)spent / RATE_WINDOW_MS;
  a->rate_ms = now_ms;
  a->mean_reserve += SIZE_WEIGHT * ((double)tokens - a->mean_reserve);
  INVARIANT ("reserved_never_negative", a->reserved >= 0, "reserved %lld", (long long)a->reserved);
}

void
budget_account_withdraw (BudgetAccount *a, Tokens tokens)
{
  INVARIANT ("balance_never_negative", tokens <= a->balance, "balance %lld", (long long)a->balance);
  a->balance -= tokens;
}

void
budget_account_credit (BudgetAccount *a, Tokens tokens)
{
  a->balance += tokens;
}
