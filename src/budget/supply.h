/** @file
 * Keeps one account of this host supplied: the transactions on its rows, and what becomes of those
 * without an answer. Control loop; the account's fields are under the lock that the owner takes around
 * every call but supply_step(). */
#pragma once

#include "budget/account.h"
#include "budget/ceilings.h"
#include "core/rng.h"
#include "core/timers.h"
#include "store/store.h"

typedef struct Supply Supply;

typedef struct
{
  const char *account;
  const char *host;
  uint64_t incarnation;
  Store *store;
  Timers *timers;
  Rng *rng;
  const BudgetPolicy *policy;
  const Ceilings *ceilings;
  void (*lock) (void *data);
  void (*unlock) (void *data);
  /** Called after each answer of the store, without the lock. */
  void (*updated) (void *data);
  void *data;
} SupplyOptions;

/** @return a talloc object under @p ctx. */
Supply *supply_new (const void *ctx, const SupplyOptions *options, BudgetAccount *account);

/** Starts a transaction or a read if one is due and none is on its way. */
void supply_step (Supply *supply);

/** From now on everything that is not reserved is given back. */
void supply_close (Supply *supply);

/** The store went back: what is known of the row is put into it again. Under the lock. */
void supply_went_back (Supply *supply);

/** @return whether that is still to be done. */
bool supply_is_behind (const Supply *supply);

/** Has the rows of all hosts read again soon, because requests found too little. */
void supply_want_totals (Supply *supply);

/** @return false while the store does not answer. */
bool supply_is_connected (const Supply *supply);

/** @return whether the last incarnation may have left tokens that can be taken back. */
bool supply_may_reclaim (const Supply *supply);

/** @return true if the row was read or written after @p since_ms. */
bool supply_is_fresh (const Supply *supply, int64_t since_ms);

/** @return the least that all hosts together have spent, as last read; -1 if it was never read. */
Tokens supply_total_spent (const Supply *supply);

/** @return whether that was read after @p since_ms. */
bool supply_knows_total (const Supply *supply, int64_t since_ms);

/** @return true while a transaction may still change what this host holds. */
bool supply_is_busy (const Supply *supply);
