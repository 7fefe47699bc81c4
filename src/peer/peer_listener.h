/** @file
 * The accepting side of the peer transport: reads the frames of all incoming connections and passes
 * the envelopes to a callback. Control loop only. */
#pragma once

#include <stdint.h>

#include "core/loop.h"
#include "peer/peer_options.h"
#include "peer/peer_stats.h"

typedef struct PeerListener PeerListener;
/** Receives an envelope, valid during the call only. @p frame_bytes includes the frame header. */
typedef void (*PeerListenerFn) (void *data, const Pond__Envelope *envelope, size_t frame_bytes);

/** Listens on options->listen; @p options and @p stats must outlive the listener. @return a talloc
 * object under @p ctx, or NULL if it cannot listen. */
PeerListener *peer_listener_new (const void *ctx, Loop *loop, const PeerTcpOptions *options,
                                 PeerStats *stats, PeerListenerFn fn, void *data);

uint16_t peer_listener_port (const PeerListener *listener);

/** Closes connections on which no byte has arrived since @p before_us, a time of loop_monotonic_us(). */
void peer_listener_close_inactive (PeerListener *listener, int64_t before_us);
