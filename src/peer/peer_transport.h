/** @file
 * Sends messages to other hosts without a delivery guarantee: they may be lost, delayed, duplicated
 * and reordered. Each module that sends has its own timeouts and retries. Control loop only. */
#pragma once

#include "proto/peer.pb-c.h"

typedef struct PeerTransport PeerTransport;

typedef struct
{
  /** Sends to the host named @p host. Sets the envelope's from, from_incarnation and to. A message
   * to an unknown or unreachable host is dropped and counted. */
  void (*send) (PeerTransport *transport, const char *host, Pond__Envelope *envelope);
} PeerTransportOps;

struct PeerTransport
{
  const PeerTransportOps *ops;
};

static inline void
peer_transport_send (PeerTransport *transport, const char *host, Pond__Envelope *envelope)
{
  transport->ops->send (transport, host, envelope);
}

/* Every module that receives messages has a function MODULE_on_message() with the parameters
 * Module *module and const Pond__Envelope *envelope. It returns false if the message is not for the
 * module. */
