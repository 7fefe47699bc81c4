#include "budget/account.h"

#include <math.h>

#include "core/invariant.h"

/* Time constant of the moving average of the rate. */
#define RATE_WINDOW_MS 6000.0
#define SIZE_WEIGHT    0.1

/* A rate that was watched for less is taken as if it had been watched for this long. */
#define LEAST_AGE_MS 2000.0

/* Before any demand is known, a keeper holds this part of the limit. */
#define FIRST_PART 5

/* Changes below this part of the target wait, to save transactions. */
#define LOW_PCT 75

/* With less free than this part of the limit, hosts write more often what they have spent, as soon as it
 * is this part of the limit. */
#define SCARCE_PART  10
#define NOTABLE_PART 100

/* With plenty left, a ceiling has room for this many requests of the mean size, however seldom they come,
 * or for this part of the limit before any came. */
#define ROOM_REQUESTS 2
#define ROOM_PART     100

/* Smaller balances stay where they are: to return them would cost a transaction each. */
#define LEAST_RETURN 1500

/* A message costs little, and of a small account the leftovers of many hosts are a notable part: balances above
 * this part of the limit go to the keeper. */
#define HAND_BACK_PART 10000

Tokens
budget_account_limit (const BudgetAccount *a)
{
  return a->limit_version >= a->row.limit_version ? a->limit : a->row.limit;
}

Tokens
budget_account_unallocated (const BudgetAccount *a)
{
  return tokens_max (budget_account_limit (a) - a->row.granted, 0);
}

/* The moving average as it would be if nothing were used up to now. */
static double
average_now (const BudgetAccount *a, int64_t now_ms)
{
  if (a->rate_ms == 0)
    return 0;
  return a->rate * exp (-(double)(now_ms - a->rate_ms) / RATE_WINDOW_MS);
}

/* The average starts from nothing: without the correction it is a third too low after a window. */
static double
rate_now (const BudgetAccount *a, int64_t now_ms)
{
  double age = (double)(now_ms - a->first_use_ms);

  if (age < LEAST_AGE_MS)
    age = LEAST_AGE_MS;
  return average_now (a, now_ms) / (1 - exp (-age / RATE_WINDOW_MS));
}

static void
note_use (BudgetAccount *a, Tokens tokens, int64_t now_ms)
{
  if (a->rate_ms == 0)
    a->first_use_ms = now_ms;
  a->rate = average_now (a, now_ms) + (double)tokens / RATE_WINDOW_MS;
  if (a->rate < 0)
    a->rate = 0;
  a->rate_ms = now_ms;
}

static void
note_size (BudgetAccount *a, Tokens tokens)
{
  if (a->mean_reserve == 0)
    a->mean_reserve = (double)tokens;
  a->mean_reserve += SIZE_WEIGHT * ((double)tokens - a->mean_reserve);
}

static bool
has_plenty (const BudgetAccount *a, const BudgetPolicy *p)
{
  if (!a->keeper)
    return a->plenty;
  return budget_account_unallocated (a) + a->balance
         > budget_account_limit (a) / 100 * p->ample_pct;
}

/* Demand over a time, with room for its scatter: large requests come seldom. */
static Tokens
demand_over (const BudgetAccount *a, int64_t ms, double deviations, int64_t now_ms)
{
  double mean = rate_now (a, now_ms) * (double)ms;

  return (Tokens)(mean + deviations * sqrt (mean * a->mean_reserve));
}

Tokens
budget_account_target (const BudgetAccount *a, const BudgetPolicy *p, int64_t now_ms)
{
  Tokens left = budget_account_unallocated (a) + a->balance;
  Tokens most = left / 100 * p->max_held_pct;
  Tokens wanted = demand_over (a, p->horizon_ms, 2, now_ms);

  if (!a->keeper)
    return has_plenty (a, p) ? demand_over (a, p->buffer_ms, 1, now_ms) : 0;
  if (a->rate_ms == 0)
    wanted = budget_account_limit (a) / FIRST_PART;
  return tokens_min (wanted, most);
}

static Tokens
beyond_target (const BudgetAccount *a, const BudgetPolicy *p, int64_t now_ms)
{
  return a->balance - a->waiting - budget_account_target (a, p, now_ms);
}

Tokens
budget_account_grant_change (const BudgetAccount *a, const BudgetPolicy *p, int64_t now_ms)
{
  Tokens free_tokens = budget_account_unallocated (a);
  Tokens target = a->keeper ? budget_account_target (a, p, now_ms) : 0;
  Tokens spare = a->balance - a->waiting;
  Tokens surplus;

  /* What does not cover all that wait may still cover some. */
  if (spare < 0)
    return tokens_min (target - spare, free_tokens);
  if (!a->keeper)
    {
      surplus = tokens_min (beyond_target (a, p, now_ms), a->granted);
      return surplus >= LEAST_RETURN ? -surplus : 0;
    }
  if (spare < target / 100 * LOW_PCT)
    return tokens_min (target - spare, free_tokens);
  /* What a keeper holds, every host can ask for: nothing is gained by giving it back. */
  return 0;
}

Tokens
budget_account_surplus (const BudgetAccount *a, const BudgetPolicy *p, bool all, int64_t now_ms)
{
  /* What a host drew itself, it gives back itself. */
  Tokens surplus = beyond_target (a, p, now_ms) - tokens_max (a->granted, 0);
  Tokens least = tokens_min (LEAST_RETURN, budget_account_limit (a) / HAND_BACK_PART);

  return surplus > (all ? 0 : least) ? surplus : 0;
}

Tokens
budget_account_extra (const BudgetAccount *a, const BudgetPolicy *p, int64_t now_ms)
{
  return tokens_max (demand_over (a, p->buffer_ms, 1, now_ms) - a->balance, 0);
}

Tokens
budget_account_uncommitted (const BudgetAccount *a)
{
  return a->reserved - a->committed;
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

/* --- Ceiling ----------------------------------------------------------------------------- */

Tokens
budget_account_used (const BudgetAccount *a)
{
  return a->granted - a->balance - a->withdrawn;
}

static Tokens
ceiling_margin (const BudgetAccount *a, const BudgetPolicy *p, int64_t now_ms)
{
  Tokens room;

  if (!has_plenty (a, p))
    return demand_over (a, p->ceiling_margin_ms, 0, now_ms);
  room = a->rate_ms == 0 ? budget_account_limit (a) / ROOM_PART
                         : (Tokens)(ROOM_REQUESTS * a->mean_reserve);
  return tokens_max (demand_over (a, p->ample_ceiling_margin_ms, 0, now_ms), room);
}

/* Without the store a host may meet demand as it was, up to a time: a longer cut is rare, and what the host
 * holds beyond that can be taken back after a kill. Demand that was never seen has no rate to go by. */
Ceiling
budget_account_next_ceiling (const BudgetAccount *a, const BudgetPolicy *p, int64_t now_ms)
{
  Tokens used = tokens_max (budget_account_used (a), 0);
  Tokens whole = tokens_max (a->granted, used);
  Tokens margin = ceiling_margin (a, p, now_ms);
  Tokens tokens = tokens_min (used + a->waiting + margin, whole);
  Tokens most = tokens + demand_over (a, p->outage_ms, 2, now_ms);

  if (a->rate_ms == 0)
    return (Ceiling){ tokens, CEILING_UNLIMITED, whole };
  return (Ceiling){ tokens, demand_over (a, 1000, 2, now_ms), tokens_min (most, whole) };
}

/* --- Balance ----------------------------------------------------------------------------- */

static bool
is_covered (const BudgetAccount *a, Tokens tokens, Tokens ceiling)
{
  return a->balance >= tokens && budget_account_used (a) + tokens <= ceiling;
}

bool
budget_account_reserve (BudgetAccount *a, Tokens tokens, Tokens ceiling)
{
  if (!is_covered (a, tokens, ceiling))
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
  note_use (a, spent, now_ms);
  note_size (a, tokens);
  INVARIANT ("reserved_never_negative", a->reserved >= 0, "reserved %lld", (long long)a->reserved);
}

bool
budget_account_transfer_out (BudgetAccount *a, Tokens tokens, Tokens ceiling, int64_t now_ms)
{
  if (!is_covered (a, tokens, ceiling))
    return false;
  a->balance -= tokens;
  note_use (a, tokens, now_ms);
  if (a->keeper)
    note_size (a, tokens);
  return true;
}

bool
budget_account_return_to_coordinator (BudgetAccount *a, Tokens tokens, Tokens ceiling)
{
  if (!is_covered (a, tokens, ceiling))
    return false;
  a->balance -= tokens;
  return true;
}

Tokens
budget_account_transfer_size (const BudgetAccount *a, const BudgetPolicy *p, Tokens tokens,
                              Tokens wish)
{
  if (has_plenty (a, p) && a->balance >= 2 * (tokens + wish))
    return tokens + wish;
  return tokens;
}

void
budget_account_transfer_in (BudgetAccount *a, Tokens tokens, int64_t now_ms)
{
  a->balance += tokens;
  if (a->keeper)
    note_use (a, -tokens, now_ms);
}

Tokens
budget_account_report_spent (BudgetAccount *a)
{
  Tokens untold = a->spent - a->told - a->written;

  a->told += untold;
  return untold;
}

Tokens
budget_account_persist_spent (BudgetAccount *a)
{
  a->written = a->spent - a->told;
  return a->written;
}

bool
budget_account_should_persist (const BudgetAccount *a)
{
  Tokens limit = budget_account_limit (a);
  Tokens unwritten = a->spent - a->told - a->written;

  return budget_account_unallocated (a) < limit / SCARCE_PART && unwritten > limit / NOTABLE_PART;
}

void
budget_account_begin_return (BudgetAccount *a, Tokens tokens)
{
  INVARIANT ("balance_never_negative", tokens <= a->balance, "balance %lld", (long long)a->balance);
  a->balance -= tokens;
  a->withdrawn += tokens;
}

void
budget_account_cancel_return (BudgetAccount *a, Tokens tokens)
{
  a->balance += tokens;
  a->withdrawn -= tokens;
}

void
budget_account_apply_change (BudgetAccount *a, Tokens change)
{
  a->granted += change;
  if (change > 0)
    a->balance += change;
  else
    a->withdrawn += change;
}
