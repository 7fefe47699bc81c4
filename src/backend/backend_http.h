/** @file
 * The HTTP implementation of Backend, based on the loop's HTTP client. */
#pragma once

#include "backend/backend.h"
#include "http/client.h"

/** @return a talloc object under @p ctx. */
Backend *backend_http_new (const void *ctx, HttpClient *client, int64_t connect_timeout_ms);
