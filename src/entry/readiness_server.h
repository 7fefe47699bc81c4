/** @file
 * Responds to the load balancer's readiness probes on an address of its own: 200 if this host should get
 * new connections, else 503. Control loop only. */
#pragma once

#include <stdbool.h>

#include "core/loop.h"

typedef struct ReadinessServer ReadinessServer;

/** @param ready returns whether the host should get new connections. @return a talloc object under @p
 * ctx, or NULL if the port cannot be opened. */
ReadinessServer *readiness_server_new (const void *ctx, Loop *loop, const char *listen,
                                       bool (*ready) (void *data), void *data);
