/** @file
 * Keeps one account of this host supplied: the transactions on its rows, and what becomes of those
 * without an answer. Control loop; the account's fields are under the lock that the owner takes around
 * every call but grant_client_step(). */
#pragma once

#include "budget/account.h"
#include "budget/ceiling_publisher.h"
#include "core/rng.h"
#include "core/timers.h"
#include "store/store.h"

typedef struct GrantClient GrantClient;

typedef struct
{
  const char *account;
  const char *host;
  uint64_t incarnation;
  Store *store;
  Timers *timers;
  Rng *rng;
  const BudgetPolicy *policy;
  const CeilingPublisher *ceilings;
  void (*lock) (void *data);
  void (*unlock) (void *data);
  /** Called after each answer of the store, without the lock. */
  void (*updated) (void *data);
  void *data;
} GrantClientOptions;

/** @return a talloc object under @p ctx. */
GrantClient *grant_client_new (const void *ctx, const GrantClientOptions *options,
                               BudgetAccount *account);

/** Starts a transaction or a read if one is due and none is on its way. */
void grant_client_step (GrantClient *supply);

/** From now on everything that is not reserved is given back. */
void grant_client_close (GrantClient *supply);

/** The store went back: what is known of the row is put into it again. Under the lock. */
void grant_client_on_restore (GrantClient *supply);

/** @return whether that is still to be done. */
bool grant_client_needs_reconcile (const GrantClient *supply);

/** Has the rows of all hosts read again soon, because requests found too little. */
void grant_client_request_totals (GrantClient *supply);

/** @return false while the store does not answer. */
bool grant_client_is_connected (const GrantClient *supply);

/** @return whether the last incarnation may have left tokens that can be taken back. */
bool grant_client_may_reclaim (const GrantClient *supply);

/** @return true if the row was read or written after @p since_ms. */
bool grant_client_row_is_fresh (const GrantClient *supply, int64_t since_ms);

/** @return the least that all hosts together have spent, as last read; -1 if it was never read. */
Tokens grant_client_total_spent (const GrantClient *supply);

/** @return whether that was read after @p since_ms. */
bool grant_client_total_is_fresh (const GrantClient *supply, int64_t since_ms);

/** @return true while a transaction may still change what this host holds. */
bool grant_client_is_busy (const GrantClient *supply);
