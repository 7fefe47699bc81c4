/** @file
 * Reads the state of hosts from their operator addresses. Use only in the thread of the loop of the HTTP
 * client. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/timers.h"
#include "http/client.h"
#include "store/store.h"

typedef struct HostStatesQuery HostStatesQuery;

typedef struct
{
  char *name;
  char *data_centre;
  char *operator_address; /* "IP:port" */
  bool responded;         /* the fields below are valid */
  int64_t version;        /* of the configuration in force; 0: none */
  bool ready;
  char
      *incarnation; /* of the process; it and the fields below are "" or 0 if not in the response */
  char *phase;      /* "serving" or "draining" */
  int64_t open_requests;
  char *evacuated; /* data centres that the host has as evacuated, separated by commas */
} HostState;

typedef void (*HostStatesFn) (void *data, const HostState *hosts, size_t n);

/** Reads the states of the hosts that @p rows (of the host registry in the store) list, with a bounded number of concurrent requests. @p done is
 * called from the loop. @return a talloc object under @p ctx that must live until then. */
HostStatesQuery *host_states_query (const void *ctx, HttpClient *client, Timers *timers,
                                    const StoreRow *rows, size_t n, HostStatesFn done, void *data);

/** Parses the response to `GET /v1/summary` or `GET /v1/state` into @p state; strings are allocated under @p ctx.
 * If state->name is set, the response must come from that host; if it is NULL, it is set from the response.
 * @return false if the response is invalid or comes from another host. */
bool host_state_parse (const void *ctx, const char *text, size_t len, HostState *state);
