/** @file
 * The state of one backend server as known to this host: its published record, its load reports and
 * the requests that this host has sent to it. Lock "dispatch". */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "catalog/region_set.h"
#include "core/list.h"
#include "core/tokens.h"
#include "dispatch/cold_limit.h"
#include "dispatch/idle_connections.h"
#include "dispatch/in_flight_history.h"
#include "dispatch/server_load.h"
#include "dispatch/server_limit.h"
#include "dispatch/server_record.h"
#include "dispatch/server_version.h"

/** The distance of a server from this host. */
typedef enum
{
  LOCALITY_DATA_CENTRE,
  LOCALITY_REGION,
  LOCALITY_REMOTE /* behind a slow link with volume charges */
} ServerLocality;

typedef struct Server Server;

struct Server
{
  ListNode node; /* in its pool's list */
  char *id;
  char *service;
  char *address;
  char *data_centre;
  char *region; /* NULL: unknown */
  char version[SERVER_VERSION_BYTES];
  uint32_t version_changes; /* times that the record of the same start named another version */
  bool replaced;            /* its record was replaced by that of another start */
  uint64_t hash;            /* of the id, for rendezvous hashing */
  ServerLocality locality;
  int slots;
  bool draining;  /* by its record or by its own announcement */
  bool evacuated; /* its data centre is */
  bool removed;   /* no longer a known server; freed when the last request to it ends */
  int64_t removal_grace_until_ms; /* after an unconfirmed removal; 0: none */
  ColdLimit cold;
  int64_t started_ms;

  /* Requests of this host. */
  int in_flight;
  int awaiting_first_event;      /* requests whose response has not begun */
  Tokens pending_prefill_tokens; /* prompt tokens that the server still has to process for those */
  IdleConnections idle_connections;
  InFlightHistory in_flight_history;
  InFlightHistory awaiting_history; /* of awaiting_first_event */

  ServerLoad load;       /* by the server's own figures */
  double other_requests; /* running and waiting requests of other hosts, by these */
  double usual_others; /* the mean of that over the service\'s servers, when this one stated them */
  double others_waiting; /* requests of other hosts that wait for the first event, by the figures */
  uint32_t key;          /* of this start of the server, in messages between hosts */

  /* Learned from responses. */
  /* Moving average of the ratio of measured to expected latency; the expected one includes this factor. */
  double latency_factor;
  double failure_rate;      /* moving average of the share of failed requests */
  int connect_failures;     /* since the last request that succeeded */
  int64_t backoff_until_ms; /* after connect failures; chosen before then only as a last resort */

  /* Requested by the server. */
  int64_t pause_until_ms; /* until then this host sends it no requests */
  ServerLimit limit;

  /* This host's place in the server's order of hosts (host_list.h). */
  int host_rank;          /* -1: not in the list */
  uint32_t hosts_version; /* the list that host_rank is from; 0: not yet determined */
};

/** @return a talloc object under @p ctx. */
Server *server_new (const void *ctx, const ServerRecord *record);

/** Applies a new record of the same instance of the server. */
void server_update (Server *server, const ServerRecord *record, int64_t now_ms);

/** Applies the server's figures, which include this host's requests. @param heard another host has told them. */
LoadVerdict server_report_load (Server *server, const LoadFigures *figures, bool heard,
                                int64_t now_ms);

/** @return the estimated requests of other hosts at the server: its figures lose weight with age, for what is usual at
 * servers of its service and later for none. */
double server_other_requests (const Server *server, int64_t now_ms);

/** @return the estimated requests of other hosts that wait for the first event, by the server's figures. */
double server_others_waiting (const Server *server, int64_t now_ms);

/** Counts a failure to reach the server, and starts or extends its backoff. */
void server_add_connect_failure (Server *server, int64_t now_ms);

/** Counts the result of a request that reached the server. */
void server_add_result (Server *server, bool failed);

/** Updates latency_factor with the measured and the expected latency of a response. */
void server_add_latency_sample (Server *server, double took_ms, double expected_ms);

/** The server has asked for no requests for @p ms. An earlier pause is never shortened. */
void server_pause (Server *server, int64_t ms, int64_t now_ms);

/** @return whether the server is of this version and it is allowed. NULL for either: any version. */
bool server_has_version (const Server *server, const char *version, const ServerVersions *allowed);

/** What a server has to be like for a request. */
typedef struct
{
  const char *version;           /* NULL: any */
  const ServerVersions *allowed; /* NULL: all */
  const RegionSet *regions;      /* NULL: all */
} ServerDemand;

typedef enum
{
  SERVER_FITS,
  SERVER_OF_OTHER_VERSION,
  SERVER_OUT_OF_REGION,
  SERVER_EVACUATED
} ServerFit;

/** Decides whether a request may be sent to the server at all, whatever its state and load. */
ServerFit server_fit (const Server *server, const ServerDemand *demand);

/** @return whether the server may get new requests: neither draining nor removed, in backoff or paused. */
bool server_is_usable (const Server *server, int64_t now_ms);

/** In which order servers are chosen. */
typedef enum
{
  SERVER_PREFERRED,
  SERVER_DOUBTFUL, /* usable, but its row is gone and should be back by now if its owner still runs */
  SERVER_IN_BACKOFF, /* a connect has failed lately */
  SERVER_EXCLUDED    /* draining, removed or paused */
} ServerStanding;

/** @return SERVER_PREFERRED or SERVER_DOUBTFUL if it is usable. */
ServerStanding server_standing (const Server *server, int64_t now_ms);
