/** @file
 * HTTP interface of a host for operators, on a separate listening address: /metrics, /healthz, /readyz,
 * /v1/state, /v1/summary, /v1/drain, /v1/budgets/<name>. Control loop only. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/loop.h"

typedef struct OperatorServer OperatorServer;

typedef struct
{
  const char *listen; /* "IP:port"; port 0: any free port */
  /** @return whether the host accepts client requests. */
  bool (*is_ready) (void *data);
  /** @return the state of the host as JSON, a talloc string under @p ctx. */
  char *(*state_json) (void *data, const void *ctx);
  /** @return the state without servers and budgets, so that its size does not depend on theirs. */
  char *(*summary_json) (void *data, const void *ctx);
  /** Starts to drain the host. */
  void (*start_drain) (void *data);
  /** @return the budget as JSON, a talloc string under @p ctx, or NULL if there is no such budget. */
  char *(*budget_json) (void *data, const void *ctx, const char *name);
  void *data;
} OperatorServerOptions;

/** @return a talloc object under @p ctx, or NULL if it cannot listen on the address. */
OperatorServer *operator_server_new (const void *ctx, Loop *loop,
                                     const OperatorServerOptions *options);

uint16_t operator_server_port (const OperatorServer *op);
