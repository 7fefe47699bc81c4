/** @file
 * The bounded queue of frames to send on one connection, oldest first. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/list.h"
#include "peer/peer_options.h"
#include "peer/peer_stats.h"

/** The limits, statistics and total size that the queues of one transport share. */
typedef struct
{
  const PeerTcpOptions *options;
  PeerStats *stats;
  size_t bytes; /* in all queues */
} SendQuota;

typedef struct
{
  SendQuota *quota;
  List frames;
  size_t bytes;           /* of all frames in the queue */
  size_t head_sent_bytes; /* bytes of the first frame that were written to the socket */
} SendQueue;

void send_queue_init (SendQueue *queue, SendQuota *quota);
bool send_queue_is_empty (const SendQueue *queue);

/** Appends the bytes @p frame, a talloc object, and takes ownership of them; the queue entry is allocated
 * under @p ctx. While this queue or all queues together exceed their limit, drops the oldest frames of this
 * queue, which may include the new one, but never a partly sent one. */
void send_queue_push (SendQueue *queue, const void *ctx, uint8_t *frame, size_t len,
                      Pond__Envelope__BodyCase kind);

/** Stores the bytes to send next. @return false if the queue is empty. */
bool send_queue_peek (const SendQueue *queue, const uint8_t **bytes, size_t *len);

/** Records that @p len bytes were sent. A frame that is sent completely is counted and removed. */
void send_queue_advance (SendQueue *queue, size_t len);

/** Drops a partly sent frame, if any: the rest of it is useless on another connection. */
void send_queue_drop_partial (SendQueue *queue);

/** Drops all frames, a partly sent one included. */
void send_queue_drop_all (SendQueue *queue);
