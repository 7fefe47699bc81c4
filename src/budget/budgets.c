#include "budget/budgets.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <talloc.h>

#include "budget/supply.h"
#include "core/list.h"
#include "core/log.h"

/* A request waits this long for the store, then it is refused. */
#define LONGEST_WAIT_MS 600

/* What the store showed this recently still decides a refusal. */
#define TOTALS_LIFETIME_MS 400

#define STEP_MS 200

#define UNREACHABLE_RETRY_MS 700
#define HELD_RETRY_MS        400

typedef struct
{
  Budgets *owner;
  char *name;
  bool limited;
  BudgetAccount state;
  Supply *supply; /* NULL before the first step */
  List waiters;
  bool closing;
} Account;

struct Budgets
{
  pthread_mutex_t lock; /* "budgets" */
  BudgetsOptions options;
  GHashTable *accounts; /* by name; never removed: reservations point to them */
  int hosts;
  bool kicked; /* a step has been posted */
  bool closing;
};

typedef struct Answer Answer;

struct Reservation
{
  Account *account;
  Tokens tokens;
  /* While it waits. */
  ListNode node;
  bool waiting;
  int64_t since_ms;
  Poster caller;
  ReserveFn fn;
  void *data;
  Answer *answer;
};

/* The answer for a reservation that waited, on its way to the loop of its owner. */
struct Answer
{
  Reservation *reservation; /* NULL once its owner has freed it */
  Err err;
};

/* --- Answers to reservations that waited ------------------------------------------------- */

static void
deliver (void *data)
{
  Answer *answer = data;
  Reservation *r = answer->reservation;

  if (r)
    {
      r->answer = NULL;
      r->fn (r->data, answer->err.kind == ERR_NONE ? NULL : &answer->err);
    }
  free (answer);
}

static void
answer_later (Reservation *r, const Err *err)
{
  Answer *answer = calloc (1, sizeof *answer);

  if (!answer)
    abort ();
  list_remove (&r->node);
  r->waiting = false;
  r->account->state.waiting -= r->tokens;
  answer->reservation = r;
  if (err)
    {
      answer->err = *err;
      r->tokens = 0;
    }
  r->answer = answer;
  poster_post (r->caller, deliver, answer);
}

/* Why a request that finds too little is refused, by what the store has shown; ERR_NONE if it has not
 * shown enough yet. */
static ErrKind
shortage_of (const Account *a, Tokens tokens, int64_t now_ms)
{
  Tokens spent = supply_total_spent (a->supply, now_ms - TOTALS_LIFETIME_MS);

  if (!supply_is_connected (a->supply))
    return ERR_BUDGET_UNREACHABLE;
  if (budget_account_free (&a->state) + a->state.balance >= tokens)
    return ERR_NONE;
  if (spent < 0)
    {
      supply_want_totals (a->supply);
      return ERR_NONE;
    }
  return budget_account_limit (&a->state) - spent < tokens ? ERR_BUDGET_EXHAUSTED : ERR_BUDGET_HELD;
}

static bool
refusal (const Account *a, ErrKind kind, Tokens tokens, Err *err)
{
  err_set (err, kind,
           "account %s: wants %" PRId64 ", holds %" PRId64 ", free %" PRId64 " of %" PRId64,
           a->name, tokens, a->state.balance, budget_account_free (&a->state),
           budget_account_limit (&a->state));
  if (kind == ERR_BUDGET_UNREACHABLE)
    err->retry_after_ms = UNREACHABLE_RETRY_MS;
  if (kind == ERR_BUDGET_HELD)
    err->retry_after_ms = HELD_RETRY_MS;
  return false;
}

/* Serves waiting requests in order, and refuses those that cannot be served. */
static void
serve_waiters (Account *a, int64_t now_ms)
{
  ListNode *n;

  while ((n = list_first (&a->waiters)))
    {
      Reservation *r = LIST_ENTRY (n, Reservation, node);
      Err err = ERR_INIT;
      ErrKind kind;

      if (budget_account_reserve (&a->state, r->tokens))
        {
          answer_later (r, NULL);
          continue;
        }
      kind = shortage_of (a, r->tokens, now_ms);
      if (kind == ERR_NONE && now_ms - r->since_ms >= LONGEST_WAIT_MS)
        kind = ERR_BUDGET_UNREACHABLE;
      if (kind == ERR_NONE)
        return;
      refusal (a, kind, r->tokens, &err);
      answer_later (r, &err);
    }
}

/* --- Supply ------------------------------------------------------------------------------ */

static void
on_updated (void *data)
{
  Account *a = data;
  Budgets *b = a->owner;

  pthread_mutex_lock (&b->lock);
  serve_waiters (a, timers_now_ms (b->options.timers));
  pthread_mutex_unlock (&b->lock);
}

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
                            .lock = account_lock,
                            .unlock = account_unlock,
                            .updated = on_updated,
                            .data = a };

  a->supply = supply_new (b, &options, &a->state);
  supply_set_hosts (a->supply, b->hosts);
}

static void
step_all (Budgets *b)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Account *a = value;

      if (!a->limited)
        continue;
      on_updated (a);
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
  step_all (b);
}

static void
kick (Budgets *b)
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
  step_all (b);
}

/* --- Configuration ----------------------------------------------------------------------- */

typedef struct
{
  Budgets *budgets;
  int64_t version;
} Configure;

static void
configure_account (void *data, const CatalogAccount *config)
{
  Configure *c = data;
  Budgets *b = c->budgets;
  Account *a;

  pthread_mutex_lock (&b->lock);
  a = g_hash_table_lookup (b->accounts, config->name);
  if (!a)
    {
      a = talloc_zero (b, Account);
      a->owner = b;
      a->name = talloc_strdup (a, config->name);
      list_init (&a->waiters);
      make_supply (a);
      g_hash_table_insert (b->accounts, a->name, a);
    }
  a->limited = config->limited;
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
  step_all (b);
}

void
budgets_set_hosts (Budgets *b, int hosts)
{
  GHashTableIter iter;
  gpointer value;

  b->hosts = hosts;
  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    supply_set_hosts (((Account *)value)->supply, hosts);
}

/* --- Reservations ------------------------------------------------------------------------ */

static int
reservation_destroy (Reservation *r)
{
  Account *a = r->account;
  Budgets *b = a->owner;

  pthread_mutex_lock (&b->lock);
  if (r->answer)
    r->answer->reservation = NULL;
  if (r->waiting)
    {
      list_remove (&r->node);
      a->state.waiting -= r->tokens;
    }
  else
    {
      a->state.reserved -= r->tokens;
      a->state.balance += r->tokens;
    }
  pthread_mutex_unlock (&b->lock);
  return 0;
}

/* @return false if the request must be refused. */
static bool
reserve_or_wait (Budgets *b, Account *a, Reservation *r, const ReserveRequest *request, bool *waits,
                 Err *err)
{
  bool served = list_is_empty (&a->waiters) && budget_account_reserve (&a->state, r->tokens);

  *waits = false;
  if (served)
    {
      if (a->state.balance < (Tokens)a->state.mean_reserve)
        kick (b);
      return true;
    }
  if (!supply_is_connected (a->supply))
    return refusal (a, ERR_BUDGET_UNREACHABLE, r->tokens, err);
  *waits = true;
  r->waiting = true;
  r->since_ms = request->now_ms;
  r->caller = request->caller;
  r->fn = request->fn;
  r->data = request->data;
  a->state.waiting += r->tokens;
  list_append (&a->waiters, &r->node);
  kick (b);
  return true;
}

Reservation *
budgets_reserve (Budgets *b, const void *ctx, const ReserveRequest *request, bool *waits, Err *err)
{
  Reservation *r = NULL;
  Account *a;
  bool ok = false;

  pthread_mutex_lock (&b->lock);
  a = g_hash_table_lookup (b->accounts, request->account);
  if (!a)
    err_set (err, ERR_NOT_READY, "account %s is not known yet", request->account);
  else
    {
      r = talloc_zero (ctx, Reservation);
      r->account = a;
      r->tokens = request->tokens;
      ok = reserve_or_wait (b, a, r, request, waits, err);
    }
  pthread_mutex_unlock (&b->lock);
  if (ok)
    {
      talloc_set_destructor (r, reservation_destroy);
      return r;
    }
  talloc_free (r);
  return NULL;
}

void
reservation_settle (Reservation *r, Tokens spent, int64_t now_ms)
{
  Budgets *b = r->account->owner;

  pthread_mutex_lock (&b->lock);
  /* One that still waits has reserved nothing. */
  if (!r->waiting)
    {
      budget_account_settle (&r->account->state, r->tokens, spent, now_ms);
      r->tokens = 0;
    }
  pthread_mutex_unlock (&b->lock);
  talloc_free (r);
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
      supply_step (a->supply);
      busy |= a->state.balance > 0 || supply_is_busy (a->supply);
    }
  return busy;
}

/* --- Set-up ------------------------------------------------------------------------------ */

static int
budgets_destroy (Budgets *b)
{
  g_hash_table_unref (b->accounts);
  pthread_mutex_destroy (&b->lock);
  return 0;
}

Budgets *
budgets_new (const void *ctx, const BudgetsOptions *options)
{
  Budgets *b = talloc_zero (ctx, Budgets);

  pthread_mutex_init (&b->lock, NULL);
  b->options = *options;
  b->options.host = talloc_strdup (b, options->host);
  b->accounts = g_hash_table_new (g_str_hash, g_str_equal);
  b->hosts = 1;
  talloc_set_destructor (b, budgets_destroy);
  timers_start (options->timers, b, STEP_MS, on_tick, b);
  return b;
}

static json_t *
account_json (const Account *a)
{
  const BudgetAccount *s = &a->state;

  return json_pack ("{s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "account", a->name, "limit",
                    (json_int_t)budget_account_limit (s), "granted_to_all_hosts",
                    (json_int_t)s->row.granted, "balance", (json_int_t)s->balance, "reserved",
                    (json_int_t)s->reserved, "spent", (json_int_t)s->spent, "waiting",
                    (json_int_t)s->waiting, "store_answers", supply_is_connected (a->supply));
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
