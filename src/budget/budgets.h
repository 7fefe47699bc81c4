/** @file
 * The prepaid budgets of all client accounts on this host. Reserves tokens for requests, and obtains them from the
 * store for the accounts that this host coordinates, and from the coordinator for the others. Lock "budgets". All
 * functions may be called on any thread, except those marked "Control loop": only on the host's control event loop. */
#pragma once

#include "budget/account.h"
#include "budget/coordinators.h"
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
  PeerTransport *peers;   /* NULL: this host uses only the store */
  Timers *timers;         /* of the control loop */
  Executor step_executor; /* of the control loop */
  Rng *rng;
  BudgetPolicy policy;
} BudgetsOptions;

/** @return a talloc object under @p ctx. Control loop. */
Budgets *budgets_new (const void *ctx, const BudgetsOptions *options);

/** Applies the accounts and limits of a configuration. Control loop. */
void budgets_configure (Budgets *budgets, const Catalog *catalog);

/** Sets the hosts that can be coordinators. Control loop. */
void budgets_set_hosts (Budgets *budgets, const CoordinatorCandidate *hosts, size_t n);

/** Handles a message from another host. @return false if it does not belong to this module. Control loop. */
bool budgets_on_message (Budgets *budgets, const Pond__Envelope *envelope);

/** @p err is NULL if the tokens were reserved. */
typedef void (*ReserveFn) (void *data, const Err *err);

typedef struct
{
  const char *account;
  Tokens tokens; /* the highest possible cost of the request */
  /** The request delivers its answer in pieces: reservation_cover() is called before each. The first piece may cost
   * first_tokens, such as the prompt, beside its own. Otherwise NULL: all may be used at once. Called by
   * callback_executor when reservation_cover() has returned false and the piece may now be delivered. */
  void (*covered) (void *data);
  Tokens first_tokens;
  int64_t now_ms;
  Executor callback_executor; /* runs fn */
  ReserveFn fn;
  void *data;
} ReserveRequest;

/** Reserves tokens. @return a talloc object under @p ctx, which releases the reservation unspent when freed; or NULL
 * with ERR_BUDGET_UNREACHABLE or ERR_NOT_READY. If @p waits is set, the result is passed to request->fn later, by
 * request->callback_executor, and may then also be ERR_BUDGET_EXHAUSTED or ERR_BUDGET_HELD. */
Reservation *budgets_reserve (Budgets *budgets, const void *ctx, const ReserveRequest *request,
                              bool *waits, Err *err);

/** Records that at least @p tokens of the reservation are certainly spent, so that no other request waits for their
 * release. */
void reservation_commit (Reservation *reservation, Tokens tokens);

/** To be called before a piece is delivered with which the request has used @p tokens of the reservation. @return false if
 * it must not be delivered before the covered function has been called, because a restart of this host would take the
 * tokens back. */
bool reservation_cover (Reservation *reservation, Tokens tokens, int64_t now_ms);

/** Ends the reservation, of which @p spent tokens were used, and frees it. */
void reservation_settle (Reservation *reservation, Tokens spent, int64_t now_ms);

/** Ends this host's role as a coordinator and notifies the other hosts. Control loop. */
void budgets_stop_coordinating (Budgets *budgets);

/** Returns this host's unreserved tokens to the store. Control loop. @return false once the balances are 0 and no
 * transaction is in progress. */
bool budgets_return_all (Budgets *budgets);

/** @return JSON of one account or, with NULL, of all; a talloc string under @p ctx, or NULL if there is no such
 * account. */
char *budgets_describe (Budgets *budgets, const void *ctx, const char *account);
