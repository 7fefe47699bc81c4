#include "budget/transfers.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core/log.h"

/* A coordinator responds within a round trip, with a pending response if it has to wait for the store. */
#define RESPONSE_TIMEOUT_MS 150
#define PENDING_TIMEOUT_MS  600

/* A coordinator that did not respond is skipped for this long. */
#define SKIP_UNRESPONSIVE_MS 1500

/* A draining host has removed its registry row within this time. If it restarts, it is no longer skipped. */
#define SKIP_DRAINING_MS 12000

#define MAX_ATTEMPTS 3

typedef struct
{
  Transfers *transfers;
  uint64_t id;
  char *account;
  char *host; /* that the request was last sent to */
  Tokens tokens;
  Tokens extra;
  Tokens spent;
  Tokens held;
  int attempts;
  bool pending;  /* the host has sent a pending response */
  unsigned rank; /* of the coordinator to try next, among those that are not skipped */
  Timer *timer;
} SentRequest;

struct Transfers
{
  TransfersOptions options;
  uint64_t next_id;
  GHashTable *requests; /* by id */
};

static bool send_request (SentRequest *r);

static void
finish_request (SentRequest *r, TransferOutcome outcome)
{
  Transfers *t = r->transfers;

  g_hash_table_remove (t->requests, &r->id);
  t->options.events->ended (t->options.data, r->id, r->account, outcome);
  talloc_free (r);
}

static void
on_timeout (void *data)
{
  SentRequest *r = data;
  Transfers *t = r->transfers;

  r->timer = NULL;
  log_event (LOG_LEVEL_INFO, "budget", r->pending ? "keeper_waits" : "keeper_silent",
             "host=%s account=%s tokens=%" PRId64, r->host, r->account, r->tokens);
  if (r->pending)
    {
      finish_request (r, TRANSFER_PENDING_TIMED_OUT);
      return;
    }
  coordinators_skip (t->options.coordinators, r->host,
                     timers_now_ms (t->options.timers) + SKIP_UNRESPONSIVE_MS);
  if (r->attempts >= MAX_ATTEMPTS || !send_request (r))
    finish_request (r, TRANSFER_INSUFFICIENT);
}

/* Sends to the coordinator of the current rank. One that did not respond is skipped, so that the same rank selects the
 * next one. */
static bool
send_request (SentRequest *r)
{
  Transfers *t = r->transfers;
  int64_t now = timers_now_ms (t->options.timers);
  const char *host = coordinators_find (t->options.coordinators, r->account, r->rank, now);
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__BalanceAsk message = POND__BALANCE_ASK__INIT;

  if (!t->options.peers || !host || coordinators_is_this_host (t->options.coordinators, host))
    return false;
  talloc_free (r->host);
  r->host = talloc_strdup (r, host);
  r->attempts++;
  r->pending = false;
  message.id = r->id;
  message.account = r->account;
  message.tokens = r->tokens;
  message.wish = r->extra;
  message.spent = r->spent;
  message.held = r->held;
  r->spent = 0;
  env.body_case = POND__ENVELOPE__BODY_BALANCE_ASK;
  env.balance_ask = &message;
  peer_transport_send (t->options.peers, r->host, &env);
  r->timer = timers_start (t->options.timers, r, RESPONSE_TIMEOUT_MS, on_timeout, r);
  return true;
}

uint64_t
transfers_request (Transfers *t, const TransferRequest *request)
{
  SentRequest *r = talloc_zero (t, SentRequest);

  r->transfers = t;
  r->id = t->next_id++;
  r->account = talloc_strdup (r, request->account);
  r->tokens = request->tokens;
  r->extra = request->extra;
  r->spent = request->spent;
  r->held = request->held;
  if (!send_request (r))
    {
      talloc_free (r);
      return 0;
    }
  g_hash_table_insert (t->requests, &r->id, r);
  return r->id;
}

void
transfers_send (Transfers *t, const char *host, const Transfer *transfer)
{
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__BalanceGive message = POND__BALANCE_GIVE__INIT;

  message.id = transfer->id;
  message.account = (char *)transfer->account;
  message.tokens = transfer->tokens;
  message.spent = transfer->spent;
  message.held = transfer->held;
  message.exhausted = transfer->exhausted;
  message.counted = transfer->outstanding_known;
  message.left = transfer->outstanding;
  message.pending = transfer->pending;
  message.cut_off = transfer->store_unreachable;
  env.body_case = POND__ENVELOPE__BODY_BALANCE_GIVE;
  env.balance_give = &message;
  peer_transport_send (t->options.peers, host, &env);
}

/* Asks the next coordinator, which may reach the store. The one that answered is not marked with coordinators_skip(),
 * because it may hold tokens of other accounts. */
static bool
try_next_coordinator (SentRequest *r)
{
  r->rank++;
  return r->attempts < MAX_ATTEMPTS && send_request (r);
}

static TransferOutcome
outcome_of (const SentRequest *r, const Transfer *transfer)
{
  if (transfer->exhausted)
    return TRANSFER_EXHAUSTED;
  if (transfer->tokens < r->tokens)
    return TRANSFER_INSUFFICIENT;
  return transfer->tokens > r->tokens ? TRANSFER_WITH_EXTRA : TRANSFER_SUFFICIENT;
}

static void
extend_timeout (SentRequest *r)
{
  r->pending = true;
  talloc_free (r->timer);
  r->timer = timers_start (r->transfers->options.timers, r, PENDING_TIMEOUT_MS, on_timeout, r);
}

/* The tokens of a transfer are accepted even if its request has timed out. */
static void
on_transfer (Transfers *t, const char *from, const Pond__BalanceGive *message)
{
  Transfer transfer = { .id = message->id,
                        .account = message->account,
                        .tokens = message->tokens,
                        .spent = message->spent,
                        .held = message->held,
                        .exhausted = message->exhausted,
                        .outstanding_known = message->counted,
                        .outstanding = message->left,
                        .pending = message->pending,
                        .store_unreachable = message->cut_off };
  SentRequest *r = g_hash_table_lookup (t->requests, &transfer.id);

  if (transfer.pending)
    {
      if (r)
        extend_timeout (r);
      return;
    }
  t->options.events->received (t->options.data, from, &transfer);
  if (!r)
    return;
  TALLOC_FREE (r->timer);
  if (transfer.store_unreachable && try_next_coordinator (r))
    return;
  finish_request (r, outcome_of (r, &transfer));
}

static void
on_request (Transfers *t, const char *from, const Pond__BalanceAsk *message)
{
  TransferRequest request = { .id = message->id,
                              .account = message->account,
                              .tokens = message->tokens,
                              .extra = message->wish,
                              .spent = message->spent,
                              .held = message->held };

  t->options.events->requested (t->options.data, from, &request);
}

static void
send_drain_notice (void *data, const char *host)
{
  Transfers *t = data;
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__BalanceLeave leave = POND__BALANCE_LEAVE__INIT;

  env.body_case = POND__ENVELOPE__BODY_BALANCE_LEAVE;
  env.balance_leave = &leave;
  peer_transport_send (t->options.peers, host, &env);
}

void
transfers_announce_drain (Transfers *t)
{
  coordinators_exclude_self (t->options.coordinators);
  if (t->options.peers)
    coordinators_each_peer (t->options.coordinators, send_drain_notice, t);
}

bool
transfers_on_message (Transfers *t, const Pond__Envelope *env)
{
  if (env->body_case == POND__ENVELOPE__BODY_BALANCE_LEAVE)
    coordinators_skip (t->options.coordinators, env->from,
                       timers_now_ms (t->options.timers) + SKIP_DRAINING_MS);
  else if (env->body_case == POND__ENVELOPE__BODY_BALANCE_GIVE)
    on_transfer (t, env->from, env->balance_give);
  else if (env->body_case == POND__ENVELOPE__BODY_BALANCE_ASK)
    on_request (t, env->from, env->balance_ask);
  else
    return false;
  return true;
}

static int
transfers_destroy (Transfers *t)
{
  g_hash_table_unref (t->requests);
  return 0;
}

Transfers *
transfers_new (const void *ctx, const TransfersOptions *options)
{
  Transfers *t = talloc_zero (ctx, Transfers);

  t->options = *options;
  t->next_id = 1;
  t->requests = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (t, transfers_destroy);
  return t;
}
