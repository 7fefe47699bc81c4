/** @file
 * Options of the TCP transport between hosts. */
#pragma once

#include <stddef.h>
#include <stdint.h>

typedef struct
{
  const char *name;     /* name of this host; copied */
  uint64_t incarnation; /* differs for each start of the process */
  const char *listen;   /* "IP:port", port 0 for an ephemeral one; read at construction only */
  uint64_t seed;        /* for the jitter of reconnects */
  size_t max_frame_bytes;
  size_t max_queue_bytes;       /* of frames to one peer */
  size_t max_total_queue_bytes; /* of frames to all peers together */
  size_t max_incoming_connections;
  int64_t connect_timeout_ms;
  int64_t backoff_min_ms;
  int64_t backoff_max_ms;
  int64_t outgoing_idle_timeout_ms; /* limit of the time without a new message to the peer */
  /* A connection is replaced if nothing was heard from its peer, on any connection, for this long. */
  int64_t unheard_limit_ms;
  int64_t incoming_idle_timeout_ms; /* limit of the time without a byte from the peer */
} PeerTcpOptions;

/* The queue limits keep the transport well below the 256 MB that a host's control loop may use. The
 * idle timeout of incoming connections is longer than that of outgoing ones, so that the sender closes
 * an idle connection first. */
#define PEER_TCP_OPTIONS_INIT                                                                      \
  {                                                                                                \
    .name = "", .listen = "127.0.0.1:0", .seed = 1, .max_frame_bytes = 1 << 20,                    \
    .max_queue_bytes = 2 << 20, .max_total_queue_bytes = 32 << 20,                                 \
    .max_incoming_connections = 2048, .connect_timeout_ms = 2000, .backoff_min_ms = 100,           \
    .backoff_max_ms = 2000, .outgoing_idle_timeout_ms = 120000, .unheard_limit_ms = 15000,         \
    .incoming_idle_timeout_ms = 400000                                                             \
  }
