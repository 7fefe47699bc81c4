/** @file
 * The operators' HTTP interface of a host, on its own address: /metrics, /healthz, /readyz,
 * /v1/state, /v1/drain, /v1/budgets/<name>. Control loop only. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/loop.h"

typedef struct Operator Operator;

typedef struct
{
  const char *listen; /* "IP:port", port 0 chooses one */
  /** @return whether the host takes requests. */
  bool (*ready) (void *data);
  /** @return JSON, a talloc string under @p ctx. */
  char *(*state) (void *data, const void *ctx);
  /** Starts a drain. */
  void (*drain) (void *data);
  /** @return JSON, a talloc string under @p ctx, or NULL if there is no such budget. */
  char *(*budget) (void *data, const void *ctx, const char *name);
  void *data;
} OperatorOptions;

/** @return a talloc object under @p ctx, or NULL if the port cannot be opened. */
Operator *operator_new (const void *ctx, Loop *loop, const OperatorOptions *options);

uint16_t operator_port (const Operator *op);
