#include "dispatch/cost.h"

/* Parts that were read longer ago have probably been displaced. */
#define PART_LIFETIME_MS 30000

/* One more running request makes each step of an engine longer by about this. */
#define RUNNING_MS 0.4

/* Milliseconds that traffic to other data centres and regions may save at least, for what it costs. */
#define REGION_MS    2
#define ELSEWHERE_MS 40

/* A server that fails a share of its requests costs as if it were that much slower. */
#define FAILING_FACTOR 6.0

Tokens
cost_unread_tokens (const Server *s, const DispatchQuery *q, const PrefixMap *map)
{
  Tokens unread = q->prompt_tokens;

  for (size_t i = 0; i < q->n_parts; i++)
    {
      if (!prefix_map_has (map, q->parts[i].id, s->hash, q->now_ms - PART_LIFETIME_MS))
        break;
      unread -= q->parts[i].tokens;
    }
  return unread > 0 ? unread : 0;
}

double
cost_first_ms (const Server *s, const DispatchQuery *q, const ServicePace *pace,
               const PrefixMap *map)
{
  double others = server_others (s, q->now_ms);
  double running = s->in_flight + others;
  double waiting = s->slots > 0 && running > s->slots ? running - s->slots : 0;
  double tokens = (double)s->prompt_tokens + (double)cost_unread_tokens (s, q, map);
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
cost_of (const Server *s, const DispatchQuery *q, const ServicePace *pace, const PrefixMap *map)
{
  double ms = cost_first_ms (s, q, pace, map) * (1.0 + FAILING_FACTOR * s->failing);

  if (s->cold_until_ms > q->now_ms)
    ms *= 2;
  if (s->place == PLACE_REGION)
    ms += REGION_MS;
  if (s->place == PLACE_ELSEWHERE)
    ms += ELSEWHERE_MS;
  return ms;
}
