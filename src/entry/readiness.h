/** @file
 * Answers the balancer's question whether this host takes new connections, on an address of its own.
 * Control loop only. */
#pragma once

#include <stdbool.h>

#include "core/loop.h"

typedef struct Readiness Readiness;

/** @param ready tells whether the host takes connections. @return a talloc object under @p ctx, or NULL
 * if the port cannot be opened. */
Readiness *readiness_new (const void *ctx, Loop *loop, const char *listen,
                          bool (*ready) (void *data), void *data);
