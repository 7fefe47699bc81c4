/** @file
 * The PeerTransport over TCP. Control loop only. */
#pragma once

#include <stdint.h>

#include "core/loop.h"
#include "peer/peer_options.h"
#include "peer/peer_stats.h"
#include "peer/peer_transport.h"

typedef struct PeerTcp PeerTcp;

/** Called with every envelope that is addressed to this host and comes from a host that was added. The
 * envelope is valid only during the call. The handler must not free the transport. */
typedef void (*PeerTcpHandler) (void *data, const Pond__Envelope *envelope);

/** Opens the listening socket and creates the transport. @return a talloc object under @p ctx, or
 * NULL if it cannot listen. */
PeerTcp *peer_tcp_new (const void *ctx, Loop *loop, const PeerTcpOptions *options,
                       PeerTcpHandler handler, void *data);

/** @return the interface that the modules send through; owned by @p tcp. */
PeerTransport *peer_tcp_transport (PeerTcp *tcp);

/** @return the port that the transport listens on. */
uint16_t peer_tcp_port (const PeerTcp *tcp);

/** Adds @p host with @p address ("IP:port"), or changes its address. Envelopes from a host that was
 * not added are dropped. @return false if @p address is malformed. */
bool peer_tcp_set_address (PeerTcp *tcp, const char *host, const char *address);

/** Removes a host and closes the connection to it. */
void peer_tcp_remove_host (PeerTcp *tcp, const char *host);

const PeerStats *peer_tcp_stats (const PeerTcp *tcp);
