#include "budget/lending.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core/log.h"

/* A keeper answers within a round trip, if only that the store has to answer it first. */
#define ANSWER_MS  150
#define PENDING_MS 600

/* A keeper that did not answer is passed over for this long. */
#define AVOID_MS 1500

/* A host that leaves has withdrawn its row by then; one that starts again is asked again. */
#define LEAVE_MS 12000

#define MAX_KEEPERS_ASKED 3

typedef struct
{
  Lending *lending;
  uint64_t id;
  char *account;
  char *host; /* that was asked last */
  Tokens tokens;
  Tokens wish;
  Tokens spent;
  Tokens held;
  int asked;
  bool pending;  /* the host that was asked last waits for the store */
  unsigned rank; /* of the keeper to ask next, among those that are not passed over */
  Timer *timer;
} Ask;

struct Lending
{
  LendingOptions options;
  uint64_t next_id;
  GHashTable *asks; /* by id */
};

static bool send_ask (Ask *a);

static void
end_ask (Ask *a, LendingEnd end)
{
  Lending *l = a->lending;

  g_hash_table_remove (l->asks, &a->id);
  l->options.events->ended (l->options.data, a->id, a->account, end);
  talloc_free (a);
}

static void
on_no_answer (void *data)
{
  Ask *a = data;
  Lending *l = a->lending;

  a->timer = NULL;
  log_event (LOG_LEVEL_INFO, "budget", a->pending ? "keeper_waits" : "keeper_silent",
             "host=%s account=%s tokens=%" PRId64, a->host, a->account, a->tokens);
  if (a->pending)
    {
      end_ask (a, LENDING_WAITS);
      return;
    }
  keepers_avoid (l->options.keepers, a->host, timers_now_ms (l->options.timers) + AVOID_MS);
  if (a->asked >= MAX_KEEPERS_ASKED || !send_ask (a))
    end_ask (a, LENDING_NOTHING);
}

/* A keeper that was silent is avoided, so that the next one takes its rank. */
static bool
send_ask (Ask *a)
{
  Lending *l = a->lending;
  int64_t now = timers_now_ms (l->options.timers);
  const char *host = keepers_of (l->options.keepers, a->account, a->rank, now);
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__BalanceAsk ask = POND__BALANCE_ASK__INIT;

  if (!l->options.peers || !host || keepers_is_own (l->options.keepers, host))
    return false;
  talloc_free (a->host);
  a->host = talloc_strdup (a, host);
  a->asked++;
  a->pending = false;
  ask.id = a->id;
  ask.account = a->account;
  ask.tokens = a->tokens;
  ask.wish = a->wish;
  ask.spent = a->spent;
  ask.held = a->held;
  a->spent = 0;
  env.body_case = POND__ENVELOPE__BODY_BALANCE_ASK;
  env.balance_ask = &ask;
  peer_transport_send (l->options.peers, a->host, &env);
  a->timer = timers_start (l->options.timers, a, ANSWER_MS, on_no_answer, a);
  return true;
}

uint64_t
lending_ask (Lending *l, const LendingAsk *ask)
{
  Ask *a = talloc_zero (l, Ask);

  a->lending = l;
  a->id = l->next_id++;
  a->account = talloc_strdup (a, ask->account);
  a->tokens = ask->tokens;
  a->wish = ask->wish;
  a->spent = ask->spent;
  a->held = ask->held;
  if (!send_ask (a))
    {
      talloc_free (a);
      return 0;
    }
  g_hash_table_insert (l->asks, &a->id, a);
  return a->id;
}

void
lending_give (Lending *l, const char *host, const LendingGive *give)
{
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__BalanceGive message = POND__BALANCE_GIVE__INIT;

  message.id = give->id;
  message.account = (char *)give->account;
  message.tokens = give->tokens;
  message.spent = give->spent;
  message.held = give->held;
  message.exhausted = give->exhausted;
  message.counted = give->counted;
  message.left = give->left;
  message.pending = give->pending;
  message.cut_off = give->cut_off;
  env.body_case = POND__ENVELOPE__BODY_BALANCE_GIVE;
  env.balance_give = &message;
  peer_transport_send (l->options.peers, host, &env);
}

/* Another keeper may reach the store. This one is not avoided: it may hold tokens of other accounts. */
static bool
ask_next (Ask *a)
{
  a->rank++;
  return a->asked < MAX_KEEPERS_ASKED && send_ask (a);
}

static LendingEnd
end_of (const Ask *a, const LendingGive *give)
{
  if (give->exhausted)
    return LENDING_EXHAUSTED;
  if (give->tokens < a->tokens)
    return LENDING_NOTHING;
  return give->tokens > a->tokens ? LENDING_MORE : LENDING_ENOUGH;
}

static void
wait_longer (Ask *a)
{
  a->pending = true;
  talloc_free (a->timer);
  a->timer = timers_start (a->lending->options.timers, a, PENDING_MS, on_no_answer, a);
}

/* An answer that comes late brings its tokens all the same. */
static void
take_give (Lending *l, const char *from, const Pond__BalanceGive *message)
{
  LendingGive give = { .id = message->id,
                       .account = message->account,
                       .tokens = message->tokens,
                       .spent = message->spent,
                       .held = message->held,
                       .exhausted = message->exhausted,
                       .counted = message->counted,
                       .left = message->left,
                       .pending = message->pending,
                       .cut_off = message->cut_off };
  Ask *a = g_hash_table_lookup (l->asks, &give.id);

  if (give.pending)
    {
      if (a)
        wait_longer (a);
      return;
    }
  l->options.events->received (l->options.data, from, &give);
  if (!a)
    return;
  TALLOC_FREE (a->timer);
  if (give.cut_off && ask_next (a))
    return;
  end_ask (a, end_of (a, &give));
}

static void
take_ask (Lending *l, const char *from, const Pond__BalanceAsk *message)
{
  LendingAsk ask = { .id = message->id,
                     .account = message->account,
                     .tokens = message->tokens,
                     .wish = message->wish,
                     .spent = message->spent,
                     .held = message->held };

  l->options.events->asked (l->options.data, from, &ask);
}

static void
tell_leaving (void *data, const char *host)
{
  Lending *l = data;
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__BalanceLeave leave = POND__BALANCE_LEAVE__INIT;

  env.body_case = POND__ENVELOPE__BODY_BALANCE_LEAVE;
  env.balance_leave = &leave;
  peer_transport_send (l->options.peers, host, &env);
}

void
lending_leave (Lending *l)
{
  keepers_leave (l->options.keepers);
  if (l->options.peers)
    keepers_each_other (l->options.keepers, tell_leaving, l);
}

bool
lending_on_message (Lending *l, const Pond__Envelope *env)
{
  if (env->body_case == POND__ENVELOPE__BODY_BALANCE_LEAVE)
    keepers_avoid (l->options.keepers, env->from, timers_now_ms (l->options.timers) + LEAVE_MS);
  else if (env->body_case == POND__ENVELOPE__BODY_BALANCE_GIVE)
    take_give (l, env->from, env->balance_give);
  else if (env->body_case == POND__ENVELOPE__BODY_BALANCE_ASK)
    take_ask (l, env->from, env->balance_ask);
  else
    return false;
  return true;
}

static int
lending_destroy (Lending *l)
{
  g_hash_table_unref (l->asks);
  return 0;
}

Lending *
lending_new (const void *ctx, const LendingOptions *options)
{
  Lending *l = talloc_zero (ctx, Lending);

  l->options = *options;
  l->next_id = 1;
  l->asks = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (l, lending_destroy);
  return l;
}
