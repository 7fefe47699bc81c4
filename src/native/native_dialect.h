/** @file
 * The project's own HTTP interface for clients and backend servers, docs/API.md. */
#pragma once

#include "relay/dialect.h"

/** @param host name of this host, used in request ids. @param incarnation differs for each start of the
 * process, so that request ids are unique. @return a talloc object under @p ctx. */
Dialect *native_dialect_new (const void *ctx, const char *host, uint64_t incarnation);
