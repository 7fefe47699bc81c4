/** @file
 * Keeps requests from servers under which servers have ended: collects the evidence of this host and of the others,
 * and is asked before each send. docs/decisions/quarantine.md. Lock "quarantine", taken alone; any thread. */
#pragma once

#include "dispatch/drain_set.h"
#include "quarantine/stopped_keys.h"

/** Of one request: parts of its prompt (the last one belongs to it alone and is never among them), and itself. */
#define QUARANTINE_MAX_KEYS 64

typedef struct Quarantine Quarantine;

/** An exchange with a server that was cut off. */
typedef struct
{
  ServerInstance server;
  uint64_t request; /* hash of the request's id */
  /** Empty if the request's answer had shown that it is sound. */
  const QuarantineKey *keys;
  size_t n_keys;
  int others_in_flight; /* of this host at the server */
  /** It may not have been the server that ended the exchange: the answer has ended with its connection and may be complete, or
   * came over another host, which may have ended. It counts only if the server is found to have ended in another way. */
  bool is_unconfirmed;
} QuarantineCut;

typedef enum
{
  QUARANTINE_TELL_CUT,
  QUARANTINE_TELL_END,
  QUARANTINE_TELL_SOUND
} QuarantineNoticeKind;

/** What the other hosts are to be informed of. */
typedef struct
{
  QuarantineNoticeKind kind;
  ServerInstance server; /* not with QUARANTINE_TELL_SOUND */
  uint64_t request;      /* of a cut */
  const QuarantineKey *keys;
  size_t n_keys;
  int64_t at_ms; /* of a cut, or when the sound request was sent */
} QuarantineNotice;

typedef struct
{
  uint64_t seed;
  /** Informs the other hosts. Any thread, without the lock; may be NULL. */
  void (*tell) (void *data, const QuarantineNotice *notice);
  void *data;
} QuarantineOptions;

/** Why a request must not be sent, or only as a trial. */
typedef struct
{
  QuarantineKey key;
  int64_t retry_after_ms;
  bool is_trial; /* it may be sent, to show whether its keys are sound again */
} QuarantineRefusal;

/** @return a talloc object under @p ctx. */
Quarantine *quarantine_new (const void *ctx, const QuarantineOptions *options);

/** Sets the number of hosts, over which the writes of one row are spread. */
void quarantine_set_hosts (Quarantine *quarantine, int hosts);

/** Must precede each send, with @p is_sent; before anything is waited for, without.
 * @return whether the request may be sent. */
bool quarantine_allows (Quarantine *quarantine, const QuarantineKey *keys, size_t n_keys,
                        bool is_sent, int64_t now_ms, QuarantineRefusal *refusal);

/** A trial that quarantine_allows() let pass has reached no server. */
void quarantine_return_trial (Quarantine *quarantine, const QuarantineKey *keys, size_t n_keys);

/** A server, or something before it, has ended an exchange of this host before its answer was complete. */
void quarantine_add_cut (Quarantine *quarantine, const QuarantineCut *cut, int64_t now_ms);

typedef enum
{
  QUARANTINE_END_REFUSED, /* connections to the server are refused, or another one has its address */
  QUARANTINE_END_RECORD   /* its record is gone or was replaced, which each host sees by itself */
} QuarantineEndSource;

void quarantine_add_end (Quarantine *quarantine, const ServerInstance *server,
                         QuarantineEndSource source, int64_t now_ms);

/** A server has answered a request of this host, sent at @p sent_ms, so far that it will not end under it. */
void quarantine_add_sound (Quarantine *quarantine, const ServerInstance *server,
                           const QuarantineKey *keys, size_t n_keys, int64_t sent_ms,
                           int64_t now_ms);

/** Applies what another host has told; at_ms is in this host's time. */
void quarantine_apply (Quarantine *quarantine, const QuarantineNotice *notice, int64_t now_ms);

/** To be called several times a second. */
void quarantine_tick (Quarantine *quarantine, int64_t now_ms);

/* The store's rows: see stopped_keys.h. */
void quarantine_row_changed (Quarantine *quarantine, QuarantineKey key, int64_t version,
                             const StoppedRow *row, int64_t now_ms);
void quarantine_row_removed (Quarantine *quarantine, QuarantineKey key, int64_t now_ms);
bool quarantine_next_write (Quarantine *quarantine, int64_t now_ms, StoppedWrite *write);
void quarantine_written (Quarantine *quarantine, const StoppedWrite *write,
                         StoppedWriteResult result, int64_t version, int64_t now_ms);

/** @return the name of a kind of key, for logs and rows. */
const char *quarantine_kind_name (QuarantineKind kind);
