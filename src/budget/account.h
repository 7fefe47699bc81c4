/** @file
 * One client account's prepaid budget as this host holds it. All hosts draw on one row of the store by
 * grants; what was granted is spent without asking. The functions decide; they own no store, no clock
 * and no lock.
 *
 * Invariant over all hosts: the sum of all grants is at most the limit, and every host's spent and
 * reserved tokens are within its grants. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/tokens.h"

/** The account's row in the store. */
typedef struct
{
  Tokens granted; /* to all hosts, what they gave back taken off */
  Tokens limit;
  int64_t limit_version; /* of the configuration that set the limit */
} BudgetRow;

/** This host's row beside it. It says whether a transaction without an answer was made. */
typedef struct
{
  uint64_t incarnation;
  uint64_t seq; /* of the last transaction */
  Tokens spent; /* by this host, earlier incarnations included */
} BudgetHostRow;

typedef struct
{
  int64_t horizon_ms;        /* demand that a host holds tokens for */
  int64_t scarce_horizon_ms; /* the same when little is left */
  int scarce_pct;            /* of the limit: less than this free is little */
} BudgetPolicy;

typedef struct
{
  /* As the configuration in force says. */
  Tokens limit;
  int64_t limit_version;

  /* As last read from the store. */
  bool known;
  BudgetRow row;

  /* On this host. */
  Tokens balance; /* granted, neither reserved nor spent */
  Tokens reserved;
  Tokens spent;
  Tokens waiting; /* wanted by requests that found too little */
  double rate;    /* tokens spent per ms, moving average */
  double mean_reserve;
  int64_t rate_ms; /* when the rate was last brought up to date */
} BudgetAccount;

/** @return the limit by the newest configuration that this host or the row knows. */
Tokens budget_account_limit (const BudgetAccount *account);

/** @return tokens that no host holds, by the row as last read and the newest limit known. */
Tokens budget_account_free (const BudgetAccount *account);

/** @return tokens that this host should hold beyond reservations. */
Tokens budget_account_target (const BudgetAccount *account, const BudgetPolicy *policy, int hosts,
                              int64_t now_ms);

/** @return the change of this host's grant that the next transaction should make: positive to draw,
 * negative to give back, 0 for none. Never more than is free. */
Tokens budget_account_change (const BudgetAccount *account, const BudgetPolicy *policy, int hosts,
                              int64_t now_ms);

/** @return the row after @p change. */
BudgetRow budget_account_next_row (const BudgetAccount *account, Tokens change);

/** Takes @p tokens for a request. @return false if the balance does not cover them. */
bool budget_account_reserve (BudgetAccount *account, Tokens tokens);

/** Ends a reservation: @p spent of its @p tokens were used. */
void budget_account_settle (BudgetAccount *account, Tokens tokens, Tokens spent, int64_t now_ms);

/** Takes tokens out of the balance that are to be given back. */
void budget_account_withdraw (BudgetAccount *account, Tokens tokens);

/** Adds tokens to the balance. */
void budget_account_credit (BudgetAccount *account, Tokens tokens);
