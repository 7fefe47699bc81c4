/** @file
 * One backend server as this host sees it: what it published, what it reported, what this host has sent
 * to it. Lock "dispatch". */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/list.h"
#include "core/tokens.h"
#include "dispatch/connections.h"
#include "dispatch/server_record.h"

/** Where a server is, as seen from this host. */
typedef enum
{
  PLACE_DATA_CENTRE,
  PLACE_REGION,
  PLACE_ELSEWHERE /* behind a link that is slow and paid by volume */
} ServerPlace;

typedef struct Server Server;

struct Server
{
  ListNode node; /* of its service's list */
  char *id;
  char *service;
  char *address;
  char *data_centre;
  uint64_t hash; /* of the id, for rendezvous hashing */
  ServerPlace place;
  int slots;
  bool leaving;             /* as published, or as it said itself */
  bool gone;                /* no longer published; freed with its last request */
  int64_t doubted_until_ms; /* removed while the store was unsteady; 0: not */
  int64_t cold_until_ms;
  int64_t born_ms;

  /* Sent by this host. */
  int in_flight;
  int awaiting_first;     /* sent, and nothing has come back */
  Tokens prompt_tokens;   /* of those, what their prompts still have to be read */
  int64_t oldest_sent_ms; /* a lower bound for requests that wait for a first answer */
  int64_t heard_ms;       /* any sign of life */
  Connections connections;

  /* Reported by the server. */
  int64_t reported_ms; /* 0: never */
  double others;       /* requests of other hosts there */
  double others_waiting;

  /* Learned from answers. */
  double slowness; /* time of answers against what was expected; 1 is as expected */
  double failing;  /* moving share of requests that failed */
  int failures;    /* in a row, that found no server */
  int64_t avoid_until_ms;

  /* Asked for by the server. */
  int64_t pause_until_ms; /* it wants nothing from this host before */
};

/** @return a talloc object under @p ctx. */
Server *server_new (const void *ctx, const ServerRecord *record);

/** Takes over a new record of the same start of the server. */
void server_update (Server *server, const ServerRecord *record, int64_t now_ms);

/** Takes over a report of the server's load, which counts this host's requests too. */
void server_report_load (Server *server, int running, int waiting, int64_t now_ms);

/** @return requests of other hosts that are still expected there: a report loses weight with age. */
double server_others (const Server *server, int64_t now_ms);

/** Counts a failure that says nothing about the request: the server cannot be reached. */
void server_unreachable (Server *server, int64_t now_ms);

/** Counts how a request ended. */
void server_result (Server *server, bool failed, int64_t now_ms);

/** Takes over how long an answer took against what was expected of a server at usual speed. */
void server_pace (Server *server, double took_ms, double expected_ms);

/** The server wants nothing from this host for @p ms from now. */
void server_pause (Server *server, int64_t ms, int64_t now_ms);

/** @return whether new requests may go there. */
bool server_is_usable (const Server *server, int64_t now_ms);
