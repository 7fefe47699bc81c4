/** @file
 * Whether one server may take a request, and what that would cost. The choice (dispatch.c) and what explains it use
 * this same assessment. Lock "dispatch". */
#pragma once

#include "dispatch/dispatch_impl.h"

/** Why a server can't take the request, or CANDIDATE_ELIGIBLE. */
typedef enum
{
  CANDIDATE_ELIGIBLE,
  CANDIDATE_DRAINING,
  CANDIDATE_TRIED,    /* by this request */
  CANDIDATE_UNFIT,    /* for what the request demands, or evacuated */
  CANDIDATE_PAUSED,   /* it has asked this host for a pause */
  CANDIDATE_AT_SHARE, /* has as many requests of this host as its share of the connections */
  CANDIDATE_EXCLUDED, /* removed, or its address has another owner */
  CANDIDATE_COLD,     /* this host has used its share of what the server bears while it is cold */
  CANDIDATE_LIMITED,  /* this host has used its share of the server's limit */
  CANDIDATE_FULL,     /* it is expected to have no place in good time before the deadline */
  CANDIDATE_N_VERDICTS
} CandidateVerdict;

typedef struct
{
  CandidateVerdict verdict;
  ServerFit fit; /* why it is CANDIDATE_UNFIT */
  ServerStanding standing;
  RoomFit room;     /* set if the verdict is CANDIDATE_ELIGIBLE or CANDIDATE_FULL */
  LimitState limit; /* set if the verdict is CANDIDATE_ELIGIBLE or CANDIDATE_LIMITED */
  double cost;      /* set if the verdict is CANDIDATE_ELIGIBLE */
} Candidate;

/** Takes nothing from any limit. @param affinity cost_affinity_server(). */
Candidate candidate_assess (Dispatch *d, const ServerPool *p, const DispatchQuery *q, Server *s,
                            const Server *affinity);

/** @return what the costs of all candidates go by. */
CostInputs candidate_cost_inputs (const Dispatch *d, const ServerPool *p, const DispatchQuery *q,
                                  const Server *affinity);
