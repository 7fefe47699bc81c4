#include <stdlib.h>

#include "budget/budgets_impl.h"

/* Covered beyond what a request has used, at least. Requests that state little more than this are covered whole. */
#define MIN_AHEAD_TOKENS 512

/* A request is covered for what it delivers in this time: until the next ceilings are published, and while a store that
 * does not respond has not yet made them grow. */
#define AHEAD_MS (CEILING_GROWTH_DELAY_MS + 800)

#define MS_PER_S 1000

/* Answers may come faster than they have so far. */
#define GROWTH_FACTOR 2

/* That a request may use more, while it is posted to the request's executor. */
struct CoverNotice
{
  Reservation *reservation; /* NULL once it has been freed */
};

static Tokens
growth_per_s (const Cover *c)
{
  return GROWTH_FACTOR * c->ahead * MS_PER_S / AHEAD_MS;
}

/* The account's growth counts requests that are not covered whole. */
static void
set_ahead (Reservation *r, Tokens ahead)
{
  BudgetAccount *s = &r->account->state;

  s->cover_per_s -= growth_per_s (&r->cover);
  r->cover.ahead = ahead;
  s->cover_per_s += growth_per_s (&r->cover);
}

static void
set_wanted (Reservation *r, Tokens wanted)
{
  r->account->state.cover_wanted += wanted - r->cover.wanted;
  r->cover.wanted = wanted;
}

void
cover_init (Cover *c, const ReserveRequest *request)
{
  Tokens first = tokens_add_saturated (request->first_tokens, MIN_AHEAD_TOKENS);

  if (!request->covered || first >= request->tokens)
    return;
  c->grows = true;
  c->uncovered = request->tokens - first;
  c->fn = request->covered;
}

static void
stop_waiting (Reservation *r)
{
  if (r->cover.waits)
    list_remove (&r->cover.node);
  r->cover.waits = false;
}

void
cover_end (Reservation *r)
{
  Cover *c = &r->cover;

  if (c->notice)
    c->notice->reservation = NULL;
  c->notice = NULL;
  stop_waiting (r);
  set_wanted (r, 0);
  set_ahead (r, 0);
  r->account->state.uncovered -= c->uncovered;
  c->uncovered = 0;
}

/* The pace is that since the first piece. */
static Tokens
tokens_ahead (const Cover *c, int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - c->first_used_ms;
  Tokens paced = elapsed_ms > 0 ? (c->used - c->first_used) * AHEAD_MS / elapsed_ms : 0;

  return tokens_max (paced, MIN_AHEAD_TOKENS);
}

/* @return whether that much of the reservation may be used now. */
static bool
cover_up_to (Reservation *r, Tokens tokens, Tokens ceiling)
{
  Cover *c = &r->cover;
  Tokens more = tokens_min (tokens, r->tokens) - (r->tokens - c->uncovered);

  if (more <= 0)
    return true;
  if (!budget_account_cover (&r->account->state, more, ceiling))
    return false;
  c->uncovered -= more;
  return true;
}

/* Covers as much as is to be covered ahead or, if the ceiling does not allow that, what is used. @return whether what is
 * used is covered. */
static bool
grow (Reservation *r, int64_t now_ms)
{
  Cover *c = &r->cover;
  Tokens ceiling = budgets_effective_ceiling (r->account, now_ms);
  Tokens goal = tokens_add_saturated (c->used, c->ahead);
  bool has_goal = cover_up_to (r, goal, ceiling);
  bool ok = has_goal || cover_up_to (r, c->used, ceiling);

  set_wanted (r, has_goal ? 0 : tokens_min (goal - (r->tokens - c->uncovered), c->uncovered));
  if (c->uncovered == 0)
    set_ahead (r, 0);
  return ok;
}

/* @return whether so little is covered ahead that more should be. */
static bool
is_low (const Reservation *r)
{
  const Cover *c = &r->cover;

  return c->uncovered > 0 && r->tokens - c->uncovered - c->used < c->ahead / 2;
}

static void
note_use (Reservation *r, Tokens tokens, int64_t now_ms)
{
  Cover *c = &r->cover;

  c->used = tokens;
  if (c->first_used_ms == 0)
    {
      c->first_used_ms = now_ms;
      c->first_used = tokens;
    }
  if (c->uncovered > 0)
    set_ahead (r, tokens_ahead (c, now_ms));
}

bool
reservation_cover (Reservation *r, Tokens tokens, int64_t now_ms)
{
  AccountEntry *a = r->account;
  Cover *c = &r->cover;
  bool ok = true;

  if (!c->grows)
    return true;
  pthread_mutex_lock (&a->budgets->lock);
  note_use (r, tokens, now_ms);
  if (is_low (r))
    ok = grow (r, now_ms);
  if (!ok && !c->waits)
    {
      c->waits = true;
      list_append (&a->cover_waiters, &c->node);
      budgets_schedule_step (a->budgets);
    }
  pthread_mutex_unlock (&a->budgets->lock);
  return ok;
}

static void
deliver_notice (void *data)
{
  CoverNotice *notice = data;
  Reservation *r = notice->reservation;

  free (notice);
  if (!r)
    return;
  r->cover.notice = NULL;
  r->cover.fn (r->data);
}

static void
notify (Reservation *r)
{
  CoverNotice *notice;

  if (r->cover.notice)
    return;
  notice = calloc (1, sizeof *notice);
  if (!notice)
    abort ();
  notice->reservation = r;
  r->cover.notice = notice;
  executor_post (r->callback_executor, deliver_notice, notice);
}

void
cover_serve (AccountEntry *a, int64_t now_ms)
{
  ListNode *next;

  for (ListNode *n = list_first (&a->cover_waiters); n; n = next)
    {
      Reservation *r = LIST_ENTRY (n, Reservation, cover.node);

      next = list_next (&a->cover_waiters, n);
      if (!grow (r, now_ms))
        continue;
      stop_waiting (r);
      notify (r);
    }
}
