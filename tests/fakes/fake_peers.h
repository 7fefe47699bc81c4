/** @file
 * Messages between hosts under virtual time, with a switch that cuts a host off. */
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
  bool cut; /* neither sends nor receives */
  FakePeersFn fn;
  void *data;
} FakePeers;

/** @return a talloc object under @p ctx. */
FakeNet *fake_net_new (const void *ctx, Timers *timers, Rng *rng);

/** Share of messages that are lost, and the longest delay. */
void fake_net_set (FakeNet *net, double lost, int64_t delay_ms);

/** @return the port of a host, under the net; a later one of the same name replaces it. */
FakePeers *fake_peers_new (FakeNet *net, const char *name, FakePeersFn fn, void *data);
