/** @file
 * Obtains and returns grants for one account on this host: runs the transactions on the account's rows in the store
 * and resolves those whose reply was lost. Control loop. The BudgetAccount is protected by the lock in the options.
 * grant_client_step() takes it and is called without it. The functions below are called with it, except
 * grant_client_close() and grant_client_is_busy(), which do not access the BudgetAccount.
 * grant_client_is_connected() may be called on any thread. */
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
  const CeilingPublisher *publisher;
  void (*lock) (void *data); /* of the BudgetAccount */
  void (*unlock) (void *data);
  /** Called after each reply of the store, without the lock. */
  void (*updated) (void *data);
  void *data;
} GrantClientOptions;

/** @return a talloc object under @p ctx. */
GrantClient *grant_client_new (const void *ctx, const GrantClientOptions *options,
                               BudgetAccount *account);

/** Starts a transaction or a read if one is due and none is in progress. */
void grant_client_step (GrantClient *client);

/** From now on, returns the whole balance to the store while no reservation waits for it. */
void grant_client_close (GrantClient *client);

/** The store was restored from a backup: the row will be reconciled with what is known of it. Under the lock. */
void grant_client_on_restore (GrantClient *client);

/** @return whether the row has still to be read or reconciled after a restore. */
bool grant_client_needs_reconcile (const GrantClient *client);

/** Requests a new read of the rows of all hosts, because a request found too few tokens. */
void grant_client_request_totals (GrantClient *client);

/** @return false while the store does not respond. */
bool grant_client_is_connected (const GrantClient *client);

/** @return whether grants of the previous incarnation may be left to reclaim. */
bool grant_client_may_reclaim (const GrantClient *client);

/** @return whether the account's row was read or written at or after @p since_ms. */
bool grant_client_row_is_fresh (const GrantClient *client, int64_t since_ms);

/** @return a lower bound on what all hosts together have spent, as last read; -1 if it was never read. */
Tokens grant_client_total_spent (const GrantClient *client);

/** @return whether the rows for the total were read at or after @p since_ms. */
bool grant_client_total_is_fresh (const GrantClient *client, int64_t since_ms);

/** @return true while a transaction may still change this host's grant. */
bool grant_client_is_busy (const GrantClient *client);
