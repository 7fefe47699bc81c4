/** @file
 * The prepaid budgets of all accounts on this host: reservations for requests, and what keeps them
 * supplied: the store for the accounts that this host keeps, their keepers for the others. Lock
 * "budgets"; any thread unless said otherwise. */
#pragma once

#include "budget/account.h"
#include "budget/keepers.h"
#include "catalog/catalog.h"
#include "core/err.h"
#include "core/loop.h"
#include "core/rng.h"
#include "peer/peer_transport.h"
#include "store/store.h"

typedef struct Budgets Budgets;
typedef struct Reservation Reservation;

typedef struct
{
  const char *host;
  uint64_t incarnation;
  Store *store;
  PeerTransport *peers; /* NULL: this host asks the store only */
  Timers *timers;       /* of the control loop */
  Poster control;
  Rng *rng;
  BudgetPolicy policy;
} BudgetsOptions;

/** @return a talloc object under @p ctx. Control loop. */
Budgets *budgets_new (const void *ctx, const BudgetsOptions *options);

/** Takes over accounts and limits. Control loop. */
void budgets_configure (Budgets *budgets, const Catalog *catalog);

/** Tells which hosts can be asked. Control loop. */
void budgets_set_hosts (Budgets *budgets, const KeeperHost *hosts, size_t n);

/** Takes a message of another host. @return false if it is not about budgets. Control loop. */
bool budgets_on_message (Budgets *budgets, const Pond__Envelope *envelope);

/** @p err is NULL if the tokens were reserved. */
typedef void (*ReserveFn) (void *data, const Err *err);

typedef struct
{
  const char *account;
  Tokens tokens; /* the most that the request can cost */
  int64_t now_ms;
  Poster caller; /* where @p fn is called */
  ReserveFn fn;
  void *data;
} ReserveRequest;

/** Reserves tokens. @return a talloc object under @p ctx whose free ends it as unused, or NULL with
 * ERR_BUDGET_UNREACHABLE or ERR_NOT_READY. @p waits is set if the answer follows by fn, which may also
 * tell ERR_BUDGET_EXHAUSTED or ERR_BUDGET_HELD; it comes from the loop. */
Reservation *budgets_reserve (Budgets *budgets, const void *ctx, const ReserveRequest *request,
                              bool *waits, Err *err);

/** Notes that at least @p tokens of the reservation are spent, so that nobody waits for them. */
void reservation_commit (Reservation *reservation, Tokens tokens);

/** Ends the reservation with what was spent, and frees it. */
void reservation_settle (Reservation *reservation, Tokens spent, int64_t now_ms);

/** Has other hosts no longer ask this one. Control loop. */
void budgets_leave (Budgets *budgets);

/** Gives back what this host holds. Control loop. @return false if nothing is held or on its way. */
bool budgets_return_all (Budgets *budgets);

/** @return JSON of one account or, with NULL, of all; a talloc string under @p ctx, or NULL. */
char *budgets_describe (Budgets *budgets, const void *ctx, const char *account);
