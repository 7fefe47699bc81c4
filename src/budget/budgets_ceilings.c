#include "budget/budgets_impl.h"

#include <inttypes.h>

#include "core/log.h"

/* A host that starts waits this long for the reply of its previous incarnation's witness before it draws tokens of the
 * accounts that this concerns. The witness may be about to start too. */
#define PREVIOUS_CONSENT_WAIT_MS 1000

/* The lower of the ceilings in force and the next ones: the store may have either. */
static void
lower_ceilings (AccountEntry *a)
{
  Ceiling unconsented = ceiling_without_consent (&a->next_ceiling);

  a->state.ceiling = ceiling_min (&a->state.ceiling, &a->next_ceiling);
  a->state.unconsented = ceiling_min (&a->state.unconsented, &unconsented);
}

/* What the previous incarnation held beyond its own grants is this one's as soon as the row that says so has been
 * replaced: from then on no other incarnation can take it over. */
static void
find_held (AccountEntry *a)
{
  Budgets *b = a->budgets;

  if (a->held_is_known)
    return;
  a->held_is_known = true;
  a->state.taking_over = ceiling_previous_held (ceiling_publisher_previous (b->publisher), a->name);
}

static void
take_over (AccountEntry *a)
{
  Tokens tokens = a->state.taking_over;

  if (tokens == 0)
    return;
  a->state.taking_over = 0;
  a->state.balance += tokens;
  a->state.regained += tokens;
  log_event (LOG_LEVEL_NOTICE, "budget", "taken_over", "account=%s tokens=%" PRId64, a->name,
             tokens);
}

void
budgets_forget_held (AccountEntry *a)
{
  a->held_is_known = true;
  a->state.taking_over = 0;
}

/* A ceiling above 0 of an account without grants says no more than none at all. */
static bool
is_published (const AccountEntry *a)
{
  return a->state.granted > 0 || a->state.taking_over > 0 || a->next_ceiling.base < 0
         || a->state.ceiling.base < 0;
}

static void
on_collect (void *data, CeilingFn fn, void *fn_data)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  GHashTableIter iter;
  gpointer value;

  pthread_mutex_lock (&b->lock);
  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      AccountEntry *a = value;

      find_held (a);
      a->next_ceiling = budget_account_next_ceiling (&a->state, &b->options.policy, now);
      if (is_published (a))
        fn (fn_data, a->name, &a->next_ceiling);
      else
        /* An account that is missing from the published row has used nothing before ceilings start to grow. */
        a->next_ceiling = CEILING_NONE;
      lower_ceilings (a);
    }
  pthread_mutex_unlock (&b->lock);
}

static void
on_published (void *data, bool committed)
{
  Budgets *b = data;
  int64_t now = timers_now_ms (b->options.timers);
  GHashTableIter iter;
  gpointer value;

  if (!committed)
    return;
  pthread_mutex_lock (&b->lock);
  g_hash_table_iter_init (&iter, b->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      AccountEntry *a = value;

      a->state.ceiling = a->next_ceiling;
      a->state.unconsented = ceiling_without_consent (&a->next_ceiling);
      if (a->held_is_known)
        take_over (a);
      cover_serve (a, now);
      wait_serve (a, now);
    }
  pthread_mutex_unlock (&b->lock);
}

static void
on_ready (void *data)
{
  Budgets *b = data;

  b->ready_ms = timers_now_ms (b->options.timers);
  budgets_growth_step (b);
  budgets_step (b);
}

static const WitnessId *
find_witness (void *data)
{
  const Budgets *b = data;

  return growth_witness_current (b->growth_witness);
}

const CeilingPublisherEvents budgets_ceiling_events = {
  .collect = on_collect, .ready = on_ready, .published = on_published, .witness = find_witness
};

/* --- Growth of ceilings without use ------------------------------------------------------ */

/* Requests may wait for what the witness has said. */
static void
schedule_step (Budgets *b)
{
  pthread_mutex_lock (&b->lock);
  budgets_schedule_step (b);
  pthread_mutex_unlock (&b->lock);
}

void
budgets_growth_replied (void *data, const WitnessId *witness, uint64_t incarnation,
                        uint64_t publication)
{
  Budgets *b = data;
  CeilingPrevious *previous = ceiling_publisher_previous (b->publisher);

  if (incarnation == b->options.incarnation)
    {
      ceiling_publisher_consent (b->publisher, witness, publication);
      schedule_step (b);
    }
  else if (incarnation == previous->incarnation && previous->consent == CONSENT_ASKED)
    {
      ceiling_previous_set_consent (previous, witness, publication);
      log_event (LOG_LEVEL_NOTICE, "budget", "growth_known",
                 "witness=%s publication=%" PRIu64 " given=%d", witness->host, publication,
                 previous->consent != CONSENT_NOT_GIVEN);
      schedule_step (b);
    }
}

void
budgets_growth_step (Budgets *b)
{
  int64_t now = timers_now_ms (b->options.timers);
  CeilingPrevious *previous = ceiling_publisher_previous (b->publisher);
  const GrowthConsent *needed = ceiling_publisher_needs_consent (b->publisher, now);

  if (ceiling_publisher_wants_witness (b->publisher))
    growth_witness_step (b->growth_witness, now);
  if (needed)
    growth_witness_request (b->growth_witness, &needed->witness, needed->publication);
  if (previous->consent != CONSENT_ASKED)
    return;
  if (now - b->ready_ms >= PREVIOUS_CONSENT_WAIT_MS || !b->options.peers)
    ceiling_previous_give_up (previous);
  else
    growth_witness_query (b->growth_witness, &previous->witness, previous->incarnation);
}
