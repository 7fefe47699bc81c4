/** @file
 * What the servers of a service can take now, as this host knows it: from its own requests there and from what the servers
 * reported of all hosts' requests. A report that is too old says nothing. Answers hosts that send into full servers. No state of
 * its own; lock "dispatch". */
#pragma once

#include "dispatch/server.h"

/** Of the servers of a service that may get requests. */
typedef struct
{
  int servers;
  int known;      /* of these, how many have reported their load within the last half second */
  double places;  /* of the known ones */
  double taken;   /* places in use there, by requests of all hosts */
  double waiting; /* requests in their queues */
  double prompt_tokens_per_ms; /* pace at which the servers read prompts; 0: unknown */
  double hold_ms;              /* mean time for which a request holds a place; 0: unknown */
} ServiceRoom;

/** Whether a request should be sent to a server, as far as room is concerned. */
typedef enum
{
  ROOM_AT_ONCE, /* a place is free, or will be within the request's objective */
  ROOM_UNKNOWN,
  ROOM_LATE, /* a place is expected after the objective, and in good time before the deadline */
  ROOM_NONE
} RoomFit;

/** Connections to servers of a service that failed lately. All zero: none. */
typedef struct
{
  double failures; /* fading */
  int64_t failed_ms;
} LostServers;

/** A connection to a server has failed. */
void lost_servers_add (LostServers *lost, int64_t now_ms);

/** @return whether so many have failed lately that a server that has not answered lately may be lost too. To a host such
 * servers look idle, so that they would attract its requests one after the other. */
bool lost_servers_are_many (const LostServers *lost, int64_t now_ms);

/** @param hold_ms as in ServiceRoom. @param target_ms objective of the request; 0: none, any queue will do.
 * @param left_ms until its deadline. */
RoomFit service_room_fit (const Server *server, double hold_ms, int64_t target_ms, int64_t left_ms,
                          int64_t now_ms);

/** @return expected milliseconds until a further request gets a place; 0 if one is free or nothing is known. */
double service_room_wait_ms (const Server *server, double hold_ms, int64_t now_ms);

/** Adds a server to the sums. */
void service_room_add (ServiceRoom *room, const Server *server, int64_t now_ms);

/** A request has held a place for @p ms. @return the new mean. */
double service_room_mean_hold (double hold_ms, double ms);

/** @return whether under half of the known places are taken and nothing waits there, so that a refusal for want of room
 * would be wrong. False if too little is known. */
bool service_room_is_ample (const ServiceRoom *room);
