/** @file
 * Messages between hosts over TCP. Control loop only. */
#pragma once

#include <stdint.h>

#include "core/loop.h"
#include "peer/peer_options.h"
#include "peer/peer_stats.h"
#include "peer/peers.h"

typedef struct PeersTcp PeersTcp;

/** Receives every accepted envelope, valid during the call. It must not free the transport. */
typedef void (*PeersTcpHandler) (void *data, const Pond__Envelope *envelope);

/** Listens and makes the transport. @return a talloc object under @p ctx, or NULL if it cannot
 * listen. */
PeersTcp *peers_tcp_new (const void *ctx, Loop *loop, const PeersTcpOptions *options,
                         PeersTcpHandler handler, void *data);

/** The adapter for a module. */
Peers *peers_tcp_adapter (PeersTcp *peers);

/** The port that the transport listens on. */
uint16_t peers_tcp_port (const PeersTcp *peers);

/** Makes @p host known at @p address ("IP:port"), or moves it there. Envelopes from a host that is
 * not known are dropped. @return false if @p address is malformed. */
bool peers_tcp_set_address (PeersTcp *peers, const char *host, const char *address);

/** Forgets a host and closes the connection to it. */
void peers_tcp_forget (PeersTcp *peers, const char *host);

const PeerStats *peers_tcp_stats (const PeersTcp *peers);
