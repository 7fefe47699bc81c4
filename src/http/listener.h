/** @file
 * A listening socket of one event loop that can be closed for a while: connections are then refused by the
 * kernel before their client has sent a byte. Every call and callback is on the loop's thread. */
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "core/address.h"
#include "core/loop.h"

typedef struct Listener Listener;

/** Takes over a connection. */
typedef void (*ListenerFn) (void *data, int fd, const Address *peer);

typedef struct
{
  Loop *loop;
  const char *listen; /* "IP:port", port 0 chooses one */
  ListenerFn fn;
  void *data;
} ListenerOptions;

/** Opens the port. @return a talloc object under @p ctx, or NULL. */
Listener *listener_new (const void *ctx, const ListenerOptions *options);

uint16_t listener_port (const Listener *listener);

/** Refuses connections from now on, or no longer. Those that are complete already are taken. */
void listener_refuse (Listener *listener, bool on);

/** Leaves connections waiting from now on, or no longer. */
void listener_hold (Listener *listener, bool on);
