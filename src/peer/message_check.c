#include "peer/message_check.h"

#include "dispatch/limit_statement.h"

/* Of an amount of tokens: as in the rows of budgets. */
#define MAX_AMOUNT (INT64_MAX / 4)

/* Ages are differences of times of one clock that are read by two threads, so that some are a little below 0. */
#define MIN_AGE_MS (-60000)
#define MAX_AGE_MS ((int64_t)1 << 53)

static bool
is_within (int64_t n, int64_t min, int64_t max)
{
  return n >= min && n <= max;
}

static bool
is_age (int64_t ms)
{
  return is_within (ms, MIN_AGE_MS, MAX_AGE_MS);
}

/* What is transferred or asked for. */
static bool
is_part (int64_t tokens)
{
  return is_within (tokens, 0, MAX_AMOUNT);
}

/* What a host knows may be below 0 for a time. */
static bool
is_amount (int64_t tokens)
{
  return is_within (tokens, -MAX_AMOUNT, MAX_AMOUNT);
}

static bool
is_ask_valid (const Pond__BalanceAsk *m)
{
  return is_part (m->tokens) && is_part (m->wish) && is_amount (m->spent) && is_amount (m->held);
}

static bool
is_give_valid (const Pond__BalanceGive *m)
{
  return is_part (m->tokens) && is_amount (m->spent) && is_amount (m->held) && is_amount (m->left);
}

/* Written so that "not a number" fails. */
static bool
is_limit_valid (const Pond__ServerLimited *m)
{
  return m->requests_per_s >= 0 && m->requests_per_s <= LIMIT_MAX_REQUESTS_PER_S
         && is_age (m->age_ms);
}

static bool
are_counts (const uint32_t *list, size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (list[i] > INT32_MAX)
      return false;
  return true;
}

static bool
are_loads_valid (const Pond__ServerLoads *m)
{
  size_t n = m->n_server;

  return m->n_running == n && m->n_waiting == n && m->n_pace == n && m->n_age_ms == n
         && are_counts (m->running, n) && are_counts (m->waiting, n) && are_counts (m->pace, n)
         && are_counts (m->age_ms, n);
}

bool
peer_message_is_valid (const Pond__Envelope *env)
{
  switch (env->body_case)
    {
    case POND__ENVELOPE__BODY_BALANCE_ASK:
      return is_ask_valid (env->balance_ask);
    case POND__ENVELOPE__BODY_BALANCE_GIVE:
      return is_give_valid (env->balance_give);
    case POND__ENVELOPE__BODY_ROTATION_TOLD:
      return is_age (env->rotation_told->out_ms);
    case POND__ENVELOPE__BODY_SERVER_LIMITED:
      return is_limit_valid (env->server_limited);
    case POND__ENVELOPE__BODY_REQUEST_CUT:
      return is_age (env->request_cut->age_ms);
    case POND__ENVELOPE__BODY_REQUEST_SOUND:
      return is_age (env->request_sound->age_ms);
    case POND__ENVELOPE__BODY_SERVER_LOADS:
      return are_loads_valid (env->server_loads);
    default:
      return true;
    }
}
