#include "dispatch/server_limit.h"

/* Divides a limit of N requests a second. A server tolerates 1.5 x 4 N + 5 requests in 4 s. The hosts that share N
 * send at most 0.65 x 4 N + (2 + 0.4 N) = 3 N + 2 in 4 s, so that twice as many hosts, of which one half does
 * not know the other, stay within it. */
#define USED_SHARE  0.65
#define BURST_FIXED 2.0
#define BURST_PER_N 0.4

/* A lower limit is treated as this one, so that some request shows when it ends. The server tolerates it, because
 * of the constant part of what it tolerates. */
#define MIN_REQUESTS_PER_S 0.15

/* Interval of reports to the other hosts, and of requests that show whether the limit is still in force. */
#define REPORT_INTERVAL_MS 6000

/* Shortest interval between reports of changes. */
#define CHANGE_INTERVAL_MS 1000

/* A host that uses no share sends a request if it has heard nothing of the limit for this time, and longer by a step
 * for each host before it. */
#define SILENCE_MS      30000
#define SILENCE_STEP_MS 3000

static double
applied_rate (const ServerLimit *l)
{
  return l->requests_per_s > MIN_REQUESTS_PER_S ? l->requests_per_s : MIN_REQUESTS_PER_S;
}

/* @return the number of requests that all sharing hosts together may send at once. */
static double
total_burst (const ServerLimit *l)
{
  return BURST_FIXED + BURST_PER_N * applied_rate (l);
}

/* @return the number of hosts that share the limit. Each of them may send at least one request at once. */
static int
n_sharing (const ServerLimit *l)
{
  int n = (int)total_burst (l);

  return n < l->hosts ? n : l->hosts;
}

static bool
has_share (const ServerLimit *l)
{
  return l->rank >= 0 && l->rank < n_sharing (l);
}

static void
refill (ServerLimit *l, int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - l->refilled_ms;
  double burst;

  l->refilled_ms = now_ms;
  if (!has_share (l))
    {
      l->tokens = 0;
      return;
    }
  burst = total_burst (l) / n_sharing (l);
  if (elapsed_ms > 0)
    l->tokens += USED_SHARE * applied_rate (l) / n_sharing (l) * (double)elapsed_ms / 1000;
  if (l->tokens > burst)
    l->tokens = burst;
}

bool
server_limit_apply (ServerLimit *l, LimitStatement statement, int64_t stated_ms, int64_t now_ms)
{
  double before = l->requests_per_s;

  if (statement.kind == LIMIT_NOT_STATED || stated_ms < l->stated_ms)
    return false;
  if (statement.kind == LIMIT_NONE && before == 0)
    return false;
  if (before > 0)
    refill (l, now_ms);
  else
    {
      l->tokens = 0;
      l->refilled_ms = now_ms;
      l->asked_ms = now_ms;
    }
  l->requests_per_s = statement.kind == LIMIT_NAMED ? statement.requests_per_s : 0;
  l->stated_ms = stated_ms;
  return l->requests_per_s != before;
}

void
server_limit_set_rank (ServerLimit *l, int hosts, int rank, uint32_t hosts_version, int64_t now_ms)
{
  if (l->requests_per_s > 0)
    refill (l, now_ms);
  l->hosts = hosts;
  l->rank = rank;
  l->hosts_version = hosts_version;
}

/* @return whether this host, which has no share, is to send a request because no host has reported the limit for
 * long. */
static bool
is_silent (const ServerLimit *l, int64_t now_ms)
{
  int64_t silence_ms = SILENCE_MS + SILENCE_STEP_MS * (int64_t)(l->rank > 0 ? l->rank : 0);
  int64_t heard_ms = l->stated_ms > l->asked_ms ? l->stated_ms : l->asked_ms;

  return now_ms - heard_ms >= silence_ms;
}

LimitState
server_limit_check (ServerLimit *l, int64_t now_ms)
{
  if (l->requests_per_s <= 0)
    return LIMIT_FREE;
  if (!has_share (l))
    return is_silent (l, now_ms) ? LIMIT_DUE : LIMIT_REACHED;
  refill (l, now_ms);
  if (l->tokens < 1)
    return LIMIT_REACHED;
  if (now_ms - l->stated_ms >= REPORT_INTERVAL_MS && now_ms - l->asked_ms >= REPORT_INTERVAL_MS)
    return LIMIT_DUE;
  return LIMIT_ROOM;
}

void
server_limit_take (ServerLimit *l, int64_t now_ms)
{
  if (l->requests_per_s <= 0)
    return;
  l->asked_ms = now_ms;
  if (has_share (l))
    l->tokens -= 1;
}

bool
server_limit_is_report_due (const ServerLimit *l, int64_t now_ms)
{
  int64_t silence_ms = now_ms - l->told_ms;

  if (l->requests_per_s != l->told_requests_per_s)
    return silence_ms >= CHANGE_INTERVAL_MS;
  return l->requests_per_s > 0 && silence_ms >= REPORT_INTERVAL_MS;
}

void
server_limit_told (ServerLimit *l, double requests_per_s, int64_t now_ms)
{
  l->told_requests_per_s = requests_per_s;
  l->told_ms = now_ms;
}

LimitStatement
server_limit_statement (const ServerLimit *l)
{
  return (LimitStatement){ .kind = l->requests_per_s > 0 ? LIMIT_NAMED : LIMIT_NONE,
                           .requests_per_s = l->requests_per_s };
}
