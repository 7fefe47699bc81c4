/** @file
 * The HTTP implementation of Backend, based on the loop's HTTP client. */
#pragma once

#include "backend/backend.h"
#include "http/client.h"
#include "reach/reach.h"

typedef struct
{
  HttpClient *client;
  int64_t connect_timeout_ms;
  Reach *reach; /* NULL: all servers are connected to directly */
} BackendHttpOptions;

/** @return a talloc object under @p ctx. */
Backend *backend_http_new (const void *ctx, const BackendHttpOptions *options);
