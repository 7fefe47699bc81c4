/** @file
 * A listening socket of one event loop that can be closed temporarily, so that the kernel refuses
 * connections before their client has sent a byte. Every call and callback is on the loop's thread. */
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include "core/address.h"
#include "core/loop.h"

typedef struct Listener Listener;

/** Called for each accepted connection; takes ownership of @p fd. */
typedef void (*ListenerFn) (void *data, int fd, const Address *peer);

typedef struct
{
  Loop *loop;
  const char *listen; /* "IP:port", port 0 for an ephemeral one */
  ListenerFn on_accept;
  void *data;
} ListenerOptions;

/** Opens the port. @return a talloc object under @p ctx, or NULL. */
Listener *listener_new (const void *ctx, const ListenerOptions *options);

uint16_t listener_port (const Listener *listener);

/** Closes the socket, so that the kernel refuses connections, or opens it again. Connections that are
 * in the backlog are accepted before the socket is closed, unless accepting is paused. */
void listener_refuse (Listener *listener, bool on);

/** Stops accepting, so that connections wait in the backlog, or resumes it. */
void listener_pause (Listener *listener, bool on);
