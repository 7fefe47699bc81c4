/** @file
 * The prepaid budgets of all accounts on this host: reservations for requests, and the transactions that
 * keep them supplied. Lock "budgets"; any thread unless said otherwise. */
#pragma once

#include "budget/account.h"
#include "catalog/catalog.h"
#include "core/err.h"
#include "core/loop.h"
#include "core/rng.h"
#include "store/store.h"

typedef struct Budgets Budgets;
typedef struct Reservation Reservation;

typedef struct
{
  const char *host;
  uint64_t incarnation;
  Store *store;
  Timers *timers; /* of the control loop */
  Poster control;
  Rng *rng;
  BudgetPolicy policy;
} BudgetsOptions;

/** @return a talloc object under @p ctx. Control loop. */
Budgets *budgets_new (const void *ctx, const BudgetsOptions *options);

/** Takes over accounts and limits. Control loop. */
void budgets_configure (Budgets *budgets, const Catalog *catalog);

/** Tells how many hosts draw on the budgets. Control loop. */
void budgets_set_hosts (Budgets *budgets, int hosts);

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
 * ERR_BUDGET_EXHAUSTED or ERR_BUDGET_UNREACHABLE. @p waits is set if the answer follows by fn; it comes
 * from the loop. */
Reservation *budgets_reserve (Budgets *budgets, const void *ctx, const ReserveRequest *request,
                              bool *waits, Err *err);

/** Ends the reservation with what was spent, and frees it. */
void reservation_settle (Reservation *reservation, Tokens spent, int64_t now_ms);

/** Gives back what this host holds. Control loop. @return false if nothing is held or on its way. */
bool budgets_return_all (Budgets *budgets);

/** @return JSON of one account or, with NULL, of all; a talloc string under @p ctx, or NULL. */
char *budgets_describe (Budgets *budgets, const void *ctx, const char *account);
