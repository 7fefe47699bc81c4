/** @file
 * One HTTP request of a caller, between the HTTP server and its relay. */
#pragma once

#include <stdatomic.h>

#include "catalog/current_catalog.h"
#include "http/server.h"
#include "relay/relay.h"

/** What the calls of one worker share. */
typedef struct
{
  RelayDeps deps;
  CurrentCatalog *catalog;
  atomic_long open;     /* requests that are not over */
  atomic_bool refusing; /* new requests, because the process ends in a moment */
} EntryShared;

/** Events for HttpServerOptions, with an EntryShared as data. */
const HttpServerEvents *entry_call_events (void);

/** The body of the answer to a request that does not arrive in time. */
const char *entry_call_timeout_answer (void);
