/* Internal to this folder: the components of a host, and the functions that its files share. */
#pragma once

#include "budget/budgets.h"
#include "catalog/current_catalog.h"
#include "dispatch/dispatch.h"
#include "dispatch/load_sharing.h"
#include "entry/frontend.h"
#include "entry/admission_gate.h"
#include "entry/connection_room.h"
#include "entry/readiness_server.h"
#include "entry/rotation_peers.h"
#include "fleet/config_source.h"
#include "fleet/registry.h"
#include "host/host.h"
#include "http/client.h"
#include "operator/operator_server.h"
#include "peer/peer_tcp.h"
#include "quarantine/quarantine_rows.h"
#include "reach/reach_prober.h"
#include "streams/stream_rows.h"
#include "tunnel/tunnel_server.h"

struct Host
{
  Loop *loop;
  const Settings *settings;
  uint64_t incarnation;
  Rng rng;
  HttpClient *store_client;
  Store *store;
  ConfigSource *config_source;
  Registry *registry;
  PeerTcp *peers; /* NULL: this host does not listen for peers */
  CurrentCatalog *catalog;
  Dispatch *dispatch;
  Overload *overload;
  Quarantine *quarantine;
  QuarantineRows *quarantine_rows;
  Streams *streams;
  StreamRows *stream_rows;
  Budgets *budgets;
  LoadSharing *load_sharing;
  Reach *reach;
  ReachProber *prober;
  TunnelServer *tunnel_server; /* NULL: opens no tunnels for other hosts */
  Frontend *frontend;
  ReadinessServer *readiness_server;
  Rotation rotation;
  RotationPeers *rotation_peers;
  RotationState rotation_sent; /* last state sent to the other hosts of the data centre */
  int64_t rotation_sent_ms;
  AdmissionGate gate;
  ConnectionRoom room;
  OperatorServer *operator_server;
  int64_t drain_started_ms; /* 0: not draining */
  bool closing_connections; /* responses close their connections */
  bool deregistered;        /* deletion of the registry row has been requested */
  bool drained;             /* see host_is_drained() */
  bool refusing_requests;   /* new requests are refused */
};

static inline int64_t
host_now_ms (const Host *h)
{
  return timers_now_ms (loop_timers (h->loop));
}

/* host.c */
/* @return the region of a data centre, or NULL if the settings do not name it. */
const char *host_region_of (void *data, const char *data_centre);

/* host_peers.c: messages between hosts.
 * Opens the port for messages of other hosts, if one is configured. @return false after a log line if that fails. */
bool host_make_peer_transport (Host *h);
/* Sends a message to all other hosts of the data centre. */
void host_send_to_data_centre (Host *h, Pond__Envelope *envelope);
/* Sends a message to all other hosts of the fleet. */
void host_send_to_all (Host *h, Pond__Envelope *envelope);
/* Passes the current list of hosts on to the components. */
void host_on_hosts_changed (void *data);

/* host_servers.c: changes of backend servers. */
void host_on_server_changed (void *data, const ServerRecord *record);
void host_on_server_removed (void *data, const char *id, int64_t grace_ms);
/* A response said that its server is draining. Any thread. */
void host_on_server_draining (void *data, const ServerInstance *instance);
/* A server has stated what request rate it accepts. Any thread. */
void host_on_server_limited (void *data, const ServerInstance *instance, LimitStatement statement,
                             int64_t stated_ms);
/* @return false if the message is not about backend servers. */
bool host_on_server_message (Host *h, const Pond__Envelope *envelope);

/* host_loads.c: the loads of backend servers, as hosts of a data centre tell each other. */
void host_make_load_sharing (Host *h);
/* Passes the current list of hosts on. */
void host_update_load_peers (Host *h);
/* Sends what is due. Called at every tick. */
void host_share_loads (Host *h);
/* @return false if the message is not about loads. */
bool host_on_loads_message (Host *h, const Pond__Envelope *envelope);

/* host_reach.c: servers that are reached over other hosts.
 * @return false after a log line if the port for tunnels can't be opened. */
bool host_make_reach (Host *h);
/* Passes the current list of hosts on. */
void host_update_reach (Host *h);

/* host_quarantine.c: requests under which servers end. */
void host_make_quarantine (Host *h);
/* Starts to read and write the rows of the store. */
void host_watch_quarantine (Host *h);
void host_on_server_ended (void *data, const ServerInstance *instance);
/* @return false if the message is not about the quarantine. */
bool host_on_quarantine_message (Host *h, const Pond__Envelope *envelope);

/* host_streams.c: which software version began a stream. */
void host_make_streams (Host *h);
/* Starts to read and write the rows of the store. */
void host_keep_stream_rows (Host *h);

/* host_rotation.c: whether this host is in the load balancer's rotation, and whether it accepts new connections.
 * Both depend on the load of its network link. */
void host_init_rotation_and_gate (Host *h);
void host_update_rotation_and_gate (Host *h);
/* @return false if the message is not about the rotation. */
bool host_on_rotation_message (Host *h, const Pond__Envelope *envelope);

/* host_drain.c: does the steps of a started drain that are due. Called at every tick. */
void host_advance_drain (Host *h);

/* host_state.c: readiness, for the readiness server, and data for the operators' interface. */
bool host_is_ready (void *data);
char *host_state_json (void *data, const void *ctx);
char *host_summary_json (void *data, const void *ctx);
char *host_budget_json (void *data, const void *ctx, const char *account);
