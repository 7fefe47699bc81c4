/** @file
 * The prepaid budget of one client account, as this host sees it. Hosts obtain grants from the account's row in
 * the store and transfer balances to each other. These functions only compute and update the state: they call no
 * store, read no clock and take no lock.
 *
 * Invariant over all hosts: no transaction raises the sum of all grants above the limit, and the tokens that a host
 * has spent, reserved or transferred out do not exceed what it was granted or received in transfers.
 *
 * A host keeps the use of its own grants below a ceiling that it has published, so that the unused rest can be
 * reclaimed after a restart; see ceiling_publisher.h. Of a reservation only the covered part counts as used: what its
 * request may deliver before more is covered. The use is negative while the host holds more than its own grants, from
 * transfers, and the next incarnation then takes over what is certainly left of those. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "budget/ceiling.h"
#include "core/tokens.h"

/** The account's row in the store. */
typedef struct
{
  Tokens granted; /* to all hosts, net of returned tokens */
  Tokens limit;
  int64_t limit_version; /* of the configuration that set the limit */
  int64_t era;    /* restore generation of the store at the write; 0: the store reports none */
  int64_t parent; /* version of the row that this one replaced */
  /* The restored row from which the first row of this era was derived; see reconcile.h. */
  int64_t base_era;
  int64_t base_parent;
  Tokens base_granted;
  int64_t reconcile_start_ms; /* store time at which the first row of this era was written */
} BudgetRow;

/** A host's own row of the same account. Its seq shows whether a transaction whose reply was lost has committed. */
typedef struct
{
  uint64_t incarnation;
  uint64_t seq;   /* of the last transaction */
  Tokens granted; /* to this incarnation, net of returned tokens */
  /* In all incarnations of the host, by its requests and by those of hosts that reported to it. Excludes tokens that it
   * has reported to a coordinator itself. */
  Tokens spent;
} BudgetHostRow;

typedef struct
{
  int64_t horizon_ms;        /* a coordinator holds tokens for the demand expected in this time */
  int64_t ceiling_margin_ms; /* a ceiling leaves room for the demand expected in this time */
  /* Used instead of ceiling_margin_ms while the budget is ample: a killed host loses the margin, which then matters
   * little. */
  int64_t ceiling_margin_while_ample_ms;
  /* While the budget is ample, hosts other than the coordinator hold tokens for their own demand in this time. */
  int64_t buffer_ms;
  /* The budget is ample if the unallocated tokens and the coordinator's balance exceed this share of the limit. */
  int ample_pct;
  /* While the store is unreachable, a ceiling grows by at most the demand expected in this time. */
  int64_t covered_outage_ms;
  int max_held_pct; /* largest share of the unallocated tokens and its balance that a coordinator holds */
} BudgetPolicy;

typedef struct
{
  /* From the active configuration. */
  Tokens limit;
  int64_t limit_version;

  /* As last read from the store. */
  bool row_known;
  BudgetRow row;

  /* On this host. */
  bool is_coordinator; /* obtains grants for all hosts */
  /* By the store to this incarnation, net; negative if it returned tokens that were granted to other hosts. */
  Tokens granted;
  /* Bound on the own grants in use: the lower of the published ceiling and one being published. */
  Ceiling ceiling;
  Ceiling unconsented; /* the same of ceiling_without_consent() */
  Tokens balance;      /* neither reserved, spent nor transferred out */
  Tokens returning; /* taken out of the balance by a transaction that returns them to the store */
  bool is_ample;    /* if not the coordinator: the last transfer request obtained extra tokens */
  Tokens reserved;
  Tokens committed;    /* part of reserved that is certainly spent */
  Tokens uncovered;    /* part of reserved that must not be used yet */
  Tokens cover_wanted; /* part of uncovered that requests are about to use */
  Tokens cover_per_s;  /* by which the covered parts may have to grow */
  /* Left of what the previous incarnation held; becomes part of the balance once ceilings have been published. */
  Tokens taking_over;
  Tokens regained;  /* from previous incarnations of this host, in all */
  bool returns_all; /* this host is about to return its whole balance */
  Tokens spent;     /* by this host's requests, and by those of hosts that reported to this one */
  Tokens reported;  /* part of spent that was reported to a coordinator */
  Tokens persisted; /* part of spent, not reported, that is or may be stored in this host's row */
  Tokens waiting_tokens; /* total size of the reservations that wait for the store */
  double rate;           /* tokens used per ms, moving average */
  /* Moving average of the size of settled reservations and, on a coordinator, of transfers to other hosts. */
  double mean_request_tokens;
  int64_t rate_updated_ms; /* 0: no demand was recorded yet */
  int64_t first_use_ms;
} BudgetAccount;

/** @return the limit from the newest configuration known to this host or to the row. */
Tokens budget_account_limit (const BudgetAccount *account);

/** @return tokens granted to no host, according to the row as last read. */
Tokens budget_account_unallocated (const BudgetAccount *account);

/** @return the balance that this host should hold, reservations not included. */
Tokens budget_account_target (const BudgetAccount *account, const BudgetPolicy *policy,
                              int64_t now_ms);

/** @return the change of this host's grant to make in the next transaction: positive to obtain tokens, negative
 * to return them, 0 for none. Does not exceed the unallocated tokens. */
Tokens budget_account_grant_change (const BudgetAccount *account, const BudgetPolicy *policy,
                                    int64_t now_ms);

/** @return the tokens that a host other than the coordinator should transfer back to it; 0 for a small surplus
 * unless @p all is set. */
Tokens budget_account_surplus (const BudgetAccount *account, const BudgetPolicy *policy, bool all,
                               int64_t now_ms);

/** @return the tokens to request from the coordinator beyond those that waiting reservations need. */
Tokens budget_account_extra_tokens (const BudgetAccount *account, const BudgetPolicy *policy,
                                    int64_t now_ms);

/** @return the account's row with @p change applied. */
BudgetRow budget_account_next_row (const BudgetAccount *account, Tokens change);

/** @return reserved tokens that may still be released unspent. */
Tokens budget_account_uncommitted (const BudgetAccount *account);

/** @return own grants in use: spent, covered by reservations, transferred out, or returned to the store beyond them.
 * Negative while this host holds tokens that were granted to other hosts. */
Tokens budget_account_used (const BudgetAccount *account);

/** @return the ceiling to publish next. */
Ceiling budget_account_next_ceiling (const BudgetAccount *account, const BudgetPolicy *policy,
                                     int64_t now_ms);

/** Reserves @p tokens for a request, of which @p uncovered must not be used yet. @p ceiling: bound on the own grants in
 * use at this time. @return false if the balance does not cover the tokens, or the ceiling those that may be used. */
bool budget_account_reserve (BudgetAccount *account, Tokens tokens, Tokens uncovered,
                             Tokens ceiling);

/** Covers more of what is reserved. Conditions and result as for budget_account_reserve(). */
bool budget_account_cover (BudgetAccount *account, Tokens tokens, Tokens ceiling);

/** @return how much of its balance this host may return to the store at once. */
Tokens budget_account_returnable (const BudgetAccount *account, Tokens ceiling);

/** Ends a reservation of @p tokens, of which @p spent were used. */
void budget_account_settle (BudgetAccount *account, Tokens tokens, Tokens spent, int64_t now_ms);

/** Takes tokens out of the balance for a transfer to another host. Conditions and result as for
 * budget_account_reserve(). */
bool budget_account_transfer_out (BudgetAccount *account, Tokens tokens, Tokens ceiling,
                                  int64_t now_ms);

/** Takes tokens out of the balance for a transfer back to the coordinator. Like budget_account_transfer_out(), but
 * not counted as demand. */
bool budget_account_return_to_coordinator (BudgetAccount *account, Tokens tokens, Tokens ceiling);

/** @return the size of the transfer in response to a request for @p tokens and, while the budget is ample, @p extra
 * more. */
Tokens budget_account_transfer_size (const BudgetAccount *account, const BudgetPolicy *policy,
                                     Tokens tokens, Tokens extra);

/** Adds tokens transferred from another host. */
void budget_account_transfer_in (BudgetAccount *account, Tokens tokens, int64_t now_ms);

/** @return spent tokens that were neither reported to a coordinator nor persisted. Marks them as reported. */
Tokens budget_account_report_spent (BudgetAccount *account);

/** @return spent tokens that were not reported to a coordinator. Marks them as persisted. */
Tokens budget_account_persist_spent (BudgetAccount *account);

/** @return whether the spent tokens should be persisted soon for other hosts to read, because little is left. */
bool budget_account_should_persist (const BudgetAccount *account);

/** Takes tokens out of the balance for a transaction that returns them. */
void budget_account_begin_return (BudgetAccount *account, Tokens tokens);

/** Reverts budget_account_begin_return(), because the transaction was not committed. */
void budget_account_cancel_return (BudgetAccount *account, Tokens tokens);

/** Applies the change of the grant by a committed transaction. Tokens that it returned were already taken out of the
 * balance by budget_account_begin_return(). */
void budget_account_apply_change (BudgetAccount *account, Tokens change);
