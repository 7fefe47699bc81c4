#include "budget_fixture.h"

#include <stdio.h>
#include <stdlib.h>

#include <talloc.h>

#include "core/invariant.h"

#define MAX_RETURN_ROUNDS 100

typedef struct
{
  LoopFn fn;
  void *data;
} PostedCall;

static void
run_posted_call (void *data)
{
  PostedCall p = *(PostedCall *)data;

  talloc_free (data);
  p.fn (p.data);
}

static void
post (Timers *timers, const void *ctx, LoopFn fn, void *data)
{
  PostedCall *p = talloc (ctx, PostedCall);

  *p = (PostedCall){ fn, data };
  timers_start (timers, p, 0, run_posted_call, p);
}

static void
post_step (void *target, LoopFn fn, void *data)
{
  BudgetHost *h = target;

  post (h->timers, h->process, fn, data);
}

static void
post_callback (void *target, LoopFn fn, void *data)
{
  BudgetFixture *f = target;

  post (f->timers, f, fn, data);
}

static void
on_message (void *data, const Pond__Envelope *envelope)
{
  BudgetHost *h = data;

  if (h->ignores_growth && envelope->body_case >= POND__ENVELOPE__BODY_GROWTH_ASK)
    return;
  budgets_on_message (h->budgets, envelope);
}

static void
host_name (int i, char name[32])
{
  snprintf (name, 32, "host-%d", i);
}

static void
send_host_list (BudgetFixture *f, BudgetHost *h)
{
  char names[BUDGET_FIXTURE_MAX_HOSTS][32];
  CoordinatorCandidate list[BUDGET_FIXTURE_MAX_HOSTS];
  size_t n = 0;

  for (int i = 0; i < f->n_hosts; i++)
    {
      host_name (i, names[i]);
      if (!f->list_running_only || f->hosts[i].process)
        list[n++] = (CoordinatorCandidate){ names[i], 0 };
    }
  budgets_set_hosts (h->budgets, list, n);
}

/* The time of day at a start, by a clock that steps ahead and back between starts: incarnations differ and have no order. An odd
 * factor makes them differ. */
static uint64_t
next_incarnation (BudgetFixture *f)
{
  return ++f->n_incarnations * 0x9e3779b1 % (UINT64_C (1) << 31);
}

static void
start_host (BudgetFixture *f, int i)
{
  BudgetHost *h = &f->hosts[i];
  char name[32];
  BudgetsOptions options = { .host = name,
                             .incarnation = next_incarnation (f),
                             .store = &h->store_client->store,
                             .timers = f->timers,
                             .step_executor = { post_step, h },
                             .rng = &h->rng,
                             .policy = { .horizon_ms = 10000,
                                         .ceiling_margin_ms = 600,
                                         .ceiling_margin_while_ample_ms = 2000,
                                         .buffer_ms = 2000,
                                         .ample_pct = 50,
                                         .covered_outage_ms = 8000,
                                         .max_held_pct = 70 } };

  host_name (i, name);
  h->peers = fake_peers_new (f->net, name, on_message, h);
  options.peers = &h->peers->peers;
  rng_seed (&h->rng, rng_next (&f->rng));
  h->timers = f->timers;
  h->process = talloc_new (f);
  h->budgets = budgets_new (h->process, &options);
  if (!f->withhold_host_list)
    send_host_list (f, h);
}

void
budget_fixture_send_host_lists (BudgetFixture *f)
{
  for (int i = 0; i < f->n_hosts; i++)
    if (f->hosts[i].process)
      send_host_list (f, &f->hosts[i]);
}

BudgetFixture *
budget_fixture_new (int hosts, uint64_t seed)
{
  BudgetFixture *f = talloc_zero (NULL, BudgetFixture);

  f->vt = virtual_timers_new (f, 1000);
  f->timers = virtual_timers_service (f->vt);
  rng_seed (&f->rng, seed);
  f->store = fake_store_new (f, f->timers, &f->rng);
  f->net = fake_net_new (f, f->timers, &f->rng);
  f->n_hosts = hosts;
  for (int i = 0; i < hosts; i++)
    {
      f->hosts[i].store_client = fake_store_client_new (f->store);
      start_host (f, i);
    }
  return f;
}

void
budget_fixture_configure_host (BudgetFixture *f, int host, const char *account, Tokens limit,
                               int64_t version)
{
  CatalogBuilder *b = catalog_builder_new (NULL, version);
  CatalogAccount a = { .name = account, .priority = -1, .has_budget = true, .budget = limit };
  const Catalog *c;

  catalog_add_account (b, &a);
  c = catalog_finish (b);
  budgets_configure (f->hosts[host].budgets, c);
  catalog_unref (c);
}

void
budget_fixture_configure (BudgetFixture *f, const char *account, Tokens limit, int64_t version)
{
  for (int i = 0; i < f->n_hosts; i++)
    budget_fixture_configure_host (f, i, account, limit, version);
}

void
budget_fixture_run (BudgetFixture *f, int64_t ms)
{
  virtual_timers_run (f->vt, timers_now_ms (f->timers) + ms);
}

static void
on_reserve_result (void *data, const Err *err)
{
  BudgetReservation *reservation = data;

  reservation->decided = true;
  reservation->err = err ? err->kind : ERR_NONE;
}

static void
on_covered (void *data)
{
  ((BudgetReservation *)data)->waits_for_cover = false;
}

static void
reserve (BudgetFixture *f, int host, ReserveRequest *request, BudgetReservation *reservation)
{
  bool waits = false;
  Err err = ERR_INIT;

  request->now_ms = timers_now_ms (f->timers);
  request->callback_executor = (Executor){ post_callback, f };
  request->fn = on_reserve_result;
  request->data = reservation;
  *reservation = (BudgetReservation){ 0 };
  reservation->handle
      = budgets_reserve (f->hosts[host].budgets, f->hosts[host].process, request, &waits, &err);
  reservation->decided = !reservation->handle || !waits;
  reservation->err = reservation->handle ? ERR_NONE : err.kind;
}

void
budget_fixture_reserve (BudgetFixture *f, int host, const char *account, Tokens tokens,
                        BudgetReservation *reservation)
{
  ReserveRequest request = { .account = account, .tokens = tokens };

  reserve (f, host, &request, reservation);
}

void
budget_fixture_reserve_pieces (BudgetFixture *f, int host, const char *account, Tokens tokens,
                               Tokens first_tokens, BudgetReservation *reservation)
{
  ReserveRequest request = {
    .account = account, .tokens = tokens, .first_tokens = first_tokens, .covered = on_covered
  };

  reserve (f, host, &request, reservation);
}

bool
budget_fixture_deliver (BudgetFixture *f, BudgetReservation *reservation, Tokens tokens)
{
  reservation->waits_for_cover
      = !reservation_cover (reservation->handle, tokens, timers_now_ms (f->timers));
  return !reservation->waits_for_cover;
}

void
budget_fixture_settle (BudgetFixture *f, BudgetReservation *reservation, Tokens spent)
{
  reservation_settle (reservation->handle, spent, timers_now_ms (f->timers));
  reservation->handle = NULL;
}

void
budget_fixture_kill (BudgetFixture *f, int host)
{
  BudgetHost *h = &f->hosts[host];

  TALLOC_FREE (h->process);
  h->budgets = NULL;
  h->peers->fn = NULL;
}

void
budget_fixture_start (BudgetFixture *f, int host)
{
  start_host (f, host);
}

void
budget_fixture_restart (BudgetFixture *f, int host)
{
  budget_fixture_kill (f, host);
  budget_fixture_start (f, host);
}

void
budget_fixture_return_all (BudgetFixture *f, int host)
{
  bool busy = true;

  for (int i = 0; busy && i < MAX_RETURN_ROUNDS; i++)
    {
      busy = budgets_return_all (f->hosts[host].budgets);
      if (busy)
        budget_fixture_run (f, 50);
    }
  INVARIANT ("returns_come_to_an_end", !busy, "host %d still holds tokens", host);
}

Tokens
budget_fixture_granted (BudgetFixture *f, const char *account)
{
  StoreKey key = { "budgets", account, "account" };
  const char *value = fake_store_value (f->store, &key);

  return value ? strtoll (value + sizeof "{\"granted\":" - 1, NULL, 10) : 0;
}
