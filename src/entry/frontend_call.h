/** @file
 * Connects each HTTP request of a client to its relay. */
#pragma once

#include <stdatomic.h>

#include "catalog/current_catalog.h"
#include "http/server.h"
#include "relay/relay.h"

/** State shared by the calls of one worker. */
typedef struct
{
  RelayDeps deps;
  CurrentCatalog *catalog;
  atomic_long open;     /* requests that have been received and have not ended */
  atomic_bool refusing; /* new requests are refused, because the host is about to stop */
} FrontendShared;

/** Events for HttpServerOptions, with a FrontendShared as data. */
const HttpServerEvents *frontend_call_events (void);

/** @return the JSON body of the response to a request that does not arrive in time. */
const char *frontend_call_timeout_body (void);
