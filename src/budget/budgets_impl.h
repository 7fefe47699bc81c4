/* Internals of the budgets, in the order in which a request passes them: budgets_reserve.c (reservations),
 * budgets_cover.c (how much of a reservation may be used), budgets_wait.c (waiting requests and their results), budgets_transfer.c (transfers between hosts),
 * budgets_ceilings.c (published ceilings), budgets.c (accounts, configuration, steps). */
#pragma once

#include <pthread.h>

#include <glib.h>

#include "budget/budgets.h"
#include "budget/ceiling_publisher.h"
#include "budget/coordinators.h"
#include "budget/grant_client.h"
#include "budget/growth_witness.h"
#include "budget/peer_holdings.h"
#include "budget/transfers.h"
#include "core/list.h"

typedef struct ReserveResult ReserveResult;
typedef struct CoverNotice CoverNotice;

typedef struct
{
  Budgets *budgets;
  char *name;
  bool has_budget;
  BudgetAccount state;
  Ceiling next_ceiling; /* collected for the publication in progress */
  GrantClient *grant_client;
  List waiters;       /* of Reservation */
  List cover_waiters; /* of Reservation, by cover_node */
  bool held_is_known; /* what the previous incarnation held was looked up */
  /* If this host is the coordinator. */
  PeerHoldings *peer_holdings;
  /* Time at which this host became the preferred coordinator (coordinators_is_preferred()); 0: it is not. */
  int64_t coordinator_since_ms;
  /* If this host is not the coordinator. */
  uint64_t reported_to; /* hash of the name of the coordinator that got the last report; 0: none */
  Tokens reported_held; /* holdings last reported to a coordinator, plus transfers received since */
  int64_t reported_ms;  /* time of the last report that was not part of a request */
  /* Held by all other hosts, as stated in a coordinator's last response to a request that had to wait there. */
  Tokens outstanding;
  int64_t outstanding_ms; /* time of that response; 0: none yet */
} AccountEntry;

struct Budgets
{
  pthread_mutex_t lock; /* "budgets" */
  BudgetsOptions options;
  GHashTable *accounts; /* by name; never removed, because reservations point to them */
  Coordinators *coordinators;
  Transfers *transfers;
  GrowthWitness *growth_witness;
  CeilingPublisher *publisher;
  bool step_scheduled;
  int64_t started_ms;
  int64_t ready_ms; /* when the ceilings of the previous incarnation had been read */
  StoreEraListener listener;
};

/** The source of tokens that a reservation waits for. */
typedef enum
{
  WAIT_REQUEST_UNSENT, /* a coordinator; the request is sent in the next step */
  WAIT_REQUEST_SENT,   /* a coordinator */
  WAIT_STORE           /* this host's own transactions on the store */
} WaitState;

/* How much of a reservation may be used. */
typedef struct
{
  bool grows;       /* false: all of it may be used from the begin */
  Tokens uncovered; /* must not be used yet */
  Tokens used;      /* as last stated */
  Tokens ahead;     /* to be covered beyond what is used */
  Tokens wanted;    /* part of the account's cover_wanted */
  Tokens first_used;
  int64_t first_used_ms; /* 0: not yet */
  ListNode node;
  bool waits; /* for more, in the account's cover_waiters */
  void (*fn) (void *data);
  CoverNotice *notice; /* posted and not delivered yet; NULL: none */
} Cover;

/* The reservation of a client request, or a transfer request of another host that waits for tokens. */
struct Reservation
{
  AccountEntry *account;
  Tokens tokens;
  Tokens committed; /* part of tokens that is certainly spent */
  Cover cover;
  /* The wait for tokens and its result. */
  ListNode node;
  bool waiting;
  WaitState state;
  uint64_t request_id; /* of the transfer request sent to a coordinator */
  int64_t since_ms;    /* start of the wait */
  Executor callback_executor;
  ReserveFn fn;
  void *data;
  ReserveResult *result; /* posted and not delivered yet; NULL: none */
  char *peer;            /* the host that requests the tokens; NULL for a client request */
  uint64_t peer_request_id;
};

/* budgets_ceilings.c: what the previous incarnation held is not taken over. */
void budgets_forget_held (AccountEntry *a);

/* budgets_cover.c: how much of a reservation may be used. */
/* The request is to be reserved: decides on the part that is covered first. */
void cover_init (Cover *cover, const ReserveRequest *request);
/* The reservation ends: nothing of it is uncovered any more. */
void cover_end (Reservation *r);
/* Control loop: tells requests that wait for it that they may use more. */
void cover_serve (AccountEntry *a, int64_t now_ms);

/* All functions below are called under the lock unless said otherwise. */

/* budgets.c */
AccountEntry *budgets_find_account (Budgets *b, const char *name);
/* @return the bound at @p now_ms on this host's own grants in use for the account. */
Tokens budgets_effective_ceiling (const AccountEntry *a, int64_t now_ms);
void budgets_schedule_step (Budgets *b);
/* Control loop, without the lock: runs everything that is due for all accounts. */
void budgets_step (Budgets *b);

/* budgets_wait.c */
void wait_begin (Reservation *r, int64_t now_ms);
void wait_end (Reservation *r);
/* If a result of the reservation has been posted, its delivery will do nothing. */
void wait_cancel_result (Reservation *r);
/* Control loop: serves waiting reservations in order, and refuses those that cannot be served. */
void wait_serve (AccountEntry *a, int64_t now_ms);
/* @return whether the holdings of other hosts that wait_outstanding() includes are complete and recent. */
bool wait_outstanding_known (const AccountEntry *a, int64_t now_ms);
/* @return tokens that may become available: uncommitted reservations and returns in progress on this host, and the
 * holdings of other hosts. A coordinator leaves out those of @p except (may be NULL); on other hosts @p except
 * has no effect, because the coordinator's figure is used. */
Tokens wait_outstanding (const AccountEntry *a, const char *except, int64_t now_ms);
/* Refuses a waiting reservation, and frees it if it is a request of another host. */
void wait_refuse (Reservation *r, ErrKind kind, int64_t now_ms);
/* Fills in @p err for a refusal. @return false, for the caller to return. */
bool wait_set_refusal (const AccountEntry *a, ErrKind kind, Tokens tokens, int64_t now_ms,
                       Err *err);

/* budgets_transfer.c: control loop */
extern const TransferEvents budgets_transfer_events;
/* Without the lock: requests tokens for waiting reservations, and transfers surpluses back to the coordinator. */
void budgets_transfer_step (AccountEntry *a);

/* budgets_ceilings.c: control loop */
extern const CeilingPublisherEvents budgets_ceiling_events;
/* Without the lock: asks witnesses about the growth of ceilings. */
void budgets_growth_step (Budgets *b);
void budgets_growth_replied (void *data, const WitnessId *witness, uint64_t incarnation,
                             uint64_t publication);
