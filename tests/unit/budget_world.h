/** @file
 * Hosts that draw on budgets of one fake store, under virtual time. */
#pragma once

#include "budget/budgets.h"
#include "fakes/fake_peers.h"
#include "fakes/fake_store.h"
#include "fakes/virtual_timers.h"

#define BUDGET_WORLD_HOSTS 12

typedef struct
{
  Timers *timers;
  FakeStoreClient *port;
  FakePeers *peers;
  void *process; /* what ends when the host's process is killed */
  Budgets *budgets;
  Rng rng;
} BudgetHost;

typedef struct
{
  VirtualTimers *vt;
  Timers *timers;
  Rng rng;
  FakeStore *store;
  FakeNet *net;
  BudgetHost hosts[BUDGET_WORLD_HOSTS];
  int n_hosts;
  uint64_t incarnations;
  bool no_registry; /* hosts that start are not told which hosts there are */
} BudgetWorld;

/** One request's reservation, and how it was answered. */
typedef struct
{
  Reservation *reservation;
  bool answered;
  ErrKind refused; /* ERR_NONE: reserved */
} BudgetClaim;

BudgetWorld *budget_world_new (int hosts, uint64_t seed);

/** Tells every host which hosts there are, if no_registry has kept it from them. */
void budget_world_tell_hosts (BudgetWorld *w);

/** Gives every host the configuration that sets one account's limit. */
void budget_world_configure (BudgetWorld *w, const char *account, Tokens limit, int64_t version);
void budget_world_configure_host (BudgetWorld *w, int host, const char *account, Tokens limit,
                                  int64_t version);

/** Runs virtual time on. */
void budget_world_run (BudgetWorld *w, int64_t ms);

/** Asks for tokens at a host; the claim is filled in then or later. */
void budget_world_claim (BudgetWorld *w, int host, const char *account, Tokens tokens,
                         BudgetClaim *claim);

/** Ends a claim that was answered. */
void budget_world_settle (BudgetWorld *w, BudgetClaim *claim, Tokens spent);

/** Kills a host's process; its claims end with it. */
void budget_world_kill (BudgetWorld *w, int host);

/** Starts a killed host's process again, with nothing in memory. */
void budget_world_start (BudgetWorld *w, int host);

void budget_world_restart (BudgetWorld *w, int host);

/** Has a host give everything back; the running case fails if that does not end. */
void budget_world_return_all (BudgetWorld *w, int host);

/** @return what the account's row says is granted to all hosts. */
Tokens budget_world_granted (BudgetWorld *w, const char *account);
