#include "overload/account_shares.h"

#include <math.h>

#include <glib.h>
#include <talloc.h>

/* As for ranks, but longer: an account may send less than one request a second to a host. */
#define MEMORY_MS 4000.0

#define DIVIDE_EVERY_MS 200

/* Steps of the bisection: the share is exact to a thousandth of the largest. */
#define BISECTIONS 24

/* What is usual fades over minutes, and is learned only while there is room, so that a flood does not become usual. */
#define USUAL_MEMORY_MS 120000.0

/* An account floods with what it offers beyond so many times its usual work, if the others offer theirs; a surge of all
 * accounts is no flood. */
#define FLOOD_FACTOR 2.0

/* After this time nothing is left of an account's work. */
#define FORGOTTEN_MS 300000

typedef struct
{
  char *name;
  double work;
  double usual; /* work that was offered while there was room for all, fading; 0: none */
  int64_t updated_ms;
  int64_t newest_ms; /* of its requests */
} Account;

struct AccountShares
{
  GHashTable *accounts; /* by name */
  double work;          /* of all accounts */
  double usual;
  double fair; /* work of an account by its usual one; infinite: there is enough for all */
  double mean_usual;
  int64_t divided_ms;
};

static int
shares_destroy (AccountShares *s)
{
  g_hash_table_unref (s->accounts);
  return 0;
}

AccountShares *
account_shares_new (const void *ctx)
{
  AccountShares *s = talloc_zero (ctx, AccountShares);

  s->accounts = g_hash_table_new (g_str_hash, g_str_equal);
  s->fair = INFINITY;
  s->mean_usual = 1;
  talloc_set_destructor (s, shares_destroy);
  return s;
}

static void
fade (Account *a, int64_t now_ms)
{
  a->work *= exp (-(double)(now_ms - a->updated_ms) / MEMORY_MS);
  a->usual *= exp (-(double)(now_ms - a->updated_ms) / USUAL_MEMORY_MS);
  a->updated_ms = now_ms;
}

static double
weight_of (const AccountShares *s, const Account *a)
{
  return a->usual > 0 ? a->usual : s->mean_usual;
}

/* Work that is served if each account gets up to @p fair times its usual one. */
static double
served_at (const AccountShares *s, double fair)
{
  GHashTableIter iter;
  gpointer value;
  double served = 0;

  g_hash_table_iter_init (&iter, s->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Account *a = value;
      double part = fair * weight_of (s, a);

      served += a->work < part ? a->work : part;
    }
  return served;
}

typedef struct
{
  double work;
  double usual;
  double largest; /* work by the usual one */
  unsigned with_usual;
} Totals;

static Totals
sum_accounts (AccountShares *s, int64_t now_ms)
{
  Totals t = { 0 };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Account *a = value;

      fade (a, now_ms);
      t.work += a->work;
      t.with_usual += a->usual > 0;
      t.usual += a->usual;
    }
  s->mean_usual = t.with_usual > 0 ? t.usual / t.with_usual : 1;
  g_hash_table_iter_init (&iter, s->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    t.largest = fmax (t.largest, ((Account *)value)->work / weight_of (s, value));
  return t;
}

static void
forget_idle (AccountShares *s, int64_t now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, s->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((Account *)value)->newest_ms >= FORGOTTEN_MS)
      {
        g_hash_table_iter_remove (&iter);
        talloc_free (value);
      }
}

static void
divide (AccountShares *s, double level, int64_t now_ms)
{
  Totals t;
  double low = 0;
  double high;

  s->divided_ms = now_ms;
  forget_idle (s, now_ms);
  t = sum_accounts (s, now_ms);
  high = t.largest;
  s->work = t.work;
  s->usual = t.usual;
  if (level >= 1)
    {
      s->fair = INFINITY;
      return;
    }
  for (int i = 0; i < BISECTIONS; i++)
    {
      double middle = (low + high) / 2;

      if (served_at (s, middle) < level * t.work)
        low = middle;
      else
        high = middle;
    }
  s->fair = high;
}

static Account *
find_account (AccountShares *s, const char *name, int64_t now_ms)
{
  Account *a = g_hash_table_lookup (s->accounts, name);

  if (a || g_hash_table_size (s->accounts) >= ACCOUNT_SHARES_MAX)
    return a;
  a = talloc_zero (s, Account);
  a->name = talloc_strdup (a, name);
  a->updated_ms = now_ms;
  g_hash_table_insert (s->accounts, a->name, a);
  return a;
}

/* @return the work of an account that is no flood. */
static double
work_without_flood (const AccountShares *s, const Account *a)
{
  double other_usual = s->usual - a->usual;
  double other_work = s->work - a->work;
  double surge = other_usual > 0 ? other_work / other_usual : 0;
  double per_usual = MEMORY_MS / USUAL_MEMORY_MS;

  if (a->usual <= 0 || other_usual <= 0)
    return INFINITY;
  return FLOOD_FACTOR * (surge > per_usual ? surge : per_usual) * a->usual;
}

ShareStanding
account_shares_add (AccountShares *s, const char *account, double work, double level, Rng *rng,
                    int64_t now_ms, double *share)
{
  Account *a;
  double part;
  double place;

  *share = 1;
  if (now_ms - s->divided_ms >= DIVIDE_EVERY_MS)
    divide (s, level, now_ms);
  a = find_account (s, account ? account : "", now_ms);
  if (!a)
    return SHARE_WITHIN;
  fade (a, now_ms);
  a->newest_ms = now_ms;
  a->usual += level >= 1 ? work : 0;
  a->work += work;
  part = s->fair * weight_of (s, a);
  if (level >= 1 || a->work <= part)
    return SHARE_WITHIN;
  *share = part / a->work;
  place = rng_unit (rng) * a->work;
  if (place < part)
    return SHARE_WITHIN;
  return place < work_without_flood (s, a) ? SHARE_BEYOND : SHARE_FAR_BEYOND;
}

unsigned
account_shares_count (const AccountShares *s)
{
  return g_hash_table_size (s->accounts);
}
