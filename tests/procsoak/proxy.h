/** @file
 * A loopback proxy whose connections can be delayed, held in one or both directions, or reset. One thread. */
#pragma once

#include "core/loop.h"

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,     /* bytes wait before they go on */
  PROXY_HOLD_UP,   /* nothing goes towards the server */
  PROXY_HOLD_DOWN, /* nothing comes back */
  PROXY_HOLD,
  PROXY_RESET, /* connections are reset */
  PROXY_MODES
} ProxyMode;

typedef struct Proxy Proxy;

/** Listens on a port of loopback and forwards to another. @return a talloc object under @p ctx, or NULL. */
Proxy *proxy_new (const void *ctx, Loop *loop, int port, int target_port);

/** Takes effect on open connections too. What was held goes on with PROXY_PASS. */
void proxy_set (Proxy *proxy, ProxyMode mode);

ProxyMode proxy_mode (const Proxy *proxy);
const char *proxy_mode_name (ProxyMode mode);
