/** @file
 * Overload control: which requests of a service are admitted when there is too little room for all, and when the others may return.
 * Each host decides by what it has seen itself; docs/design/overload.md. Lock "overload"; any thread. Every function takes the current
 * time; this module reads no clock. */
#pragma once

#include "core/err.h"
#include "dispatch/service_room.h"
#include "overload/rank_demand.h"

typedef struct Overload Overload;

/** @return a talloc object under @p ctx. */
Overload *overload_new (const void *ctx, uint64_t seed);

typedef struct
{
  const char *id; /* for the log */
  const char *service;
  const char *route;        /* NULL: none */
  const char *account;      /* NULL: none */
  RequestPriority priority; /* beyond 0 to 9 it is counted, and the nearest one is taken */
  Tokens prompt_tokens;
  Tokens max_tokens;
  int64_t client_timeout_ms; /* as its client stated */
  int64_t left_ms;
  bool is_resumed; /* the client has a part of the answer */
  ServiceRoom room;
  int64_t now_ms;
} OverloadRequest;

/** How an admitted request stood, for the log. */
typedef struct
{
  double level; /* 0: it was not subject to overload control */
  int rank;
  bool was_ample; /* admitted beyond the level, as the servers have room */
} OverloadPass;

/** Decides on a request before anything else is done for it, and logs a refusal.
 * @return whether it is admitted; if not, @p err is ERR_OVERLOADED with the time to return. */
bool overload_admit (Overload *overload, const OverloadRequest *request, OverloadPass *pass,
                     Err *err);

/** What a server's answer tells of the room of its service. */
typedef struct
{
  const char *service;
  bool rejected; /* the server had no room for the request */
  bool has_load;
  int running;
  int waiting;
  int slots;
  Tokens prompt_tokens; /* of the request */
  Tokens max_tokens;
  int64_t target_ms; /* objective of the request */
  int64_t took_ms;   /* from sending to the answer, or to its end without one */
  bool has_ended;    /* without an answer: its time was up, or its client has left */
  double hold_ms;    /* as in ServiceRoom */
  double prompt_ms;  /* that reading the prompt takes at least */
  int64_t now_ms;
} OverloadAnswer;

void overload_add_answer (Overload *overload, const OverloadAnswer *answer);

/** @return milliseconds after which the client of a request that finds no room may return. */
int64_t overload_return_ms (Overload *overload, const char *service, const ServiceRoom *room,
                            int64_t left_ms, int64_t now_ms);

/** @return JSON of all services, a talloc string under @p ctx. */
char *overload_describe (Overload *overload, const void *ctx, int64_t now_ms);
