#include "budget/budgets_impl.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "core/log.h"

#define STEP_MS 200

Account *
budgets_account (Budgets *b, const char *name)
{
  return g_hash_table_lookup (b->accounts, name);
}

Tokens
budgets_ceiling (const Account *a, int64_t now_ms)
{
  return ceilings_apply (a->owner->ceilings, &a->state.ceiling, now_ms);
}

/* --- Supply ------------------------------------------------------------------------------ */

static void
account_lock (void *data)
{
  pthread_mutex_lock (&((Account *)data)->owner->lock);
}

static void
account_unlock (void *data)
{
  pthread_mutex_unlock (&((Account *)data)->owner->lock);
}

/* A balance that the ceiling does not cover waits for the next ceiling. */
static bool
wants_ceiling (const Account *a)
{
  const BudgetAccount *s = &a->state;

  return s->waiting > 0 && s->balance >= s->waiting
         && budget_account_used (s) + s->waiting > s->ceiling.tokens;
}

static void
on_updated (void *data)
{
  Account *a = data;
  Budgets *b = a->owner;
  bool hurry;

  pthread_mutex_lock (&b->lock);
  wait_serve (a, timers_now_ms (b->options.timers));
  hurry = wants_ceiling (a);
  pthread_mutex_unlock (&b->lock);
  if (hurry)
    ceilings_hurry (b->ceilings);
}

static void
make_supply (Account *a)
{
  Budgets *b = a->owner;
  SupplyOptions options = { .account = a->name,
                            .host = b->options.host,
                            .incarnation = b->options.incarnation,
                            .store = b->options.store,
                            .timers = b->options.timers,
                            .rng = b->options.rng,
                            .policy = &b->options.policy,
                            .ceilings = b->ceilings,
                            .lock = account_lock,
                            .unlock = account_unlock,
                            .updated = on_updated,
                            .data = a };

  a->supply = supply_new (b, &options, &a->state);
}

/* A host that is not the keeper talks to the store only when the keeper does not help, or to take back
 * what its last incarnation held. */
static bool
needs_store (Account *a)
{
  Budgets *b = a->owner;
  bool needed;

  pthread_mutex_lock (&b->lock);
  needed = a->state.keeper || a->state.waiting > 0 || a->state.granted != 0
           || supply_is_busy (a->supply) || supply_may_reclaim (a->supply)
           || supply_is_behind (a->supply);
  pthread_mutex_unlock (&b->lock);
  return needed;
}

void
budgets_step (Budgets *b)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Account *a = value;

      if (!a->limited)
        continue;
      lend_step (a);
      on_updated (a);
      if (needs_store (a))
        supply_step (a->supply);
    }
}

static void
on_kick (void *data)
{
  Budgets *b = data;

  pthread_mutex_lock (&b->lock);
  b->kicked = false;
  pthread_mutex_unlock (&b->lock);
  budgets_step (b);
}

void
budgets_kick (Budgets *b)
{
  if (b->kicked)
    return;
  b->kicked = true;
  poster_post (b->options.control, on_kick, b);
}

static void
on_tick (void *data)
{
  Budgets *b = data;

  timers_start (b->options.timers, b, STEP_MS, on_tick, b);
  budgets_step (b);
}

/* --- Eras of the store ------------------------------------------------------------------- */

static void
on_went_back (void *data, int64_t era)
{
  Budgets *b = data;
  GHashTableIter iter;
  gpointer value;

  (void)era;
  pthread_mutex_lock (&b->lock);
  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    supply_went_back (((Account *)value)->supply);
  pthread_mutex_unlock (&b->lock);
}

/* --- Configuration ----------------------------------------------------------------------- */

typedef struct
{
  Budgets *budgets;
  int64_t version;
} Configure;

static Account *
add_account (Budgets *b, const char *name)
{
  Account *a = talloc_zero (b, Account);

  a->owner = b;
  a->name = talloc_strdup (a, name);
  a->state.ceiling = CEILING_NONE;
  a->next_ceiling = CEILING_NONE;
  list_init (&a->waiters);
  a->holdings = holdings_new (a);
  make_supply (a);
  g_hash_table_insert (b->accounts, a->name, a);
  return a;
}

static void
configure_account (void *data, const CatalogAccount *config)
{
  Configure *c = data;
  Budgets *b = c->budgets;
  Account *a;

  pthread_mutex_lock (&b->lock);
  a = budgets_account (b, config->name);
  if (!a)
    a = add_account (b, config->name);
  a->limited = config->has_budget;
  if (a->state.limit != config->budget)
    log_event (LOG_LEVEL_INFO, "budget", "limit",
               "account=%s tokens=%" PRId64 " before=%" PRId64 " version=%" PRId64, a->name,
               config->budget, a->state.limit, c->version);
  a->state.limit = config->budget;
  a->state.limit_version = c->version;
  pthread_mutex_unlock (&b->lock);
}

void
budgets_configure (Budgets *b, const Catalog *catalog)
{
  Configure c = { b, catalog_version (catalog) };

  catalog_each_account (catalog, configure_account, &c);
  budgets_step (b);
}

void
budgets_set_hosts (Budgets *b, const KeeperHost *hosts, size_t n)
{
  keepers_set (b->keepers, hosts, n);
  ceilings_set_hosts (b->ceilings, (int)n);
  budgets_step (b);
}

bool
budgets_on_message (Budgets *b, const Pond__Envelope *envelope)
{
  return lending_on_message (b->lending, envelope);
}

/* --- Drain ---------------------------------------------------------------------------------- */

void
budgets_leave (Budgets *b)
{
  lending_leave (b->lending);
}

bool
budgets_return_all (Budgets *b)
{
  GHashTableIter iter;
  gpointer value;
  bool busy = false;

  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Account *a = value;

      if (!a->limited)
        continue;
      supply_close (a->supply);
      if (a->state.balance > 0 || supply_is_busy (a->supply))
        {
          supply_step (a->supply);
          busy = true;
        }
    }
  return busy;
}

/* --- Set-up ------------------------------------------------------------------------------ */

static int
budgets_destroy (Budgets *b)
{
  list_remove (&b->listener.node);
  g_hash_table_unref (b->accounts);
  pthread_mutex_destroy (&b->lock);
  return 0;
}

static void
make_parts (Budgets *b)
{
  const BudgetsOptions *o = &b->options;
  CeilingsOptions ceilings = { .store = o->store,
                               .timers = o->timers,
                               .rng = o->rng,
                               .host = o->host,
                               .incarnation = o->incarnation,
                               .events = &budgets_ceilings_events,
                               .data = b };
  LendingOptions lending
      = { .peers = o->peers, .timers = o->timers, .events = &budgets_lending_events, .data = b };

  b->keepers = keepers_new (b, o->host);
  lending.keepers = b->keepers;
  b->lending = lending_new (b, &lending);
  b->ceilings = ceilings_new (b, &ceilings);
}

Budgets *
budgets_new (const void *ctx, const BudgetsOptions *options)
{
  Budgets *b = talloc_zero (ctx, Budgets);

  pthread_mutex_init (&b->lock, NULL);
  b->options = *options;
  b->options.host = talloc_strdup (b, options->host);
  b->started_ms = timers_now_ms (options->timers);
  b->accounts = g_hash_table_new (g_str_hash, g_str_equal);
  make_parts (b);
  b->listener = (StoreEraListener){ .went_back = on_went_back, .data = b };
  store_era_listen (&options->store->era, &b->listener);
  talloc_set_destructor (b, budgets_destroy);
  timers_start (options->timers, b, STEP_MS, on_tick, b);
  return b;
}

static json_t *
account_json (const Account *a)
{
  const BudgetAccount *s = &a->state;

  return json_pack ("{s:s,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "account", a->name, "keeper",
                    s->keeper, "limit", (json_int_t)budget_account_limit (s),
                    "granted_to_all_hosts", (json_int_t)s->row.granted, "granted",
                    (json_int_t)s->granted, "ceiling", (json_int_t)s->ceiling.tokens, "balance",
                    (json_int_t)s->balance, "reserved", (json_int_t)s->reserved, "spent",
                    (json_int_t)s->spent, "waiting", (json_int_t)s->waiting, "store_answers",
                    supply_is_connected (a->supply));
}

char *
budgets_describe (Budgets *b, const void *ctx, const char *account)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;
  char *text;
  char *copy = NULL;

  pthread_mutex_lock (&b->lock);
  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!account || !strcmp (((Account *)value)->name, account))
      json_array_append_new (list, account_json (value));
  pthread_mutex_unlock (&b->lock);
  text = json_dumps (list, JSON_COMPACT);
  if (!account || json_array_size (list) > 0)
    copy = talloc_strdup (ctx, text);
  free (text);
  json_decref (list);
  return copy;
}
