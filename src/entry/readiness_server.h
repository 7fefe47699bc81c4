/** @file
 * Responds to the balancer's readiness probes on an address of its own: whether this host wants new
 * connections. Control loop only. */
#pragma once

#include <stdbool.h>

#include "core/loop.h"

typedef struct ReadinessServer ReadinessServer;

/** @param ready returns whether the host wants new connections. @return a talloc object under @p
 * ctx, or NULL if the port cannot be opened. */
ReadinessServer *readiness_server_new (const void *ctx, Loop *loop, const char *listen,
                                       bool (*ready) (void *data), void *data);
