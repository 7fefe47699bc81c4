/** @file
 * One client account's prepaid budget as this host holds it. Hosts draw on one row of the store by
 * grants, and pass balances on to each other. The functions decide; they own no store, no clock and no
 * lock.
 *
 * Invariant over all hosts: the sum of all grants is at most the limit, and a host has spent, reserved or
 * passed on at most what it was granted or handed.
 *
 * Of its own grants a host uses at most a ceiling that it has published, so that after a restart the rest
 * can be taken back; see ceilings.h. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "budget/ceiling.h"
#include "core/tokens.h"

/** The account's row in the store. */
typedef struct
{
  Tokens granted; /* to all hosts, what they gave back taken off */
  Tokens limit;
  int64_t limit_version; /* of the configuration that set the limit */
  int64_t era;           /* of the store, in which it was written; 0: the store states none */
  int64_t parent;        /* version of the row that it was written over */
  /* What it was taken from when it was first written in this era, reconcile_row.h. */
  int64_t base_era;
  int64_t base_parent;
  Tokens base_granted;
  int64_t reconcile_start_ms; /* the store's time then */
} BudgetRow;

/** This host's row beside it. It says whether a transaction without an answer was made. */
typedef struct
{
  uint64_t incarnation;
  uint64_t seq;   /* of the last transaction */
  Tokens granted; /* to this incarnation, what it gave back taken off */
  Tokens spent;   /* by this host, earlier incarnations included */
} BudgetHostRow;

typedef struct
{
  int64_t horizon_ms;        /* demand that a keeper holds tokens for */
  int64_t ceiling_margin_ms; /* demand that may be met before the next ceiling is published */
  int64_t
      ample_ceiling_margin_ms; /* the same while plenty is left: what a kill would lose does not matter */
  int64_t buffer_ms; /* a host's own demand that it holds tokens for while plenty is left */
  int ample_pct;     /* of the limit: with more than this left there is plenty */
  int64_t outage_ms; /* demand that may be met without the store, beyond the last ceiling */
  int max_held_pct;  /* of what is left: a keeper holds at most this */
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
  bool keeper; /* draws for all hosts */
  Tokens
      granted; /* by the store to this incarnation, net; negative if it returned what others drew */
  Ceiling ceiling;  /* of the own grants in use, as published */
  Tokens balance;   /* neither reserved, spent nor passed on */
  Tokens withdrawn; /* taken out of the balance, on its way back to the store */
  bool plenty;      /* not a keeper: the keeper gave more than was needed last time */
  Tokens reserved;
  Tokens committed; /* of the reservations: spent for sure */
  Tokens spent;     /* by this host's requests, and by those of hosts that told so */
  Tokens told;      /* of that, what was told to a keeper */
  Tokens written;   /* of the rest, what stands or may stand in this host's row */
  Tokens waiting;   /* wanted from the store by requests that found too little */
  double rate;      /* tokens used per ms, moving average */
  double mean_reserve;
  int64_t rate_ms; /* when the rate was last brought up to date */
  int64_t first_use_ms;
} BudgetAccount;

/** @return the limit by the newest configuration that this host or the row knows. */
Tokens budget_account_limit (const BudgetAccount *account);

/** @return tokens that no host holds, by the row as last read. */
Tokens budget_account_unallocated (const BudgetAccount *account);

/** @return tokens that this host should hold beyond reservations. */
Tokens budget_account_target (const BudgetAccount *account, const BudgetPolicy *policy,
                              int64_t now_ms);

/** @return the change of this host's grant that the next transaction should make: positive to draw,
 * negative to give back, 0 for none. Never more than is free. */
Tokens budget_account_grant_change (const BudgetAccount *account, const BudgetPolicy *policy,
                                    int64_t now_ms);

/** @return what a host that is not the keeper should hand to the keeper; small amounts stay unless
 * @p all. */
Tokens budget_account_surplus (const BudgetAccount *account, const BudgetPolicy *policy, bool all,
                               int64_t now_ms);

/** @return what a host that is not the keeper would like to hold beyond what it needs at once. */
Tokens budget_account_extra (const BudgetAccount *account, const BudgetPolicy *policy,
                             int64_t now_ms);

/** @return the row after @p change. */
BudgetRow budget_account_next_row (const BudgetAccount *account, Tokens change);

/** @return what may still come back from this host's requests. */
Tokens budget_account_uncommitted (const BudgetAccount *account);

/** @return own grants in use: spent, reserved or passed on. Negative while balances of others are held. */
Tokens budget_account_used (const BudgetAccount *account);

/** @return the ceiling to publish next. */
Ceiling budget_account_next_ceiling (const BudgetAccount *account, const BudgetPolicy *policy,
                                     int64_t now_ms);

/** Takes @p tokens for a request. @p ceiling: what may be in use now.
 * @return false if balance or ceiling do not cover them. */
bool budget_account_reserve (BudgetAccount *account, Tokens tokens, Tokens ceiling);

/** Ends a reservation: @p spent of its @p tokens were used. */
void budget_account_settle (BudgetAccount *account, Tokens tokens, Tokens spent, int64_t now_ms);

/** Takes tokens out of the balance to pass them on to another host, as budget_account_reserve(). */
bool budget_account_transfer_out (BudgetAccount *account, Tokens tokens, Tokens ceiling,
                                  int64_t now_ms);

/** Takes tokens out of the balance to hand them back to the keeper; as budget_account_transfer_out(), but it is
 * no use of them. */
bool budget_account_return_to_coordinator (BudgetAccount *account, Tokens tokens, Tokens ceiling);

/** @return what a keeper gives that was asked for @p tokens and, while plenty is left, @p wish more. */
Tokens budget_account_transfer_size (const BudgetAccount *account, const BudgetPolicy *policy,
                                     Tokens tokens, Tokens wish);

/** Adds tokens that another host has passed on. */
void budget_account_transfer_in (BudgetAccount *account, Tokens tokens, int64_t now_ms);

/** @return what was spent and neither told nor written; it counts as told from now on. */
Tokens budget_account_report_spent (BudgetAccount *account);

/** @return what was spent and not told to a keeper; it counts as written from now on. */
Tokens budget_account_persist_spent (BudgetAccount *account);

/** @return whether others should learn soon what was spent, because little is left. */
bool budget_account_should_persist (const BudgetAccount *account);

/** Takes tokens out of the balance that a transaction is to give back. */
void budget_account_begin_return (BudgetAccount *account, Tokens tokens);

/** Puts them back: the transaction was not done. */
void budget_account_cancel_return (BudgetAccount *account, Tokens tokens);

/** A transaction that changed the grant is done; tokens to give back were withdrawn before. */
void budget_account_apply_change (BudgetAccount *account, Tokens change);
