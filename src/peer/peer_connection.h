/** @file
 * The outgoing connection to one peer. It connects when there is something to send, with a bounded
 * send queue and a backoff between attempts. Control loop only. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "core/loop.h"
#include "core/rng.h"
#include "core/address.h"
#include "peer/peer_options.h"
#include "peer/peer_stats.h"
#include "peer/send_queue.h"

/** State shared by all outgoing connections of a transport. */
typedef struct
{
  Loop *loop;
  Rng rng;
  PeerTcpOptions options;
  PeerStats stats;
  SendQuota quota;
} PeerConnectionShared;

typedef struct PeerConnection PeerConnection;

/** @return a talloc object under @p ctx; @p shared must outlive it. */
PeerConnection *peer_connection_new (const void *ctx, PeerConnectionShared *shared,
                                     const Address *address);

/** Closes the connection to the old address if @p address differs. Queued frames are kept, except
 * for a partly sent one. */
void peer_connection_set_address (PeerConnection *conn, const Address *address);

/** Queues a frame, header included, and sends it if possible. Takes ownership of the talloc object
 * @p frame. Frames are dropped if a queue limit is exceeded (see send_queue_push()) or the peer can't be
 * reached. */
void peer_connection_send (PeerConnection *conn, uint8_t *frame, size_t len,
                           Pond__Envelope__BodyCase kind);

/** A message of the peer has arrived. */
void peer_connection_heard (PeerConnection *conn);

/** Closes the connection if its queue is empty and no frame was queued since @p before_us, a time of
 * loop_monotonic_us(). */
void peer_connection_close_idle (PeerConnection *conn, int64_t before_us);
