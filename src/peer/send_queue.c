#include "peer/send_queue.h"

#include <talloc.h>

typedef struct
{
  ListNode node;
  uint8_t *bytes;
  size_t len;
  Pond__Envelope__BodyCase kind;
} QueuedFrame;

void
send_queue_init (SendQueue *queue, SendQuota *quota)
{
  *queue = (SendQueue){ .quota = quota };
  list_init (&queue->frames);
}

static QueuedFrame *
head_frame (const SendQueue *queue)
{
  ListNode *node = list_first (&queue->frames);

  return node ? LIST_ENTRY (node, QueuedFrame, node) : NULL;
}

bool
send_queue_is_empty (const SendQueue *queue)
{
  return list_is_empty (&queue->frames);
}

static void
unlink_frame (SendQueue *queue, QueuedFrame *frame)
{
  list_remove (&frame->node);
  queue->bytes -= frame->len;
  queue->quota->bytes -= frame->len;
  talloc_free (frame);
}

static void
drop_frame (SendQueue *queue, QueuedFrame *frame, PeerDrop reason)
{
  peer_stats_dropped (queue->quota->stats, reason);
  unlink_frame (queue, frame);
}

/* @return the oldest frame of which no byte was sent, or NULL. */
static QueuedFrame *
oldest_unsent (const SendQueue *queue)
{
  ListNode *node = list_first (&queue->frames);

  if (node && queue->head_sent_bytes)
    node = list_next (&queue->frames, node);
  return node ? LIST_ENTRY (node, QueuedFrame, node) : NULL;
}

static bool
is_over_limit (const SendQueue *queue)
{
  const PeerTcpOptions *o = queue->quota->options;

  return queue->bytes > o->max_queue_bytes || queue->quota->bytes > o->max_total_queue_bytes;
}

void
send_queue_push (SendQueue *queue, const void *ctx, uint8_t *frame, size_t len,
                 Pond__Envelope__BodyCase kind)
{
  QueuedFrame *f = talloc_zero (ctx, QueuedFrame);
  QueuedFrame *oldest;

  f->bytes = talloc_steal (f, frame);
  f->len = len;
  f->kind = kind;
  list_append (&queue->frames, &f->node);
  queue->bytes += len;
  queue->quota->bytes += len;
  while (is_over_limit (queue) && (oldest = oldest_unsent (queue)))
    drop_frame (queue, oldest, PEER_DROP_OVERFLOW);
}

bool
send_queue_peek (const SendQueue *queue, const uint8_t **bytes, size_t *len)
{
  const QueuedFrame *f = head_frame (queue);

  if (!f)
    return false;
  *bytes = f->bytes + queue->head_sent_bytes;
  *len = f->len - queue->head_sent_bytes;
  return true;
}

void
send_queue_advance (SendQueue *queue, size_t len)
{
  QueuedFrame *f = head_frame (queue);

  queue->head_sent_bytes += len;
  if (!f || queue->head_sent_bytes < f->len)
    return;
  queue->head_sent_bytes = 0;
  peer_stats_sent (queue->quota->stats, f->kind, f->len);
  unlink_frame (queue, f);
}

void
send_queue_drop_partial (SendQueue *queue)
{
  if (queue->head_sent_bytes)
    drop_frame (queue, head_frame (queue), PEER_DROP_UNREACHABLE);
  queue->head_sent_bytes = 0;
}

void
send_queue_drop_all (SendQueue *queue)
{
  queue->head_sent_bytes = 0;
  for (QueuedFrame *f = head_frame (queue); f; f = head_frame (queue))
    drop_frame (queue, f, PEER_DROP_UNREACHABLE);
}
