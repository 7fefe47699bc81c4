/** @file
 * TCP proxy on loopback for fault injection: it can delay traffic, hold it back in one or both directions, or reset
 * connections. One thread. */
#pragma once

#include "core/loop.h"

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,     /* forwards bytes after a delay */
  PROXY_HOLD_UP,   /* forwards nothing to the server */
  PROXY_HOLD_DOWN, /* forwards nothing to the client */
  PROXY_HOLD,      /* forwards nothing */
  PROXY_RESET,     /* resets open connections and closes new ones */
  PROXY_MODES
} ProxyMode;

typedef struct Proxy Proxy;

/** Listens on a loopback port and forwards to @p target_port. @return a talloc object under @p ctx, or NULL if the
 * port is in use. */
Proxy *proxy_new (const void *ctx, Loop *loop, int port, int target_port);

/** Also applies to open connections. Held bytes are forwarded in the next mode that does not hold their direction. */
void proxy_set_mode (Proxy *proxy, ProxyMode mode);

ProxyMode proxy_mode (const Proxy *proxy);
const char *proxy_mode_name (ProxyMode mode);
