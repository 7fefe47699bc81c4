/* The parts of the budgets, from a request down: budgets_reserve.c (reservations), budgets_wait.c (what waits
 * for tokens, and how it is answered), budgets_lend.c (other hosts), budgets_ceilings.c (what this host
 * publishes), budgets.c (accounts, configuration, steps). */
#pragma once

#include <pthread.h>

#include <glib.h>

#include "budget/budgets.h"
#include "budget/ceiling_publisher.h"
#include "budget/peer_holdings.h"
#include "budget/coordinators.h"
#include "budget/transfers.h"
#include "budget/grant_client.h"
#include "core/list.h"

typedef struct Answer Answer;

typedef struct
{
  Budgets *owner;
  char *name;
  bool limited;
  BudgetAccount state;
  Ceiling next_ceiling; /* on its way to the store */
  GrantClient *supply;
  List waiters; /* of Reservation */
  /* As the keeper. */
  PeerHoldings *holdings;
  int64_t kept_since_ms; /* for all hosts; 0: not */
  /* As another host. */
  Tokens told_held; /* what the keeper believes that this host holds */
  int64_t told_ms;
  Tokens left;        /* what the keeper counted at all others, when it last had too little */
  int64_t counted_ms; /* when; 0: never */
} Account;

struct Budgets
{
  pthread_mutex_t lock; /* "budgets" */
  BudgetsOptions options;
  GHashTable *accounts; /* by name; never removed: reservations point to them */
  Coordinators *keepers;
  Transfers *lending;
  CeilingPublisher *ceilings;
  bool kicked; /* a step has been posted */
  int64_t started_ms;
  StoreEraListener listener;
};

/** Where the tokens that a reservation waits for are to come from. */
typedef enum
{
  WAIT_REQUEST_UNSENT, /* a keeper, which is asked next */
  WAIT_REQUEST_SENT,
  WAIT_STORE
} WaitState;

/* A request's reservation, or while it waits an ask of another host. */
struct Reservation
{
  Account *account;
  Tokens tokens;
  Tokens committed; /* of them: spent for sure */
  /* While it waits. */
  ListNode node;
  bool waiting;
  WaitState state;
  uint64_t ask; /* of the keeper */
  int64_t since_ms;
  Poster caller;
  ReserveFn fn;
  void *data;
  Answer *answer;
  char *peer; /* the host that asks; NULL for a request */
  uint64_t peer_ask;
};

/* All of these under the lock unless said otherwise. */

/* budgets.c */
Account *budgets_find_account (Budgets *b, const char *name);
/* @return what may be in use of the account's grants now. */
Tokens budgets_effective_ceiling (const Account *a, int64_t now_ms);
void budgets_schedule_step (Budgets *b);
/* Control loop, without the lock: what is due for all accounts. */
void budgets_step (Budgets *b);

/* budgets_wait.c */
void wait_begin (Reservation *r, int64_t now_ms);
void wait_end (Reservation *r);
/* The owner no longer wants the answer that may be on its way. */
void wait_cancel_reply (Reservation *r);
/* Control loop: serves what waits in order, and refuses what cannot be served. */
void wait_serve (Account *a, int64_t now_ms);
/* @return whether it is known what other hosts hold of the account. */
bool wait_outstanding_known (const Account *a, int64_t now_ms);
/* @return what may come back from this host's requests, and what other hosts but @p except (may be NULL)
 * hold. */
Tokens wait_outstanding (const Account *a, const char *except, int64_t now_ms);
/* Refuses a reservation that waits. */
void wait_refuse (Reservation *r, ErrKind kind, int64_t now_ms);
bool wait_set_refusal (const Account *a, ErrKind kind, Tokens tokens, int64_t now_ms, Err *err);

/* budgets_lend.c: control loop */
extern const TransferEvents budgets_transfer_events;
/* Without the lock: asks keepers for what waits, hands surpluses back. */
void transfer_step (Account *a);

/* budgets_ceilings.c: control loop */
extern const CeilingPublisherEvents budgets_ceiling_events;
