/** @file
 * Statistics of the peer transport, in total and per kind of message. */
#pragma once

#include <stddef.h>
#include <stdint.h>

#include "proto/peer.pb-c.h"

/** Why a message was dropped. */
typedef enum
{
  PEER_DROP_UNKNOWN_HOST,   /* the host has no address */
  PEER_DROP_UNREACHABLE,    /* connecting failed, or the connection was lost */
  PEER_DROP_OVERFLOW,       /* a limit of the send queues was exceeded */
  PEER_DROP_TOO_LONG,       /* longer than max_frame_bytes */
  PEER_DROP_UNKNOWN_SENDER, /* the sender was not added to the transport */
  PEER_DROP_MISDIRECTED,    /* addressed to another host */
  PEER_DROP_OUT_OF_RANGE,   /* a number is beyond its range (message_check.h) */
  N_PEER_DROP_REASONS
} PeerDrop;

/** Totals of one transport. Bytes include frame headers, but not TCP and IP headers. */
typedef struct
{
  int64_t sent_bytes;
  int64_t sent_messages;
  int64_t received_bytes;
  int64_t received_messages;
  int64_t connects; /* attempts, including those that failed */
  int64_t connect_failures;
  int64_t bad_frames;
  int64_t rejected_connections;
  int64_t dropped[N_PEER_DROP_REASONS];
} PeerStats;

/** The functions below update both @p stats and the exported metrics. */
void peer_stats_sent (PeerStats *stats, Pond__Envelope__BodyCase kind, size_t bytes);
void peer_stats_received (PeerStats *stats, Pond__Envelope__BodyCase kind, size_t bytes);
void peer_stats_dropped (PeerStats *stats, PeerDrop reason);
void peer_stats_bad_frame (PeerStats *stats);
void peer_stats_connect (PeerStats *stats, int ok);

/** @return the name of the kind's field in Envelope.body, "none" for an unknown kind. */
const char *peer_kind_name (Pond__Envelope__BodyCase kind);
