/* The parts of a host, for the files of this folder. */
#pragma once

#include "budget/budgets.h"
#include "catalog/current_catalog.h"
#include "dispatch/dispatch.h"
#include "entry/entry.h"
#include "entry/gate.h"
#include "entry/readiness.h"
#include "entry/rotation_peers.h"
#include "fleet/registry.h"
#include "fleet/source.h"
#include "host/host.h"
#include "http/client.h"
#include "operator/operator.h"
#include "peer/peers_tcp.h"

struct Host
{
  Loop *control;
  const Settings *settings;
  uint64_t incarnation;
  Rng rng;
  HttpClient *client;
  Store *store;
  Source *source;
  Registry *registry;
  PeersTcp *peers; /* NULL: this host is alone */
  CurrentCatalog *catalog;
  Dispatch *dispatch;
  Budgets *budgets;
  Entry *entry;
  Readiness *readiness;
  Rotation rotation;
  RotationPeers *rotation_peers;
  RotationState rotation_told; /* to the other hosts of the data centre */
  int64_t rotation_told_ms;
  Gate gate;
  Operator *operators;
  int64_t drain_ms; /* since when; 0: not */
  bool closing;     /* answers end their connections */
  bool returning;   /* tokens are given back */
  bool drained;
  bool refusing; /* new requests */
};

static inline int64_t
host_now_ms (const Host *h)
{
  return timers_now_ms (loop_timers (h->control));
}

/* host_peers.c: listens for other hosts. @return false after a log line if the port cannot be opened. */
bool host_make_peers (Host *h);
/* Sends to each other host of the data centre. */
void host_tell_neighbours (Host *h, Pond__Envelope *envelope);
/* Tells the parts which hosts there are. */
void host_on_hosts (void *data);

/* host_servers.c: what is learned of backend servers. */
void host_on_server (void *data, const ServerRecord *record);
void host_on_server_removed (void *data, const char *id, bool steady);
/* Any thread. */
void host_on_server_leaves (void *data, const ServerStart *start);
/* @return false if the message is not about servers. */
bool host_on_server_message (Host *h, const Pond__Envelope *envelope);

/* host_rotation.c: new connections, by the load of this host's link. */
void host_start_rotation (Host *h);
void host_update_rotation (Host *h);
/* @return false if the message is not about the rotation. */
bool host_on_rotation_message (Host *h, const Pond__Envelope *envelope);

/* host_drain.c: the next step of a drain. */
void host_step_drain (Host *h);

/* host_state.c */
bool host_is_ready (void *data);
char *host_state_json (void *data, const void *ctx);
char *host_budget_json (void *data, const void *ctx, const char *account);
