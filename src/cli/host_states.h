/** @file
 * Asks the operator address of every host for its state. Control loop only. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/timers.h"
#include "http/client.h"
#include "store/store.h"

typedef struct HostStates HostStates;

typedef struct
{
  char *name;
  char *data_centre;
  char *operators; /* "IP:port" */
  bool heard;
  int64_t version; /* of the configuration in force; 0: none */
  bool ready;
  char *incarnation; /* these are empty or 0 if the answer leaves them out */
  char *phase;       /* "serving" or "draining" */
  int64_t open_requests;
} HostState;

typedef void (*HostStatesFn) (void *data, const HostState *hosts, size_t n);

/** Asks the hosts of registry rows, a bounded number at a time. @p done is called from the loop.
 * @return a talloc object under @p ctx that must live until then. */
HostStates *host_states_ask (const void *ctx, HttpClient *client, Timers *timers,
                             const StoreRow *rows, size_t n, HostStatesFn done, void *data);

/** Fills in a host's answer, `GET /v1/state`; its strings are under @p ctx. The answer must come from
 * the host state->name, unless that is NULL: then the name is filled in.
 * @return false if it is no such answer. */
bool host_state_parse (const void *ctx, const char *text, size_t len, HostState *state);
