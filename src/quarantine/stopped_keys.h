/** @file
 * The keys that have a row in the store: those whose requests are sent to no server, with the time at which a trial
 * request may show that they are sound again, and those that are one end short of that, so that hosts which do not hear
 * each other add up what they have seen. No I/O, no clock. Lock "quarantine". */
#pragma once

#include <stddef.h>

#include "quarantine/evidence.h"

typedef struct StoppedKeys StoppedKeys;

typedef enum
{
  STOPPED_NOT,   /* requests with the key are sent */
  STOPPED_TRIAL, /* this one is sent, to show whether the key is sound again */
  STOPPED_REFUSE
} StoppedCheck;

/** What a key's row says. */
typedef struct
{
  int ends; /* below EVIDENCE_ENDS: the key is only suspected */
  int trials;
  bool in_doubt;                         /* as in the verdict: the first trial comes early */
  uint64_t instances[EVIDENCE_ENDS - 1]; /* of a suspected key, hashes of the servers that ended */
  size_t n_instances;
} StoppedRow;

typedef enum
{
  STOPPED_WRITE_ADD,    /* the row of a newly stopped or suspected key */
  STOPPED_WRITE_TRIAL,  /* takes the next trial for this host */
  STOPPED_WRITE_REMOVE, /* the key is neither any longer */
  STOPPED_N_WRITES
} StoppedWriteKind;

/** A change of a key's row. */
typedef struct
{
  StoppedWriteKind kind;
  QuarantineKey key;
  int64_t version; /* that the row must have; 0: it must not exist */
  StoppedRow row;
} StoppedWrite;

typedef enum
{
  STOPPED_WRITTEN,
  STOPPED_WRITE_CONFLICT, /* the row has another version */
  STOPPED_WRITE_FAILED    /* may have been written or not */
} StoppedWriteResult;

/** @return a talloc object under @p ctx. */
StoppedKeys *stopped_keys_new (const void *ctx);

size_t stopped_keys_count (const StoppedKeys *stopped);
bool stopped_keys_contains (const StoppedKeys *stopped, QuarantineKey key);

/** Stops a key, or suspects it if the verdict lacks an end. @param write_delay_ms until its row is written, unless another host has written it by then.
 * @return false if there are too many of them. */
bool stopped_keys_add (StoppedKeys *stopped, const EvidenceVerdict *verdict, int64_t write_delay_ms,
                       int64_t now_ms);

/** Must precede each send of a request with the key.
 * @param is_sent the request is sent at once if the result allows it: an open trial is used up
 * @param retry_after_ms set if the request is refused: when the next trial is due. */
StoppedCheck stopped_keys_check (StoppedKeys *stopped, QuarantineKey key, bool is_sent,
                                 int64_t now_ms, int64_t *retry_after_ms);

/** The trial that was used up has reached no server: another request may be sent instead. */
void stopped_keys_return_trial (StoppedKeys *stopped, QuarantineKey key);

/** A request with the key that was sent at @p sent_ms has a sound answer. @return whether the key was stopped
 * and is no longer. */
bool stopped_keys_lift (StoppedKeys *stopped, QuarantineKey key, int64_t sent_ms,
                        int64_t write_delay_ms, int64_t now_ms);

/** The key's row was read. @return whether the key is stopped and was not before. */
bool stopped_keys_row_changed (StoppedKeys *stopped, QuarantineKey key, int64_t version,
                               const StoppedRow *row, int64_t now_ms);

/** The key's row is gone. @return whether the key was stopped and is no longer. */
bool stopped_keys_row_removed (StoppedKeys *stopped, QuarantineKey key, int64_t now_ms);

/** @return whether a row is to be written now; stopped_keys_written() must follow. */
bool stopped_keys_next_write (StoppedKeys *stopped, int64_t now_ms, StoppedWrite *write);

/** @param version of the row that was written. */
void stopped_keys_written (StoppedKeys *stopped, const StoppedWrite *write,
                           StoppedWriteResult result, int64_t version, int64_t now_ms);
