/** @file
 * The requests that a server bears while it is cold, shortly after its start, from all hosts together, and this host's share
 * of them. Answers the moment at which servers of a data centre come back together, idle and attractive to all hosts.
 *
 * As with limits that servers name (server_limit.h), only the first few hosts in the server's order of hosts use it, so that no
 * message is needed before a request. Lock "dispatch". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** In any second a cold server bears requests_per_s x overshoot + slack requests. */
typedef struct
{
  double requests_per_s; /* 0: it bears as many as a warm one */
  double overshoot;      /* 0: unknown, no limit is kept */
  double slack;
} ColdTolerance;

/** What this host knows of one server. All zero: it is warm. */
typedef struct
{
  int64_t until_ms;   /* the server is cold until then */
  int64_t doubted_ms; /* it may be cold until then, whatever its record says */
  bool limited;       /* what it bears was known at the last look */
  double tokens;      /* requests that this host may send now */
  int64_t refilled_ms;
} ColdLimit;

bool cold_limit_is_cold (const ColdLimit *limit, int64_t now_ms);

/** The server has stated that it is cold for another @p ms; 0: that it is warm. */
void cold_limit_set (ColdLimit *limit, int64_t ms, int64_t now_ms);

/** The server may be cold although its record does not say so yet. Until its next record can be here, statements that it is warm
 * do not count. */
void cold_limit_doubt (ColdLimit *limit, int64_t now_ms);

/** @param rank this host's rank in the server's order of hosts; less than 0: unknown, so that it has no share.
 * @param hosts number of known hosts.
 * @return whether this host may send the server a request. */
bool cold_limit_has_room (ColdLimit *limit, const ColdTolerance *tolerance, int rank, int hosts,
                          int64_t now_ms);

/** Takes a request from this host's share, after cold_limit_has_room() and before it is sent. */
void cold_limit_take (ColdLimit *limit, int64_t now_ms);
