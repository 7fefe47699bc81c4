/** @file
 * Messages between hosts under virtual time, with loss, delay and disconnected hosts. */
#pragma once

#include "core/rng.h"
#include "core/timers.h"
#include "peer/peer_transport.h"

typedef struct FakeNet FakeNet;

typedef void (*FakePeersFn) (void *data, const Pond__Envelope *envelope);

typedef struct
{
  PeerTransport peers;
  FakeNet *net;
  char *name;
  bool disconnected; /* neither sends nor receives */
  FakePeersFn fn;
  void *data;
} FakePeers;

/** @return a talloc object under @p ctx. */
FakeNet *fake_net_new (const void *ctx, Timers *timers, Rng *rng);

/** Sets the share of messages that are lost, from 0 to 1, and the maximum delay of the others. */
void fake_net_set_faults (FakeNet *net, double loss_rate, int64_t delay_ms);

/** @return the transport of a host, a talloc object under @p net. A second call for the same name replaces the
 * handler. */
FakePeers *fake_peers_new (FakeNet *net, const char *name, FakePeersFn fn, void *data);
