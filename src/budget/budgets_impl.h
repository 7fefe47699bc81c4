/* Internals of the budgets, in the order in which a request passes them: budgets_reserve.c (reservations),
 * budgets_wait.c (waiting requests and their results), budgets_transfer.c (transfers between hosts),
 * budgets_ceilings.c (published ceilings), budgets.c (accounts, configuration, steps). */
#pragma once

#include <pthread.h>

#include <glib.h>

#include "budget/budgets.h"
#include "budget/ceiling_publisher.h"
#include "budget/coordinators.h"
#include "budget/grant_client.h"
#include "budget/peer_holdings.h"
#include "budget/transfers.h"
#include "core/list.h"

typedef struct ReserveResult ReserveResult;

typedef struct
{
  Budgets *owner;
  char *name;
  bool has_budget;
  BudgetAccount state;
  Ceiling next_ceiling; /* being published */
  GrantClient *grants;
  List waiters; /* of Reservation */
  /* If this host is the coordinator. */
  PeerHoldings *peer_holdings;
  int64_t coordinator_since_ms; /* preferred coordinator since then; 0: it is not */
  /* If this host is not the coordinator. */
  Tokens reported_held; /* what the coordinator assumes that this host holds */
  int64_t reported_ms;
  Tokens
      outstanding; /* on all other hosts, as the coordinator last stated when it had too few tokens */
  int64_t outstanding_ms; /* when it did; 0: never */
} AccountEntry;

struct Budgets
{
  pthread_mutex_t lock; /* "budgets" */
  BudgetsOptions options;
  GHashTable *accounts; /* by name; never removed, because reservations point to them */
  Coordinators *coordinators;
  Transfers *transfers;
  CeilingPublisher *publisher;
  bool step_scheduled;
  int64_t started_ms;
  StoreEraListener listener;
};

/** The source of tokens that a reservation waits for. */
typedef enum
{
  WAIT_REQUEST_UNSENT, /* a coordinator, in the next step */
  WAIT_REQUEST_SENT,
  WAIT_STORE
} WaitState;

/* The reservation of a client request, or a request of another host while that waits. */
struct Reservation
{
  AccountEntry *account;
  Tokens tokens;
  Tokens committed; /* part of tokens that is certainly spent */
  /* While it waits. */
  ListNode node;
  bool waiting;
  WaitState state;
  uint64_t request_id; /* of the request sent to a coordinator */
  int64_t since_ms;
  Executor callback_executor;
  ReserveFn fn;
  void *data;
  ReserveResult *result;
  char *peer; /* the host that requests the tokens; NULL for a client request */
  uint64_t peer_request_id;
};

/* All of these under the lock unless said otherwise. */

/* budgets.c */
AccountEntry *budgets_find_account (Budgets *b, const char *name);
/* @return the bound on the account's own grants in use at @p now_ms. */
Tokens budgets_effective_ceiling (const AccountEntry *a, int64_t now_ms);
void budgets_schedule_step (Budgets *b);
/* Control loop, without the lock: runs everything that is due for all accounts. */
void budgets_step (Budgets *b);

/* budgets_wait.c */
void wait_begin (Reservation *r, int64_t now_ms);
void wait_end (Reservation *r);
/* Drops the result that may be on its way to the owner of the reservation. */
void wait_cancel_result (Reservation *r);
/* Control loop: serves waiting reservations in order, and refuses those that cannot be served. */
void wait_serve (AccountEntry *a, int64_t now_ms);
/* @return whether it is known what other hosts hold of the account. */
bool wait_outstanding_known (const AccountEntry *a, int64_t now_ms);
/* @return tokens that may become available: uncommitted reservations and returns in progress on this host, and the
 * holdings of other hosts but @p except (may be NULL). */
Tokens wait_outstanding (const AccountEntry *a, const char *except, int64_t now_ms);
/* Refuses a waiting reservation. */
void wait_refuse (Reservation *r, ErrKind kind, int64_t now_ms);
/* Fills in @p err for a refusal. @return false. */
bool wait_set_refusal (const AccountEntry *a, ErrKind kind, Tokens tokens, int64_t now_ms,
                       Err *err);

/* budgets_transfer.c: control loop */
extern const TransferEvents budgets_transfer_events;
/* Without the lock: requests tokens for what waits, and transfers surpluses back. */
void budgets_transfer_step (AccountEntry *a);

/* budgets_ceilings.c: control loop */
extern const CeilingPublisherEvents budgets_ceiling_events;
