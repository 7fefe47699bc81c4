#include "soak.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "budget/budgets_impl.h"
#include "budget/grant_client_impl.h"
#include "budget_fixture.h"
#include "core/invariant.h"

#define ACCOUNTS     3
#define MAX_REQUESTS 256
#define STEP_MS      20

/* An account may be without any use for this long at the begin of a run. */
#define MAX_UNUSED_MS 20000

#define OLDER_BUILD_RATE 0.2

/* Requests that deliver in pieces, and state this many times as much. */
#define PIECES_RATE   0.3
#define STATED_FACTOR 10

/* A host that is cut off from the store is killed within this time in half of the cases. */
#define MAX_CUT_BEFORE_KILL_MS 3000

typedef struct
{
  char name[32];
  Tokens limit;     /* of the newest configuration */
  Tokens max_limit; /* of all configurations so far */
  Tokens spent;     /* on all hosts; includes open reservations of killed hosts */
  int64_t version;  /* of the newest configuration */
  int64_t unused_until_ms;
  /* Held by ended processes of each host when they ended, less what later ones have regained. */
  Tokens lost[BUDGET_FIXTURE_MAX_HOSTS];
  Tokens regained[BUDGET_FIXTURE_MAX_HOSTS]; /* by the running process, as last seen */
} Account;

typedef struct
{
  BudgetReservation reservation;
  int host;
  Account *account;
  Tokens tokens;
  int64_t ends_ms;
  bool active;
  bool in_pieces;
  Tokens prompt;
  Tokens delivered; /* counted in the account's spent tokens already */
} SoakRequest;

typedef struct
{
  const SoakOptions *options;
  SoakResult *result;
  Rng rng;
  BudgetFixture *fixture;
  Account accounts[ACCOUNTS];
  SoakRequest requests[MAX_REQUESTS];
  int64_t down_until_ms[BUDGET_FIXTURE_MAX_HOSTS]; /* 0: up */
  int64_t kill_at_ms[BUDGET_FIXTURE_MAX_HOSTS];    /* 0: not planned */
  bool draining[BUDGET_FIXTURE_MAX_HOSTS];         /* until it is killed */
  bool peer_messages_lost;                         /* some messages may have been lost */
  int kills;
  int64_t backup_ms; /* when the store made its backup; 0: it has none */
  int restores;
  int64_t last_restore_ms;
  bool inject_faults;
} SoakRun;

static void trace (const SoakRun *r, const char *fmt, ...) __attribute__ ((format (printf, 2, 3)));

static void
trace (const SoakRun *r, const char *fmt, ...)
{
  va_list ap;

  if (!r->options->trace)
    return;
  printf ("%8lld ", (long long)timers_now_ms (r->fixture->timers));
  va_start (ap, fmt);
  vprintf (fmt, ap);
  va_end (ap);
  putchar ('\n');
}

static void
on_violation (void *data, const char *name, const char *detail)
{
  SoakRun *r = data;

  if (r->result->violations++ == 0)
    snprintf (r->result->first_violation, sizeof r->result->first_violation, "%s", name);
  trace (r, "VIOLATION %s: %s", name, detail);
}

/* --- Checks ------------------------------------------------------------------------------ */

/* @return the tokens that the account's row in the store records as granted to hosts. */
static Tokens
granted (const SoakRun *r, const Account *a)
{
  StoreKey key = { "budgets", a->name, "account" };
  const char *value = fake_store_value (r->fixture->store, &key);

  return value ? strtoll (value + sizeof "{\"granted\":" - 1, NULL, 10) : 0;
}

/* @return the account as the host sees it; NULL if the host is down. */
static AccountEntry *
account_on_host (const SoakRun *r, const Account *a, int host)
{
  Budgets *b = r->fixture->hosts[host].budgets;

  return b ? budgets_find_account (b, a->name) : NULL;
}

static void
check_regained (const SoakRun *r, Account *a)
{
  for (int h = 0; h < r->fixture->n_hosts; h++)
    {
      const AccountEntry *entry = account_on_host (r, a, h);
      Tokens regained = entry ? entry->state.regained : 0;

      a->lost[h] -= regained - a->regained[h];
      a->regained[h] = regained;
      INVARIANT ("regained_was_held", a->lost[h] >= 0, "host %d, account %s: %lld too many", h,
                 a->name, (long long)-a->lost[h]);
    }
}

static void
check_accounts (SoakRun *r)
{
  for (int i = 0; i < ACCOUNTS; i++)
    {
      Account *a = &r->accounts[i];

      check_regained (r, a);

      INVARIANT ("budget_never_overspent", a->spent <= a->max_limit,
                 "account %s: spent %lld, limit %lld", a->name, (long long)a->spent,
                 (long long)a->max_limit);
      INVARIANT ("spend_was_granted",
                 r->inject_faults || r->restores > 0 || a->spent <= granted (r, a),
                 "account %s: spent %lld, granted %lld", a->name, (long long)a->spent,
                 (long long)granted (r, a));
    }
}

/* --- Events ------------------------------------------------------------------------------ */

static void
configure_running_host (SoakRun *r, int host)
{
  CatalogBuilder *b;
  int64_t version = 0;
  const Catalog *c;

  for (int i = 0; i < ACCOUNTS; i++)
    if (r->accounts[i].version > version)
      version = r->accounts[i].version;
  b = catalog_builder_new (NULL, version);
  for (int i = 0; i < ACCOUNTS; i++)
    {
      CatalogAccount a = { .name = r->accounts[i].name,
                           .priority = -1,
                           .has_budget = true,
                           .budget = r->accounts[i].limit };

      catalog_add_account (b, &a);
    }
  c = catalog_finish (b);
  budgets_configure (r->fixture->hosts[host].budgets, c);
  catalog_unref (c);
}

static void
configure_host (SoakRun *r, int host)
{
  if (r->fixture->hosts[host].budgets)
    configure_running_host (r, host);
}

static Tokens
request_size (SoakRun *r)
{
  double x = rng_exponential (&r->rng, 1.0);

  return 100 + (Tokens)(x * (rng_chance (&r->rng, 0.4) ? 6000 : 800));
}

static void
start_request (SoakRun *r)
{
  SoakRequest *request = &r->requests[rng_below (&r->rng, MAX_REQUESTS)];
  int host = (int)rng_below (&r->rng, (uint64_t)r->fixture->n_hosts);

  if (request->active || !r->fixture->hosts[host].budgets)
    return;
  *request = (SoakRequest){ .host = host,
                            .account = &r->accounts[rng_below (&r->rng, ACCOUNTS)],
                            .active = true };
  if (timers_now_ms (r->fixture->timers) < request->account->unused_until_ms)
    {
      request->active = false;
      return;
    }
  request->tokens = request_size (r);
  request->ends_ms
      = timers_now_ms (r->fixture->timers) + 30 + (int64_t)rng_exponential (&r->rng, 900);
  r->result->requests++;
  if (!rng_chance (&r->rng, PIECES_RATE))
    {
      budget_fixture_reserve (r->fixture, request->host, request->account->name, request->tokens,
                              &request->reservation);
      return;
    }
  request->in_pieces = true;
  request->prompt = (Tokens)rng_below (&r->rng, (uint64_t)request->tokens);
  request->tokens *= STATED_FACTOR;
  budget_fixture_reserve_pieces (r->fixture, request->host, request->account->name, request->tokens,
                                 request->prompt, &request->reservation);
}

static bool
is_reserved (const SoakRequest *request)
{
  return request->active && request->reservation.handle && request->reservation.decided
         && request->reservation.err == ERR_NONE;
}

/* Delivers what the request may use. The pace changes by the piece; some requests use all that they have stated. */
static void
deliver_piece (SoakRun *r, SoakRequest *request)
{
  Tokens piece = (Tokens)rng_exponential (&r->rng, rng_chance (&r->rng, 0.1) ? 600 : 30);
  Tokens used = tokens_max (request->delivered, request->prompt) + piece;

  used = tokens_min (used, request->tokens);
  if (request->reservation.waits_for_cover || used == request->delivered)
    return;
  if (!budget_fixture_deliver (r->fixture, &request->reservation, used))
    return;
  request->account->spent += used - request->delivered;
  request->delivered = used;
}

static void
deliver_pieces (SoakRun *r)
{
  for (int i = 0; i < MAX_REQUESTS; i++)
    if (r->requests[i].in_pieces && is_reserved (&r->requests[i]) && rng_chance (&r->rng, 0.3))
      deliver_piece (r, &r->requests[i]);
}

static void
end_request (SoakRun *r, SoakRequest *request)
{
  bool reserved = is_reserved (request);

  request->active = false;
  if (!reserved)
    {
      r->result->refused++;
      /* The client may close its connection while the request still waits. */
      if (request->reservation.handle)
        budget_fixture_settle (r->fixture, &request->reservation, 0);
      return;
    }
  if (request->in_pieces)
    {
      budget_fixture_settle (r->fixture, &request->reservation, request->delivered);
      return;
    }
  if (rng_chance (&r->rng, 0.05))
    talloc_free (request->reservation.handle);
  else
    {
      Tokens spent = rng_chance (&r->rng, 0.3)
                         ? request->tokens
                         : (Tokens)rng_below (&r->rng, (uint64_t)request->tokens + 1);

      request->account->spent += spent;
      budget_fixture_settle (r->fixture, &request->reservation, spent);
    }
}

static void
end_requests (SoakRun *r, bool all)
{
  int64_t now = timers_now_ms (r->fixture->timers);

  for (int i = 0; i < MAX_REQUESTS; i++)
    if (r->requests[i].active && (all || now >= r->requests[i].ends_ms))
      end_request (r, &r->requests[i]);
}

/* @return the most that transactions without a known result may still obtain. */
static Tokens
tokens_on_the_way (const GrantClient *c)
{
  Tokens tokens = c->call ? tokens_max (c->sent.change, 0) : 0;

  for (size_t i = 0; i < c->n_unresolved; i++)
    tokens += tokens_max (c->unresolved[i].change, 0);
  return tokens;
}

/* Tokens that the ending process holds and that nobody has used. */
static void
count_lost (SoakRun *r, int host)
{
  for (int i = 0; i < ACCOUNTS; i++)
    {
      Account *a = &r->accounts[i];
      const AccountEntry *entry = account_on_host (r, a, host);

      a->lost[host] += entry->state.balance + entry->state.returning
                       + tokens_on_the_way (entry->grant_client);
      a->regained[host] = 0;
    }
  for (int i = 0; i < MAX_REQUESTS; i++)
    {
      const SoakRequest *request = &r->requests[i];

      if (request->host == host && request->in_pieces && is_reserved (request))
        request->account->lost[host] += request->tokens - request->delivered;
    }
}

/* Reservations of the killed process count as spent, because its requests may have run; of those that deliver in pieces,
 * what they have delivered. */
static void
kill_host (SoakRun *r, int host)
{
  int64_t down_ms = rng_chance (&r->rng, 0.3) ? 0 : (int64_t)rng_below (&r->rng, 4000);

  if (!r->fixture->hosts[host].budgets)
    return;
  trace (r, "kill host %d, down for %lld ms", host, (long long)down_ms);
  r->kills++;
  r->kill_at_ms[host] = 0;
  r->draining[host] = false;
  check_accounts (r);
  count_lost (r, host);
  for (int i = 0; i < MAX_REQUESTS; i++)
    {
      SoakRequest *request = &r->requests[i];

      if (!request->active || request->host != host)
        continue;
      request->active = false;
      if (!request->in_pieces && request->reservation.decided
          && request->reservation.err == ERR_NONE && request->reservation.handle)
        request->account->spent += request->tokens;
      talloc_free (request->reservation.handle);
    }
  budget_fixture_kill (r->fixture, host);
  r->down_until_ms[host] = timers_now_ms (r->fixture->timers) + down_ms;
}

static void
start_hosts (SoakRun *r, bool all)
{
  int64_t now = timers_now_ms (r->fixture->timers);

  for (int i = 0; i < r->fixture->n_hosts; i++)
    if (r->down_until_ms[i] && (all || now >= r->down_until_ms[i]))
      {
        trace (r, "start host %d", i);
        r->down_until_ms[i] = 0;
        if (rng_chance (&r->rng, 0.7))
          r->fixture->hosts[i].store_client->drop_calls = false;
        budget_fixture_start (r->fixture, i);
        configure_host (r, i);
      }
}

static void
kill_all_hosts (SoakRun *r)
{
  for (int i = 0; i < r->fixture->n_hosts; i++)
    kill_host (r, i);
}

static void
change_peer_network (SoakRun *r)
{
  double lost = rng_chance (&r->rng, 0.3) ? rng_unit (&r->rng) * 0.5 : 0;
  int host = (int)rng_below (&r->rng, (uint64_t)r->fixture->n_hosts);

  r->peer_messages_lost |= lost > 0;
  fake_net_set_faults (r->fixture->net, lost, 1 + (int64_t)rng_below (&r->rng, 300));
  r->fixture->hosts[host].peers->disconnected = rng_chance (&r->rng, 0.3);
  r->peer_messages_lost |= r->fixture->hosts[host].peers->disconnected;
  trace (r, "peer network: loss_rate=%.2f, host %d disconnected=%d", lost, host,
         r->fixture->hosts[host].peers->disconnected);
}

static void
change_limit (SoakRun *r)
{
  Account *a = &r->accounts[rng_below (&r->rng, ACCOUNTS)];
  double factor = rng_chance (&r->rng, 0.7) ? 1.0 + rng_unit (&r->rng) : rng_unit (&r->rng);

  a->limit = (Tokens)((double)a->limit * factor);
  if (a->limit > a->max_limit)
    a->max_limit = a->limit;
  a->version++;
  for (int i = 0; i < ACCOUNTS; i++)
    r->accounts[i].version
        = a->version > r->accounts[i].version ? a->version : r->accounts[i].version;
  trace (r, "limit of %s set to %lld", a->name, (long long)a->limit);
  for (int i = 0; i < r->fixture->n_hosts; i++)
    if (rng_chance (&r->rng, 0.8))
      configure_host (r, i);
}

static void
change_store_faults (SoakRun *r)
{
  int host = (int)rng_below (&r->rng, (uint64_t)r->fixture->n_hosts);
  FakeStoreClient *store_client = r->fixture->hosts[host].store_client;

  store_client->drop_calls = rng_chance (&r->rng, 0.25);
  store_client->refuse_calls = !store_client->drop_calls && rng_chance (&r->rng, 0.15);
  if (store_client->drop_calls && rng_chance (&r->rng, 0.5))
    r->kill_at_ms[host] = timers_now_ms (r->fixture->timers) + 1
                          + (int64_t)rng_below (&r->rng, MAX_CUT_BEFORE_KILL_MS);
  store_client->lost_reply_rate = rng_chance (&r->rng, 0.4) ? rng_unit (&r->rng) * 0.6 : 0;
  store_client->delayed_apply_rate = rng_chance (&r->rng, 0.3) ? rng_unit (&r->rng) * 0.4 : 0;
  store_client->latency_ms = rng_chance (&r->rng, 0.2) ? 200 : 2;
  trace (r, "host %d: drop_calls=%d refuse_calls=%d lost_reply_rate=%.2f delayed_apply_rate=%.2f",
         host, store_client->drop_calls, store_client->refuse_calls, store_client->lost_reply_rate,
         store_client->delayed_apply_rate);
}

/* Restores the store from a backup of the last three seconds, but never from one made before hosts had time to
 * reconcile their rows after the previous restore. */
static void
maybe_restore_store (SoakRun *r)
{
  if (r->restores > 0 && timers_now_ms (r->fixture->timers) - r->last_restore_ms < 3000)
    return;
  if (r->backup_ms == 0)
    {
      fake_store_take_backup (r->fixture->store);
      r->backup_ms = timers_now_ms (r->fixture->timers);
      return;
    }
  if (timers_now_ms (r->fixture->timers) - r->backup_ms > 3000)
    r->backup_ms = 0;
  else if (rng_chance (&r->rng, 0.02))
    {
      trace (r, "store restored from a backup made %lld ms ago",
             (long long)(timers_now_ms (r->fixture->timers) - r->backup_ms));
      fake_store_restore (r->fixture->store);
      r->backup_ms = 0;
      r->last_restore_ms = timers_now_ms (r->fixture->timers);
      r->restores++;
    }
}

/* Faults of the store and kills of hosts. They are not combined with restores of the store: the tokens that are lost
 * or overspent then would have no bound. */
static void
inject_random_faults (SoakRun *r)
{
  if (rng_chance (&r->rng, 0.02))
    change_store_faults (r);
  if (rng_chance (&r->rng, 0.002))
    kill_host (r, (int)rng_below (&r->rng, (uint64_t)r->fixture->n_hosts));
  if (rng_chance (&r->rng, 0.0004))
    kill_all_hosts (r);
}

static void
kill_planned (SoakRun *r)
{
  int64_t now = timers_now_ms (r->fixture->timers);

  for (int i = 0; i < r->fixture->n_hosts; i++)
    if (r->kill_at_ms[i] && now >= r->kill_at_ms[i])
      kill_host (r, i);
}

/* A host that stops returns what it holds; it is killed before or after it is done. */
static void
drain_hosts (SoakRun *r)
{
  int host = (int)rng_below (&r->rng, (uint64_t)r->fixture->n_hosts);

  if (rng_chance (&r->rng, 0.002) && r->fixture->hosts[host].budgets)
    {
      trace (r, "drain host %d", host);
      r->draining[host] = true;
      r->kill_at_ms[host] = timers_now_ms (r->fixture->timers) + 1
                            + (int64_t)rng_below (&r->rng, MAX_CUT_BEFORE_KILL_MS);
    }
  for (int i = 0; i < r->fixture->n_hosts; i++)
    if (r->draining[i])
      budgets_return_all (r->fixture->hosts[i].budgets);
}

static void
step (SoakRun *r)
{
  int n = (int)rng_below (&r->rng, 6);

  for (int i = 0; i < n; i++)
    start_request (r);
  if (r->inject_faults && r->options->store_restores)
    maybe_restore_store (r);
  else if (r->inject_faults)
    inject_random_faults (r);
  if (r->inject_faults && rng_chance (&r->rng, 0.008))
    change_peer_network (r);
  if (r->inject_faults && !r->options->store_restores)
    drain_hosts (r);
  kill_planned (r);
  start_hosts (r, false);
  if (rng_chance (&r->rng, 0.004))
    change_limit (r);
  budget_fixture_run (r->fixture, STEP_MS);
  deliver_pieces (r);
  end_requests (r, false);
  check_accounts (r);
}

/* --- A run ------------------------------------------------------------------------------- */

static void
set_up (SoakRun *r)
{
  r->fixture = budget_fixture_new (2 + (int)rng_below (&r->rng, BUDGET_FIXTURE_MAX_HOSTS - 1),
                                   rng_next (&r->rng));
  for (int i = 0; i < ACCOUNTS; i++)
    {
      Account *a = &r->accounts[i];

      /* Some limits cover only a few requests, others far more than the demand. */
      snprintf (a->name, sizeof a->name, "account-%d", i);
      a->limit = (Tokens)(20000.0 * (1 + rng_unit (&r->rng) * (i == 0 ? 10 : 200)));
      a->max_limit = a->limit;
      a->version = 1;
    }
  /* Ceilings of an account without any use have another growth, which the first requests may meet in an outage. */
  if (rng_chance (&r->rng, 0.5))
    r->accounts[ACCOUNTS - 1].unused_until_ms
        = timers_now_ms (r->fixture->timers) + (int64_t)rng_below (&r->rng, MAX_UNUSED_MS);
  /* Hosts of an older build run beside newer ones while a fleet is rolled. */
  for (int i = 0; i < r->fixture->n_hosts; i++)
    r->fixture->hosts[i].ignores_growth = rng_chance (&r->rng, OLDER_BUILD_RATE);
  for (int i = 0; i < r->fixture->n_hosts; i++)
    configure_host (r, i);
}

/* Ends all faults and requests, starts all hosts and has each return its tokens. Then checks that the store records
 * exactly the spent tokens as granted, or more if a host was killed, a peer message lost or the store restored. */
static void
return_tokens_and_check_totals (SoakRun *r)
{
  bool busy = true;
  int idle = 0;

  r->inject_faults = false;
  for (int i = 0; i < r->fixture->n_hosts; i++)
    {
      FakeStoreClient *store_client = r->fixture->hosts[i].store_client;

      store_client->drop_calls = store_client->refuse_calls = false;
      store_client->lost_reply_rate = store_client->delayed_apply_rate = 0;
      store_client->latency_ms = 2;
      r->fixture->hosts[i].peers->disconnected = false;
    }
  fake_net_set_faults (r->fixture->net, 0, 10);
  start_hosts (r, true);
  budget_fixture_run (r->fixture, 8000);
  end_requests (r, true);
  /* A transfer may be in transit between two hosts while none of them holds any tokens. */
  for (int round = 0; round < 400 && idle < 10; round++)
    {
      busy = false;
      for (int i = 0; i < r->fixture->n_hosts; i++)
        busy |= budgets_return_all (r->fixture->hosts[i].budgets);
      idle = busy ? 0 : idle + 1;
      budget_fixture_run (r->fixture, 50);
    }
  INVARIANT ("returns_come_to_an_end", !busy, "tokens are still held");
  for (int i = 0; i < ACCOUNTS; i++)
    {
      const Account *a = &r->accounts[i];

      INVARIANT ("no_token_is_lost",
                 r->kills > 0 || r->restores > 0 || r->peer_messages_lost
                     || granted (r, a) == a->spent,
                 "account %s: granted %lld, spent %lld", a->name, (long long)granted (r, a),
                 (long long)a->spent);
      INVARIANT ("no_token_is_made", granted (r, a) >= a->spent,
                 "account %s: granted %lld, spent %lld", a->name, (long long)granted (r, a),
                 (long long)a->spent);
    }
}

void
soak_run (const SoakOptions *options, SoakResult *result)
{
  SoakRun *r = calloc (1, sizeof *r);
  int steps;

  r->options = options;
  r->result = result;
  r->inject_faults = true;
  *result = (SoakResult){ 0 };
  rng_seed (&r->rng, options->seed * 1000003 + options->run);
  invariant_set_hook (on_violation, r);
  set_up (r);
  fake_store_set_fault (r->fixture->store, options->store_fault);
  steps = 200 + (int)rng_below (&r->rng, 1200);
  for (int i = 0; i < steps; i++)
    step (r);
  return_tokens_and_check_totals (r);
  invariant_set_hook (NULL, NULL);
  talloc_free (r->fixture);
  free (r);
}
