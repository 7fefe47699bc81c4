#include "budget_world.h"

#include <stdio.h>
#include <stdlib.h>

#include <talloc.h>

#include "core/invariant.h"

#define RETURN_ROUNDS 100

typedef struct
{
  LoopFn fn;
  void *data;
} Posted;

static void
run_posted (void *data)
{
  Posted p = *(Posted *)data;

  talloc_free (data);
  p.fn (p.data);
}

static void
post (Timers *timers, const void *ctx, LoopFn fn, void *data)
{
  Posted *p = talloc (ctx, Posted);

  *p = (Posted){ fn, data };
  timers_start (timers, p, 0, run_posted, p);
}

static void
post_to_host (void *target, LoopFn fn, void *data)
{
  BudgetHost *h = target;

  post (h->timers, h->process, fn, data);
}

static void
post_to_caller (void *target, LoopFn fn, void *data)
{
  BudgetWorld *w = target;

  post (w->timers, w, fn, data);
}

static void
on_message (void *data, const Pond__Envelope *envelope)
{
  budgets_on_message (((BudgetHost *)data)->budgets, envelope);
}

static void
host_name (int i, char name[32])
{
  snprintf (name, 32, "host-%d", i);
}

/* Every host knows all others. */
static void
tell_hosts (BudgetWorld *w, BudgetHost *h)
{
  char names[BUDGET_WORLD_HOSTS][32];
  KeeperHost list[BUDGET_WORLD_HOSTS];

  for (int i = 0; i < w->n_hosts; i++)
    {
      host_name (i, names[i]);
      list[i] = (KeeperHost){ names[i], 0 };
    }
  budgets_set_hosts (h->budgets, list, (size_t)w->n_hosts);
}

static void
start_host (BudgetWorld *w, int i)
{
  BudgetHost *h = &w->hosts[i];
  char name[32];
  BudgetsOptions options = { .host = name,
                             .incarnation = ++w->incarnations,
                             .store = &h->port->store,
                             .timers = w->timers,
                             .control = { post_to_host, h },
                             .rng = &h->rng,
                             .policy = { .horizon_ms = 10000,
                                         .margin_ms = 600,
                                         .plenty_margin_ms = 2000,
                                         .reserve_ms = 2000,
                                         .plenty_pct = 50,
                                         .cut_ms = 8000,
                                         .held_pct = 70 } };

  host_name (i, name);
  h->peers = fake_peers_new (w->net, name, on_message, h);
  options.peers = &h->peers->peers;
  rng_seed (&h->rng, rng_next (&w->rng));
  h->timers = w->timers;
  h->process = talloc_new (w);
  h->budgets = budgets_new (h->process, &options);
  if (!w->no_registry)
    tell_hosts (w, h);
}

void
budget_world_tell_hosts (BudgetWorld *w)
{
  for (int i = 0; i < w->n_hosts; i++)
    tell_hosts (w, &w->hosts[i]);
}

BudgetWorld *
budget_world_new (int hosts, uint64_t seed)
{
  BudgetWorld *w = talloc_zero (NULL, BudgetWorld);

  w->vt = virtual_timers_new (w, 1000);
  w->timers = virtual_timers_service (w->vt);
  rng_seed (&w->rng, seed);
  w->store = fake_store_new (w, w->timers, &w->rng);
  w->net = fake_net_new (w, w->timers, &w->rng);
  w->n_hosts = hosts;
  for (int i = 0; i < hosts; i++)
    {
      w->hosts[i].port = fake_store_port (w->store);
      start_host (w, i);
    }
  return w;
}

void
budget_world_configure_host (BudgetWorld *w, int host, const char *account, Tokens limit,
                             int64_t version)
{
  CatalogBuilder *b = catalog_builder_new (NULL, version);
  CatalogAccount a = { .name = account, .priority = -1, .has_budget = true, .budget = limit };
  const Catalog *c;

  catalog_add_account (b, &a);
  c = catalog_finish (b);
  budgets_configure (w->hosts[host].budgets, c);
  catalog_unref (c);
}

void
budget_world_configure (BudgetWorld *w, const char *account, Tokens limit, int64_t version)
{
  for (int i = 0; i < w->n_hosts; i++)
    budget_world_configure_host (w, i, account, limit, version);
}

void
budget_world_run (BudgetWorld *w, int64_t ms)
{
  virtual_timers_run (w->vt, timers_now_ms (w->timers) + ms);
}

static void
on_answer (void *data, const Err *err)
{
  BudgetClaim *claim = data;

  claim->answered = true;
  claim->refused = err ? err->kind : ERR_NONE;
}

void
budget_world_claim (BudgetWorld *w, int host, const char *account, Tokens tokens,
                    BudgetClaim *claim)
{
  ReserveRequest request = { .account = account,
                             .tokens = tokens,
                             .now_ms = timers_now_ms (w->timers),
                             .caller = { post_to_caller, w },
                             .fn = on_answer,
                             .data = claim };
  bool waits = false;
  Err err = ERR_INIT;

  *claim = (BudgetClaim){ 0 };
  claim->reservation
      = budgets_reserve (w->hosts[host].budgets, w->hosts[host].process, &request, &waits, &err);
  claim->answered = !claim->reservation || !waits;
  claim->refused = claim->reservation ? ERR_NONE : err.kind;
}

void
budget_world_settle (BudgetWorld *w, BudgetClaim *claim, Tokens spent)
{
  reservation_settle (claim->reservation, spent, timers_now_ms (w->timers));
  claim->reservation = NULL;
}

void
budget_world_kill (BudgetWorld *w, int host)
{
  BudgetHost *h = &w->hosts[host];

  TALLOC_FREE (h->process);
  h->budgets = NULL;
  h->peers->fn = NULL;
}

void
budget_world_start (BudgetWorld *w, int host)
{
  start_host (w, host);
}

void
budget_world_restart (BudgetWorld *w, int host)
{
  budget_world_kill (w, host);
  budget_world_start (w, host);
}

void
budget_world_return_all (BudgetWorld *w, int host)
{
  bool busy = true;

  for (int i = 0; busy && i < RETURN_ROUNDS; i++)
    {
      busy = budgets_return_all (w->hosts[host].budgets);
      if (busy)
        budget_world_run (w, 50);
    }
  INVARIANT ("returns_come_to_an_end", !busy, "host %d still holds tokens", host);
}

Tokens
budget_world_granted (BudgetWorld *w, const char *account)
{
  StoreKey key = { "budgets", account, "account" };
  const char *value = fake_store_value (w->store, &key);

  return value ? strtoll (value + sizeof "{\"granted\":" - 1, NULL, 10) : 0;
}
