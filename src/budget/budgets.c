#include "budget/budgets_impl.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "core/log.h"

#define STEP_INTERVAL_MS 200

AccountEntry *
budgets_find_account (Budgets *b, const char *name)
{
  return g_hash_table_lookup (b->accounts, name);
}

Tokens
budgets_effective_ceiling (const AccountEntry *a, int64_t now_ms)
{
  return ceiling_publisher_effective (a->budgets->publisher, &a->state.ceiling,
                                      &a->state.unconsented, now_ms);
}

/* --- Steps ------------------------------------------------------------------------------- */

static void
account_lock (void *data)
{
  pthread_mutex_lock (&((AccountEntry *)data)->budgets->lock);
}

static void
account_unlock (void *data)
{
  pthread_mutex_unlock (&((AccountEntry *)data)->budgets->lock);
}

/* @return whether the balance covers the reservations that wait for the store, or a piece of an answer waits to be
 * covered, but the ceiling without its growth does not allow it, so that a new one should be published soon. */
static bool
waits_for_ceiling (const AccountEntry *a)
{
  const BudgetAccount *s = &a->state;

  Tokens wanted = s->balance >= s->waiting_tokens ? s->waiting_tokens : 0;

  if (!list_is_empty (&a->cover_waiters))
    wanted += s->cover_wanted;
  return wanted > 0 && budget_account_used (s) + wanted > s->ceiling.base;
}

static void
serve_waiters (void *data)
{
  AccountEntry *a = data;
  Budgets *b = a->budgets;
  bool needs_publish;

  pthread_mutex_lock (&b->lock);
  cover_serve (a, timers_now_ms (b->options.timers));
  wait_serve (a, timers_now_ms (b->options.timers));
  needs_publish = waits_for_ceiling (a);
  pthread_mutex_unlock (&b->lock);
  if (needs_publish)
    ceiling_publisher_publish_soon (b->publisher);
}

static void
create_grant_client (AccountEntry *a)
{
  Budgets *b = a->budgets;
  GrantClientOptions options = { .account = a->name,
                                 .host = b->options.host,
                                 .incarnation = b->options.incarnation,
                                 .store = b->options.store,
                                 .timers = b->options.timers,
                                 .rng = b->options.rng,
                                 .policy = &b->options.policy,
                                 .publisher = b->publisher,
                                 .lock = account_lock,
                                 .unlock = account_unlock,
                                 .updated = serve_waiters,
                                 .data = a };

  a->grant_client = grant_client_new (b, &options, &a->state);
}

/* A host that is not the coordinator uses the store only if the coordinator could not provide tokens, to return its
 * own grants, to reclaim those of its previous incarnation, or to reconcile the row. */
static bool
needs_store (AccountEntry *a)
{
  Budgets *b = a->budgets;
  bool needed;

  pthread_mutex_lock (&b->lock);
  needed = a->state.is_coordinator || a->state.waiting_tokens > 0 || a->state.granted != 0
           || grant_client_is_busy (a->grant_client) || grant_client_may_reclaim (a->grant_client)
           || grant_client_needs_reconcile (a->grant_client);
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
      AccountEntry *a = value;

      if (!a->has_budget)
        continue;
      budgets_transfer_step (a);
      serve_waiters (a);
      if (needs_store (a))
        grant_client_step (a->grant_client);
    }
}

static void
on_scheduled_step (void *data)
{
  Budgets *b = data;

  pthread_mutex_lock (&b->lock);
  b->step_scheduled = false;
  pthread_mutex_unlock (&b->lock);
  budgets_step (b);
}

void
budgets_schedule_step (Budgets *b)
{
  if (b->step_scheduled)
    return;
  b->step_scheduled = true;
  executor_post (b->options.step_executor, on_scheduled_step, b);
}

static void
on_tick (void *data)
{
  Budgets *b = data;

  timers_start (b->options.timers, b, STEP_INTERVAL_MS, on_tick, b);
  budgets_growth_step (b);
  budgets_step (b);
}

/* --- Restore of the store ---------------------------------------------------------------- */

static void
on_store_restored (void *data, int64_t era)
{
  Budgets *b = data;
  GHashTableIter iter;
  gpointer value;

  (void)era;
  pthread_mutex_lock (&b->lock);
  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      grant_client_on_restore (((AccountEntry *)value)->grant_client);
      budgets_forget_held (value);
    }
  pthread_mutex_unlock (&b->lock);
}

/* --- Configuration ----------------------------------------------------------------------- */

typedef struct
{
  Budgets *budgets;
  int64_t version;
} ConfigureContext;

static AccountEntry *
add_account (Budgets *b, const char *name)
{
  AccountEntry *a = talloc_zero (b, AccountEntry);

  a->budgets = b;
  a->name = talloc_strdup (a, name);
  a->state.ceiling = CEILING_NONE;
  a->state.unconsented = CEILING_NONE;
  a->next_ceiling = CEILING_NONE;
  list_init (&a->waiters);
  list_init (&a->cover_waiters);
  a->peer_holdings = peer_holdings_new (a);
  create_grant_client (a);
  g_hash_table_insert (b->accounts, a->name, a);
  return a;
}

static void
configure_account (void *data, const CatalogAccount *config)
{
  ConfigureContext *c = data;
  Budgets *b = c->budgets;
  AccountEntry *a;

  pthread_mutex_lock (&b->lock);
  a = budgets_find_account (b, config->name);
  if (!a)
    a = add_account (b, config->name);
  a->has_budget = config->has_budget;
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
  ConfigureContext c = { b, catalog_version (catalog) };

  catalog_each_account (catalog, configure_account, &c);
  budgets_step (b);
}

void
budgets_set_hosts (Budgets *b, const CoordinatorCandidate *hosts, size_t n)
{
  coordinators_set_candidates (b->coordinators, hosts, n);
  ceiling_publisher_set_hosts (b->publisher, (int)n);
  budgets_step (b);
}

bool
budgets_on_message (Budgets *b, const Pond__Envelope *envelope)
{
  return transfers_on_message (b->transfers, envelope)
         || growth_witness_on_message (b->growth_witness, envelope);
}

/* --- Drain ---------------------------------------------------------------------------------- */

void
budgets_stop_coordinating (Budgets *b)
{
  transfers_announce_drain (b->transfers);
}

static bool
has_balance (const AccountEntry *a)
{
  Budgets *b = a->budgets;
  bool has;

  pthread_mutex_lock (&b->lock);
  has = a->state.balance > 0;
  pthread_mutex_unlock (&b->lock);
  return has;
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
      AccountEntry *a = value;

      if (!a->has_budget)
        continue;
      grant_client_close (a->grant_client);
      if (has_balance (a) || grant_client_is_busy (a->grant_client))
        {
          grant_client_step (a->grant_client);
          busy = true;
        }
    }
  return busy;
}

/* --- Setup and queries ------------------------------------------------------------------- */

static int
budgets_destroy (Budgets *b)
{
  list_remove (&b->listener.node);
  g_hash_table_unref (b->accounts);
  pthread_mutex_destroy (&b->lock);
  return 0;
}

static void
create_components (Budgets *b)
{
  const BudgetsOptions *o = &b->options;
  CeilingPublisherOptions publisher = { .store = o->store,
                                        .timers = o->timers,
                                        .rng = o->rng,
                                        .host = o->host,
                                        .incarnation = o->incarnation,
                                        .events = &budgets_ceiling_events,
                                        .data = b };
  TransfersOptions transfers
      = { .peers = o->peers, .timers = o->timers, .events = &budgets_transfer_events, .data = b };
  GrowthWitnessOptions witness = { .host = o->host,
                                   .incarnation = o->incarnation,
                                   .peers = o->peers,
                                   .replied = budgets_growth_replied,
                                   .data = b };

  b->coordinators = coordinators_new (b, o->host);
  witness.coordinators = b->coordinators;
  b->growth_witness = growth_witness_new (b, &witness);
  transfers.coordinators = b->coordinators;
  b->transfers = transfers_new (b, &transfers);
  b->publisher = ceiling_publisher_new (b, &publisher);
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
  create_components (b);
  b->listener = (StoreEraListener){ .restored = on_store_restored, .data = b };
  store_era_subscribe (&options->store->era, &b->listener);
  talloc_set_destructor (b, budgets_destroy);
  timers_start (options->timers, b, STEP_INTERVAL_MS, on_tick, b);
  return b;
}

static json_t *
account_json (const AccountEntry *a)
{
  const BudgetAccount *s = &a->state;

  return json_pack ("{s:s,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "account", a->name,
                    "keeper", s->is_coordinator, "limit", (json_int_t)budget_account_limit (s),
                    "granted_to_all_hosts", (json_int_t)s->row.granted, "granted",
                    (json_int_t)s->granted, "ceiling", (json_int_t)s->ceiling.base, "balance",
                    (json_int_t)s->balance, "reserved", (json_int_t)s->reserved, "uncovered",
                    (json_int_t)s->uncovered, "regained", (json_int_t)s->regained, "spent",
                    (json_int_t)s->spent, "waiting", (json_int_t)s->waiting_tokens, "store_answers",
                    grant_client_is_connected (a->grant_client));
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
    if (!account || !strcmp (((AccountEntry *)value)->name, account))
      json_array_append_new (list, account_json (value));
  pthread_mutex_unlock (&b->lock);
  text = json_dumps (list, JSON_COMPACT);
  if (!account || json_array_size (list) > 0)
    copy = talloc_strdup (ctx, text);
  free (text);
  json_decref (list);
  return copy;
}
