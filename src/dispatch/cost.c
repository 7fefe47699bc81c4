#include "dispatch/cost.h"

#include <xxhash.h>

/* Parts that were processed longer ago have probably been evicted from the server's prefix
 * cache. */
#define PREFIX_LIFETIME_MS 30000

/* One more running request prolongs each step of an inference engine by about this time. */
#define MS_PER_RUNNING_REQUEST 0.4

/* Cost of traffic beyond the data centre, expressed as time: for the distance, and beyond the region
 * also for the size of the prompt. */
#define REGION_PENALTY_MS           2
#define REMOTE_PENALTY_MS           16
#define REMOTE_PENALTY_MS_PER_TOKEN 0.003

/* Cost of processing shared parts on a server that is not their affinity server and has not cached
 * them, beyond the time that it takes. */
#define REPEATED_PREFILL_PENALTY_MS_PER_TOKEN 0.12

/* Cost of a new connection beyond its set-up time: it takes a connection slot of the server. */
#define NEW_CONNECTION_PENALTY_MS 30

/* The cost of a server grows by this factor times its failure rate. */
#define FAILURE_PENALTY_FACTOR 6.0

/* Of requests whose route names none. */
#define DEFAULT_OBJECTIVE_MS 1000

/* The last part belongs to this request alone; other requests may share those before it. */
static size_t
n_shared_parts (const DispatchQuery *q)
{
  return q->n_parts > 0 ? q->n_parts - 1 : 0;
}

const Server *
cost_affinity_server (const List *servers, const DispatchQuery *q)
{
  size_t n = n_shared_parts (q);
  ServerDemand demand = { q->version, q->allowed, q->regions };
  const Server *affinity = NULL;
  uint64_t best = 0;

  if (n == 0)
    return NULL;
  for (ListNode *node = list_first (servers); node; node = list_next (servers, node))
    {
      const Server *s = LIST_ENTRY (node, Server, node);
      uint64_t score = XXH64 (&s->hash, sizeof s->hash, q->parts[n - 1].id);

      if (server_standing (s, q->now_ms) != SERVER_PREFERRED
          || server_fit (s, &demand) != SERVER_FITS || s->limit.requests_per_s > 0
          || cold_limit_is_cold (&s->cold, q->now_ms) || (affinity && score <= best))
        continue;
      affinity = s;
      best = score;
    }
  return affinity;
}

static bool
has_cached_part (const Server *s, const CostInputs *in, size_t i)
{
  const DispatchQuery *q = in->query;

  return prefix_map_has (in->map, q->parts[i].id, s->hash, q->now_ms - PREFIX_LIFETIME_MS);
}

Tokens
cost_prefill_tokens (const Server *s, const CostInputs *in)
{
  const DispatchQuery *q = in->query;
  Tokens prefill_tokens = q->prompt_tokens;

  for (size_t i = 0; i < q->n_parts; i++)
    {
      bool expected = s == in->affinity && i < n_shared_parts (q);

      if (!expected && !has_cached_part (s, in, i))
        break;
      prefill_tokens -= q->parts[i].tokens;
    }
  return prefill_tokens > 0 ? prefill_tokens : 0;
}

/* Like cost_prefill_tokens(), but counts only the parts that other requests may share. */
static Tokens
uncached_shared_tokens (const Server *s, const CostInputs *in)
{
  const DispatchQuery *q = in->query;
  Tokens uncached = 0;

  for (size_t i = 0; i < n_shared_parts (q); i++)
    if (s != in->affinity && (uncached > 0 || !has_cached_part (s, in, i)))
      uncached += q->parts[i].tokens;
  return uncached;
}

/* @return the time of processing @p tokens on a server of usual speed. */
static double
prefill_ms (const CostInputs *in, double tokens)
{
  double speed = in->latency->prefill_tokens_per_ms;

  return speed > 0 ? tokens / speed : 0;
}

/* @return the prompt tokens of other hosts' requests that the server still has to process. Of each, half is left on
 * average. Without the server's own figure, assumes that the same share of their requests waits for the first event as
 * of this host's. */
static double
others_backlog_tokens (const Server *s, const CostInputs *in)
{
  const LatencyModel *m = in->latency;
  double others;

  if (in->parts.queues)
    return server_others_waiting (s, in->query->now_ms) * m->mean_prefill_tokens * 0.5;
  others = server_other_requests (s, in->query->now_ms);
  if (s->in_flight == 0 || others <= 0)
    return 0;
  return (double)s->awaiting_first_event * others / s->in_flight * m->mean_prompt_tokens * 0.5;
}

/* @return the prompt tokens that the server has to process before those of another request. */
static double
backlog_tokens (const Server *s, const CostInputs *in)
{
  return (double)s->pending_prefill_tokens + others_backlog_tokens (s, in);
}

/* @return the requests that wait for a slot before another one gets its. */
static double
queued_requests (const Server *s, const CostInputs *in, double requests)
{
  double beyond_slots = requests - s->slots;
  double stated;

  if (s->slots <= 0)
    return 0;
  if (beyond_slots < 0)
    beyond_slots = 0;
  if (!in->parts.queues)
    return beyond_slots;
  stated = s->load.waiting * server_load_weight (&s->load, in->query->now_ms);
  return s->load.running >= s->slots && stated > beyond_slots ? stated : beyond_slots;
}

/* A slot becomes free after a request's mean time at a server, divided by the slots. */
static double
queue_ms (const Server *s, const CostInputs *in, double requests)
{
  double queued = queued_requests (s, in, requests);
  double residence_ms = in->parts.queues ? in->latency->residence_ms : in->latency->base_ms * 20;

  return s->slots > 0 ? queued / s->slots * residence_ms : 0;
}

double
cost_first_event_ms (const Server *s, const CostInputs *in)
{
  double requests = s->in_flight + server_other_requests (s, in->query->now_ms);
  double tokens = backlog_tokens (s, in) + (double)cost_prefill_tokens (s, in);
  double ms = in->latency->base_ms + requests * MS_PER_RUNNING_REQUEST + prefill_ms (in, tokens)
              + queue_ms (s, in, requests);

  return ms * s->latency_factor;
}

/* What a lost request of mean size is worth against this one: worth grows with the tokens. */
static double
relative_worth (const CostInputs *in)
{
  Tokens own = in->query->prompt_tokens;

  return own > 0 ? in->latency->mean_prompt_tokens / (double)own : 0;
}

static double
objective_ms (const CostInputs *in)
{
  return in->query->target_ms > 0 ? (double)in->query->target_ms : DEFAULT_OBJECTIVE_MS;
}

/* @return the chance that a stream which pauses for @p ms is late: none may be, and those beyond what their route allows
 * are. The square stands for pauses that add up to others. */
static double
chance_of_late (const CostInputs *in, double ms)
{
  double share = ms / (double)in->latency->gap_ms;

  return share < 1 ? share * share : 1;
}

/* Prompts are processed between the tokens of streams that run on the server, so that each pauses for as long as the
 * prompts that come together take. A stream that is late costs what this request loses if it is late by its whole
 * objective, in proportion to their worth. */
static double
pauses_ms (const Server *s, const CostInputs *in)
{
  double running
      = s->in_flight - s->awaiting_first_event + server_other_requests (s, in->query->now_ms);
  double before;
  double own;

  if (!in->parts.pauses || in->latency->gap_ms <= 0 || running <= 0)
    return 0;
  before = prefill_ms (in, backlog_tokens (s, in)) * s->latency_factor;
  own = prefill_ms (in, (double)cost_prefill_tokens (s, in)) * s->latency_factor;
  return running * relative_worth (in) * objective_ms (in)
         * (chance_of_late (in, before + own) - chance_of_late (in, before));
}

static double
distance_ms (const Server *s, const CostInputs *in)
{
  if (s->locality == LOCALITY_REGION)
    return REGION_PENALTY_MS;
  if (s->locality == LOCALITY_REMOTE)
    return REMOTE_PENALTY_MS + REMOTE_PENALTY_MS_PER_TOKEN * (double)in->query->prompt_tokens;
  return 0;
}

ServerCost
cost_of_server (const Server *s, const CostInputs *in)
{
  int64_t now = in->query->now_ms;
  ServerCost cost = { .first_event_ms = cost_first_event_ms (s, in) };

  /* Where a limit is kept, that alone decides how much the server gets, and its latency is learned from the responses. */
  if (cold_limit_is_cold (&s->cold, now) && !s->cold.limited)
    cost.first_event_ms *= 2;
  cost.failures_ms = cost.first_event_ms * FAILURE_PENALTY_FACTOR * s->failure_rate;
  cost.pauses_ms = pauses_ms (s, in);
  if (!idle_connections_available (&s->idle_connections, now))
    cost.connection_ms = NEW_CONNECTION_PENALTY_MS;
  cost.distance_ms = distance_ms (s, in);
  cost.repeated_ms = REPEATED_PREFILL_PENALTY_MS_PER_TOKEN * (double)uncached_shared_tokens (s, in);
  return cost;
}

double
cost_total (const ServerCost *c)
{
  return c->first_event_ms + c->failures_ms + c->pauses_ms + c->connection_ms + c->distance_ms
         + c->repeated_ms;
}

/* A request that another host has just sent isn't in the figures yet: on average half of its prompt is still to be
 * processed. */
double
cost_spread_ms (const CostInputs *in)
{
  const DispatchQuery *q = in->query;
  double unseen_ms = prefill_ms (in, in->latency->mean_prompt_tokens * 0.5);
  Tokens shared = 0;
  double shared_ms;

  if (!in->parts.spread)
    return 0;
  for (size_t i = 0; i < n_shared_parts (q); i++)
    shared += q->parts[i].tokens;
  shared_ms
      = prefill_ms (in, (double)shared) + REPEATED_PREFILL_PENALTY_MS_PER_TOKEN * (double)shared;
  return shared > 0 && shared_ms < unseen_ms ? shared_ms : unseen_ms;
}
