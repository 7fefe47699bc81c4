/** @file
 * Test fixture: hosts that share the budgets of one fake store, under virtual time. */
#pragma once

#include "budget/budgets.h"
#include "fakes/fake_peers.h"
#include "fakes/fake_store.h"
#include "fakes/virtual_timers.h"

#define BUDGET_FIXTURE_MAX_HOSTS 12

typedef struct
{
  Timers *timers;
  FakeStoreClient *store_client;
  FakePeers *peers;
  void *process; /* talloc parent of all that ends when the host's process is killed */
  Budgets *budgets;
  bool ignores_growth; /* like an older build, neither asks a growth witness nor replies as one */
  Rng rng;
} BudgetHost;

typedef struct
{
  VirtualTimers *vt;
  Timers *timers;
  Rng rng;
  FakeStore *store;
  FakeNet *net;
  BudgetHost hosts[BUDGET_FIXTURE_MAX_HOSTS];
  int n_hosts;
  uint64_t n_incarnations;
  bool withhold_host_list; /* hosts that start do not receive the list of hosts */
  bool list_running_only;  /* the list lacks hosts whose processes are down */
} BudgetFixture;

/** The reservation of one request and its outcome. */
typedef struct
{
  Reservation *handle;  /* NULL if refused at once or settled */
  bool decided;         /* reserved or refused */
  ErrKind err;          /* why it was refused; ERR_NONE: reserved, or not decided yet */
  bool waits_for_cover; /* the next piece must not be delivered yet */
} BudgetReservation;

/** @return a talloc object without a parent: the fixture with @p hosts running hosts. */
BudgetFixture *budget_fixture_new (int hosts, uint64_t seed);

/** Sends the list of hosts to every running host, also while withhold_host_list is set. */
void budget_fixture_send_host_lists (BudgetFixture *f);

/** Gives every host a configuration that sets one account's limit. */
void budget_fixture_configure (BudgetFixture *f, const char *account, Tokens limit,
                               int64_t version);
void budget_fixture_configure_host (BudgetFixture *f, int host, const char *account, Tokens limit,
                                    int64_t version);

/** Advances virtual time by @p ms. */
void budget_fixture_run (BudgetFixture *f, int64_t ms);

/** Requests a reservation of tokens at a host. @p reservation is written now and when the tokens are reserved or the
 * request is refused, and must be valid until then. */
void budget_fixture_reserve (BudgetFixture *f, int host, const char *account, Tokens tokens,
                             BudgetReservation *reservation);

/** The same for a request that delivers its answer in pieces, the first of which costs @p first_tokens. */
void budget_fixture_reserve_pieces (BudgetFixture *f, int host, const char *account, Tokens tokens,
                                    Tokens first_tokens, BudgetReservation *reservation);

/** Delivers a piece with which the request has used @p tokens. @return false if it must wait. */
bool budget_fixture_deliver (BudgetFixture *f, BudgetReservation *reservation, Tokens tokens);

/** Ends a reservation with the number of tokens spent; 0 if the tokens are not reserved yet. */
void budget_fixture_settle (BudgetFixture *f, BudgetReservation *reservation, Tokens spent);

/** Kills a host's process; this frees the handles of its reservations. */
void budget_fixture_kill (BudgetFixture *f, int host);

/** Starts the process of a killed host again, as a new incarnation without any state in memory. */
void budget_fixture_start (BudgetFixture *f, int host);

void budget_fixture_restart (BudgetFixture *f, int host);

/** Has a host return all tokens that it holds; the running case fails if it still holds some after 5 s of
 * virtual time. */
void budget_fixture_return_all (BudgetFixture *f, int host);

/** @return the tokens that the account's row in the store records as granted to all hosts. */
Tokens budget_fixture_granted (BudgetFixture *f, const char *account);
