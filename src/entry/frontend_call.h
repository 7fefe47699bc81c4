/** @file
 * Connects each HTTP request of a client to its relay. */
#pragma once

#include <stdatomic.h>

#include "catalog/catalog_store.h"
#include "http/server.h"
#include "relay/relay.h"

/** State shared by the calls of one worker. */
typedef struct
{
  RelayDeps deps;
  CatalogStore *catalog;
  atomic_long open;     /* requests that are not finished */
  atomic_bool refusing; /* new requests, because the process is about to end */
} FrontendShared;

/** Events for HttpServerOptions, with a FrontendShared as data. */
const HttpServerEvents *frontend_call_events (void);

/** @return the JSON body of the response to a request that does not arrive in time. */
const char *frontend_call_timeout_body (void);
