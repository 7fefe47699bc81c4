#include "budget/account.h"

#include <math.h>

#include "core/invariant.h"

/* Time constant of the exponential moving average of the rate of use. */
#define RATE_TIME_CONSTANT_MS 6000.0

/* Weight of the newest value in the moving average mean_request_tokens. */
#define REQUEST_SIZE_EMA_WEIGHT 0.1

/* A rate that was observed for a shorter time is computed as if it had been observed for this long. */
#define MIN_RATE_OBSERVATION_MS 2000.0

/* Before any use, a coordinator's target is the limit divided by this. */
#define INITIAL_HOLD_DIVISOR 5

/* A coordinator obtains more tokens only while it holds less than this share of its target, to save transactions. */
#define REFILL_BELOW_PCT 75

/* While less than limit / SCARCE_DIVISOR is unallocated, a coordinator persists what was spent as soon as that is
 * more than limit / PERSIST_DIVISOR. */
#define SCARCE_DIVISOR  10
#define PERSIST_DIVISOR 100

/* While the budget is ample, a ceiling leaves a margin for this many requests of the mean size, however rare they
 * are, or before any use for the limit divided by MIN_MARGIN_DIVISOR. */
#define MIN_MARGIN_REQUESTS 2
#define MIN_MARGIN_DIVISOR  100

/* Smaller surpluses are not returned to the store, because each return costs a transaction. */
#define MIN_RETURN_TOKENS 1500

/* A transfer to the coordinator costs only a message, and the small balances of many hosts add up to a considerable
 * share of a small account: surpluses above the limit divided by this, or above MIN_RETURN_TOKENS, are transferred. */
#define MIN_TRANSFER_DIVISOR 10000

#define MS_PER_S 1000

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

/* The moving average of the rate, decayed for the time since it was last updated. */
static double
decayed_rate (const BudgetAccount *a, int64_t now_ms)
{
  if (a->rate_updated_ms == 0)
    return 0;
  return a->rate * exp (-(double)(now_ms - a->rate_updated_ms) / RATE_TIME_CONSTANT_MS);
}

/* The moving average starts at 0 and is still more than a third too low after one time constant; this corrects it. */
static double
corrected_rate (const BudgetAccount *a, int64_t now_ms)
{
  double age = (double)(now_ms - a->first_use_ms);

  if (age < MIN_RATE_OBSERVATION_MS)
    age = MIN_RATE_OBSERVATION_MS;
  return decayed_rate (a, now_ms) / (1 - exp (-age / RATE_TIME_CONSTANT_MS));
}

static void
record_demand (BudgetAccount *a, Tokens tokens, int64_t now_ms)
{
  if (a->rate_updated_ms == 0)
    a->first_use_ms = now_ms;
  a->rate = decayed_rate (a, now_ms) + (double)tokens / RATE_TIME_CONSTANT_MS;
  if (a->rate < 0)
    a->rate = 0;
  a->rate_updated_ms = now_ms;
}

static void
record_request_size (BudgetAccount *a, Tokens tokens)
{
  if (a->mean_request_tokens == 0)
    a->mean_request_tokens = (double)tokens;
  a->mean_request_tokens += REQUEST_SIZE_EMA_WEIGHT * ((double)tokens - a->mean_request_tokens);
}

static bool
is_ample (const BudgetAccount *a, const BudgetPolicy *p)
{
  if (!a->is_coordinator)
    return a->is_ample;
  return budget_account_unallocated (a) + a->balance
         > budget_account_limit (a) / 100 * p->ample_pct;
}

/* Expected demand within ms plus a number of standard deviations, because rare large requests make demand vary. */
static Tokens
expected_demand (const BudgetAccount *a, int64_t ms, double deviations, int64_t now_ms)
{
  double mean = corrected_rate (a, now_ms) * (double)ms;

  return (Tokens)(mean + deviations * sqrt (mean * a->mean_request_tokens));
}

Tokens
budget_account_target (const BudgetAccount *a, const BudgetPolicy *p, int64_t now_ms)
{
  Tokens available = budget_account_unallocated (a) + a->balance;
  Tokens max = available / 100 * p->max_held_pct;
  Tokens target = expected_demand (a, p->horizon_ms, 2, now_ms);

  if (!a->is_coordinator)
    return is_ample (a, p) ? expected_demand (a, p->buffer_ms, 1, now_ms) : 0;
  if (a->rate_updated_ms == 0)
    target = budget_account_limit (a) / INITIAL_HOLD_DIVISOR;
  return tokens_min (target, max);
}

static Tokens
excess_over_target (const BudgetAccount *a, const BudgetPolicy *p, int64_t now_ms)
{
  return a->balance - a->waiting_tokens - budget_account_target (a, p, now_ms);
}

Tokens
budget_account_grant_change (const BudgetAccount *a, const BudgetPolicy *p, int64_t now_ms)
{
  Tokens unallocated = budget_account_unallocated (a);
  Tokens target = a->is_coordinator ? budget_account_target (a, p, now_ms) : 0;
  Tokens spare = a->balance - a->waiting_tokens;
  Tokens surplus;

  /* Tokens that do not cover all waiting requests may still cover some of them. */
  if (spare < 0)
    return tokens_min (target - spare, unallocated);
  if (!a->is_coordinator)
    {
      surplus = tokens_min (excess_over_target (a, p, now_ms), a->granted);
      return surplus >= MIN_RETURN_TOKENS ? -surplus : 0;
    }
  if (spare < target / 100 * REFILL_BELOW_PCT)
    return tokens_min (target - spare, unallocated);
  /* Every host can request tokens that a coordinator holds, so returning it to the store gains nothing. */
  return 0;
}

Tokens
budget_account_surplus (const BudgetAccount *a, const BudgetPolicy *p, bool all, int64_t now_ms)
{
  /* Excludes the host's own grants: it returns those to the store directly, see budget_account_grant_change(). */
  Tokens surplus = excess_over_target (a, p, now_ms) - tokens_max (a->granted, 0);
  Tokens min = tokens_min (MIN_RETURN_TOKENS, budget_account_limit (a) / MIN_TRANSFER_DIVISOR);

  return surplus > (all ? 0 : min) ? surplus : 0;
}

Tokens
budget_account_extra_tokens (const BudgetAccount *a, const BudgetPolicy *p, int64_t now_ms)
{
  return tokens_max (expected_demand (a, p->buffer_ms, 1, now_ms) - a->balance, 0);
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
  return tokens_max (a->granted - a->returning, 0) - a->balance - a->uncovered - a->taking_over;
}

static Tokens
ceiling_margin (const BudgetAccount *a, const BudgetPolicy *p, int64_t now_ms)
{
  Tokens min;

  if (!is_ample (a, p))
    return expected_demand (a, p->ceiling_margin_ms, 0, now_ms);
  min = a->rate_updated_ms == 0 ? budget_account_limit (a) / MIN_MARGIN_DIVISOR
                                : (Tokens)(MIN_MARGIN_REQUESTS * a->mean_request_tokens);
  return tokens_max (expected_demand (a, p->ceiling_margin_while_ample_ms, 0, now_ms), min);
}

/* A host that cannot reach the store may serve demand at the observed rate for policy->covered_outage_ms. Longer
 * outages are rare, and grants above the ceiling can be reclaimed if the host is killed. Before any use no rate is
 * known, and the ceiling grows to all grants. */
Ceiling
budget_account_next_ceiling (const BudgetAccount *a, const BudgetPolicy *p, int64_t now_ms)
{
  Tokens used = budget_account_used (a);
  Tokens own = tokens_max (a->granted, 0);
  Tokens cap = tokens_max (own, used);
  Tokens wanted = a->waiting_tokens + a->cover_wanted + ceiling_margin (a, p, now_ms);
  /* A host that has no grants of its own returns its balance at any time, without a publication before. */
  bool returns_at_any_time = a->returns_all || (own == 0 && !a->is_coordinator);
  Tokens returns = returns_at_any_time ? a->balance : 0;
  Tokens base = tokens_min (used + wanted + returns, cap);
  Tokens max = base + a->uncovered + expected_demand (a, p->covered_outage_ms, 2, now_ms);
  Tokens growth = expected_demand (a, MS_PER_S, 2, now_ms) + a->cover_per_s;

  if (a->rate_updated_ms == 0 && (own > 0 || a->is_coordinator))
    return (Ceiling){ base, CEILING_UNLIMITED, cap };
  return (Ceiling){ base, growth, tokens_min (max, cap) };
}

/* --- Balance ----------------------------------------------------------------------------- */

static bool
is_below_ceiling (const BudgetAccount *a, Tokens tokens, Tokens ceiling)
{
  return budget_account_used (a) + tokens <= ceiling;
}

static bool
is_covered (const BudgetAccount *a, Tokens tokens, Tokens ceiling)
{
  return a->balance >= tokens && is_below_ceiling (a, tokens, ceiling);
}

bool
budget_account_reserve (BudgetAccount *a, Tokens tokens, Tokens uncovered, Tokens ceiling)
{
  if (a->balance < tokens || !is_below_ceiling (a, tokens - uncovered, ceiling))
    return false;
  a->balance -= tokens;
  a->reserved += tokens;
  a->uncovered += uncovered;
  return true;
}

bool
budget_account_cover (BudgetAccount *a, Tokens tokens, Tokens ceiling)
{
  if (!is_below_ceiling (a, tokens, ceiling))
    return false;
  a->uncovered -= tokens;
  INVARIANT ("uncovered_never_negative", a->uncovered >= 0, "uncovered %lld",
             (long long)a->uncovered);
  return true;
}

Tokens
budget_account_returnable (const BudgetAccount *a, Tokens ceiling)
{
  Tokens own = tokens_max (a->granted - a->returning, 0);
  Tokens room;

  if (__builtin_sub_overflow (ceiling, budget_account_used (a), &room))
    return a->balance;
  return tokens_min (a->balance, tokens_add_saturated (own, tokens_max (room, 0)));
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
  record_demand (a, spent, now_ms);
  record_request_size (a, tokens);
  INVARIANT ("reserved_never_negative", a->reserved >= 0, "reserved %lld", (long long)a->reserved);
}

bool
budget_account_transfer_out (BudgetAccount *a, Tokens tokens, Tokens ceiling, int64_t now_ms)
{
  if (!is_covered (a, tokens, ceiling))
    return false;
  a->balance -= tokens;
  record_demand (a, tokens, now_ms);
  if (a->is_coordinator)
    record_request_size (a, tokens);
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
                              Tokens extra)
{
  if (is_ample (a, p) && a->balance >= 2 * (tokens + extra))
    return tokens + extra;
  return tokens;
}

void
budget_account_transfer_in (BudgetAccount *a, Tokens tokens, int64_t now_ms)
{
  a->balance += tokens;
  if (a->is_coordinator)
    record_demand (a, -tokens, now_ms);
}

Tokens
budget_account_report_spent (BudgetAccount *a)
{
  Tokens unreported = a->spent - a->reported - a->persisted;

  a->reported += unreported;
  return unreported;
}

Tokens
budget_account_persist_spent (BudgetAccount *a)
{
  a->persisted = a->spent - a->reported;
  return a->persisted;
}

bool
budget_account_should_persist (const BudgetAccount *a)
{
  Tokens limit = budget_account_limit (a);
  Tokens unpersisted = a->spent - a->reported - a->persisted;

  return budget_account_unallocated (a) < limit / SCARCE_DIVISOR
         && unpersisted > limit / PERSIST_DIVISOR;
}

void
budget_account_begin_return (BudgetAccount *a, Tokens tokens)
{
  INVARIANT ("balance_never_negative", tokens <= a->balance, "balance %lld", (long long)a->balance);
  a->balance -= tokens;
  a->returning += tokens;
}

void
budget_account_cancel_return (BudgetAccount *a, Tokens tokens)
{
  a->balance += tokens;
  a->returning -= tokens;
}

void
budget_account_apply_change (BudgetAccount *a, Tokens change)
{
  a->granted += change;
  if (change > 0)
    a->balance += change;
  else
    a->returning += change;
}
