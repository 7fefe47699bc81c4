/** @file
 * The share of the work offered to a service that this host admits, learned from what servers answer: as in DAGOR and in
 * Google's client-side throttling, each host learns alone, so that nobody has to be asked and cut off hosts go on. It falls while
 * answers show too little room, and opens with the others and with time. Answers surges and lost servers. No clock; lock
 * "overload". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** All zero: everything is admitted. */
typedef struct
{
  double closed;        /* 1 less the level */
  int64_t updated_ms;   /* the level is as of this time */
  int64_t short_ms;     /* last answer that showed too little room */
  int64_t since_ms;     /* the level has been under 1 since; 0: it is 1 */
  int quiet_answers;    /* since short_ms */
  int answers;          /* since updated_ms */
  double short_answers; /* of these, that showed too little room; a late one counts in part */
  double offered;       /* work, fading */
  double answered;      /* the part of it that servers have begun to answer */
  double wait_ms;       /* moving average of the wait for a place */
  int64_t faded_ms;
} AdmissionLevel;

/** A request comes that needs @p work, in any unit. */
void admission_level_offer (AdmissionLevel *level, double work, int64_t now_ms);

typedef struct
{
  bool
      short_of_room; /* rejected, or the server's queue is longer than the objectives of its requests allow */
  bool is_late;   /* it has missed an objective that it could have met */
  double work;    /* of the request; 0: not answered */
  double wait_ms; /* for a place there, or beyond the objective */
} LevelAnswer;

void admission_level_add (AdmissionLevel *level, const LevelAnswer *answer, int64_t now_ms);

/** @return from nearly 0 to 1. */
double admission_level_get (AdmissionLevel *level, int64_t now_ms);
