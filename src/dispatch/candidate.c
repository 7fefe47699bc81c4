#include "dispatch/candidate.h"

#include <string.h>

#include "dispatch/connection_share.h"

static bool
was_tried (const Server *s, const DispatchQuery *q)
{
  for (size_t i = 0; i < q->n_tried; i++)
    if (!strcmp (s->id, q->tried[i]))
      return true;
  return false;
}

static int
share_of_few (const Dispatch *d, const CatalogService *service, Server *s)
{
  return connection_share_of_few (service->connection_limit, rank_of_host (d, s));
}

/* @return the requests that this host may have in flight at the server. */
static int
share_of_server (const Dispatch *d, const ServerPool *p, const DispatchQuery *q, Server *s)
{
  int share = connection_share_of_each (q->service->connection_limit, n_hosts (d));
  int places;

  if (!share)
    share = share_of_few (d, q->service, s);
  if (!brittle_is_in_force (&p->brittle, q->now_ms))
    return share;
  places = brittle_share (s->slots, n_hosts (d), rank_of_host (d, s));
  return places < share ? places : share;
}

CostInputs
candidate_cost_inputs (const Dispatch *d, const ServerPool *p, const DispatchQuery *q,
                       const Server *affinity)
{
  return (CostInputs){ q, &p->latency, d->prefixes, affinity, d->options.parts };
}

static double
policy_cost (Dispatch *d, const ServerPool *p, const Server *s, const DispatchQuery *q,
             const Server *affinity)
{
  CostInputs inputs;
  ServerCost cost;

  if (!strcmp (d->options.policy, "random") || !strcmp (d->options.policy, "two_choices"))
    return rng_unit (&d->rng);
  if (!strcmp (d->options.policy, "least"))
    return s->in_flight + server_other_requests (s, q->now_ms) + rng_unit (&d->rng);
  inputs = candidate_cost_inputs (d, p, q, affinity);
  cost = cost_of_server (s, &inputs);
  return cost_total (&cost) + rng_unit (&d->rng) * cost_spread_ms (&inputs);
}

/* The only place that decides whether a server may get a request at all, however busy it is. */
static CandidateVerdict
check_fit (const DispatchQuery *q, const Server *s, Candidate *c)
{
  ServerDemand demand = { q->version, q->allowed, q->regions };

  if (s->draining)
    return CANDIDATE_DRAINING;
  if (was_tried (s, q))
    return CANDIDATE_TRIED;
  c->fit = server_fit (s, &demand);
  return c->fit == SERVER_FITS ? CANDIDATE_ELIGIBLE : CANDIDATE_UNFIT;
}

static CandidateVerdict
check_room (Dispatch *d, const ServerPool *p, const DispatchQuery *q, Server *s, Candidate *c)
{
  if (q->now_ms < s->pause_until_ms)
    return CANDIDATE_PAUSED;
  if (s->in_flight >= share_of_server (d, p, q, s))
    return CANDIDATE_AT_SHARE;
  if (c->standing == SERVER_EXCLUDED)
    return CANDIDATE_EXCLUDED;
  if (!has_room_if_cold (d, s, q))
    return CANDIDATE_COLD;
  c->limit = check_limit (d, s, q->now_ms);
  if (c->limit == LIMIT_REACHED)
    return CANDIDATE_LIMITED;
  c->room = service_room_fit (s, p->hold_ms, q->target_ms, q->left_ms, q->now_ms);
  return c->room == ROOM_NONE ? CANDIDATE_FULL : CANDIDATE_ELIGIBLE;
}

Candidate
candidate_assess (Dispatch *d, const ServerPool *p, const DispatchQuery *q, Server *s,
                  const Server *affinity)
{
  Candidate c = { .standing = server_standing (s, q->now_ms) };

  c.verdict = check_fit (q, s, &c);
  if (c.verdict == CANDIDATE_ELIGIBLE)
    c.verdict = check_room (d, p, q, s, &c);
  if (c.verdict == CANDIDATE_ELIGIBLE)
    c.cost = policy_cost (d, p, s, q, affinity);
  return c;
}
