#include "dispatch/cost.h"

#include <xxhash.h>

/* Parts that were read longer ago have probably been displaced. */
#define PART_LIFETIME_MS 30000

/* One more running request makes each step of an engine longer by about this. */
#define RUNNING_MS 0.4

/* What traffic to another region costs, as if it were time: the way, and more for long prompts. */
#define REGION_MS           2
#define ELSEWHERE_MS        16
#define ELSEWHERE_TOKENS_MS 0.003

/* What it costs beyond the time to read shared parts again that another server has read, a token. */
#define READ_AGAIN_MS 0.12

/* What a new connection costs beyond its time: the server holds a slot for it. */
#define CONNECT_MS 30

/* A server that fails a share of its requests costs as if it were that much slower. */
#define FAILING_FACTOR 6.0

/* The last part is the request's own; those before it are shared. */
static size_t
shared_parts (const DispatchQuery *q)
{
  return q->n_parts > 0 ? q->n_parts - 1 : 0;
}

const Server *
cost_home (const List *servers, const DispatchQuery *q)
{
  size_t n = shared_parts (q);
  const Server *home = NULL;
  uint64_t best = 0;

  if (n == 0)
    return NULL;
  for (ListNode *node = list_first (servers); node; node = list_next (servers, node))
    {
      const Server *s = LIST_ENTRY (node, Server, node);
      uint64_t score = XXH64 (&s->hash, sizeof s->hash, q->parts[n - 1].id);

      if (!server_is_usable (s, q->now_ms) || (home && score <= best))
        continue;
      home = s;
      best = score;
    }
  return home;
}

static bool
holds_part (const Server *s, const DispatchQuery *q, const PrefixMap *map, size_t i)
{
  return prefix_map_has (map, q->parts[i].id, s->hash, q->now_ms - PART_LIFETIME_MS);
}

Tokens
cost_unread_tokens (const Server *s, const DispatchQuery *q, const PrefixMap *map,
                    const Server *home)
{
  Tokens unread = q->prompt_tokens;

  for (size_t i = 0; i < q->n_parts; i++)
    {
      bool expected = s == home && i < shared_parts (q);

      if (!expected && !holds_part (s, q, map, i))
        break;
      unread -= q->parts[i].tokens;
    }
  return unread > 0 ? unread : 0;
}

/* Of the shared parts alone. */
static Tokens
unread_shared (const Server *s, const DispatchQuery *q, const PrefixMap *map, const Server *home)
{
  Tokens unread = 0;

  for (size_t i = 0; i < shared_parts (q); i++)
    if (s != home && (unread > 0 || !holds_part (s, q, map, i)))
      unread += q->parts[i].tokens;
  return unread;
}

double
cost_first_ms (const Server *s, const DispatchQuery *q, const ServicePace *pace,
               const PrefixMap *map, const Server *home)
{
  double others = server_others (s, q->now_ms);
  double running = s->in_flight + others;
  double waiting = s->slots > 0 && running > s->slots ? running - s->slots : 0;
  double tokens = (double)s->prompt_tokens + (double)cost_unread_tokens (s, q, map, home);
  double ms;

  if (s->in_flight > 0 && others > 0)
    tokens += (double)s->awaiting_first * others / s->in_flight * pace->mean_prompt * 0.5;
  ms = pace->base_ms + running * RUNNING_MS;
  if (pace->tokens_per_ms > 0)
    ms += tokens / pace->tokens_per_ms;
  if (s->slots > 0)
    ms += waiting / s->slots * pace->base_ms * 20;
  return ms * s->slowness;
}

double
cost_of (const Server *s, const DispatchQuery *q, const ServicePace *pace, const PrefixMap *map,
         const Server *home)
{
  double ms = cost_first_ms (s, q, pace, map, home) * (1.0 + FAILING_FACTOR * s->failing);

  if (s->cold_until_ms > q->now_ms)
    ms *= 2;
  if (!connections_has_idle (&s->connections, q->now_ms))
    ms += CONNECT_MS;
  if (s->place == PLACE_REGION)
    ms += REGION_MS;
  if (s->place == PLACE_ELSEWHERE)
    ms += ELSEWHERE_MS + ELSEWHERE_TOKENS_MS * (double)q->prompt_tokens;
  return ms + READ_AGAIN_MS * (double)unread_shared (s, q, map, home);
}
