/** @file
 * Which software version began a stream, so that a caller whose stream was broken off goes on at that version only.
 * The store has a row for each service with the versions at which open streams may have begun (version_set.h), and
 * while there are several, a row for each host with the streams that it has begun (stream_table.h). What is not known
 * is refused. Lock "streams"; any thread, except where "control loop only" is stated. No function reads a clock. */
#pragma once

#include "core/loop.h"
#include "streams/stream_table.h"
#include "streams/version_set.h"

/** Including the terminating NUL. Streams of services with longer names can't be resumed. */
#define STREAM_SERVICE_BYTES 192

typedef struct Streams Streams;
typedef struct StreamLookup StreamLookup;

typedef struct
{
  /** Called when the rows have to be read now. Any thread, without the lock; may be NULL. */
  void (*wake) (void *data);
  void *data;
  uint64_t seed;
} StreamsOptions;

/** @return a talloc object under @p ctx. */
Streams *streams_new (const void *ctx, const StreamsOptions *options);

/** Sets the number of hosts that share the store. */
void streams_set_hosts (Streams *streams, int hosts);

/* --- Placing streams --------------------------------------------------------------------- */

/** Gets the versions of a service at which new streams may begin. */
void streams_allowed (Streams *streams, const char *service, ServerVersions *versions,
                      int64_t now_ms);

/** Records a stream before it is sent to a server. @return false if it can't be recorded: too many versions. */
bool streams_begin (Streams *streams, const StreamBegin *begin, int64_t now_ms);

/** Forgets a stream of which no event was forwarded. @return false if it must stay at the version that it was recorded
 * with, because other hosts may know that one. */
bool streams_withdraw (Streams *streams, StreamKey key);

/** It is not certain which version wrote the events of a stream. */
void streams_doubt (Streams *streams, StreamKey key);

/* --- Resuming streams -------------------------------------------------------------------- */

typedef enum
{
  STREAM_KNOWN,
  STREAM_NOT_KNOWN, /* its version is not known: it can't be resumed */
  STREAM_NOT_READ,  /* the store can't be read: its version may be known in a moment */
  STREAM_N_OUTCOMES
} StreamOutcome;

/** Where the answer was found; for the log. */
typedef enum
{
  STREAM_SOURCE_NONE,
  STREAM_SOURCE_HOST,    /* this host has begun it */
  STREAM_SOURCE_RECORD,  /* another host has */
  STREAM_SOURCE_VERSIONS /* there is one version only */
} StreamSource;

typedef struct
{
  StreamOutcome outcome;
  StreamSource source;
  char version[VERSION_NAME_BYTES]; /* of STREAM_KNOWN */
} StreamAnswer;

typedef void (*StreamAnswerFn) (void *data, const StreamAnswer *answer);

typedef struct
{
  const char *service;
  StreamKey key;
  Executor executor; /* of the callback */
  StreamAnswerFn fn;
  void *data;
} StreamQuery;

/** Asks for the version of a stream that is to be resumed. @return NULL with @p answer if it is known at once, else a
 * talloc object under @p ctx; the callback is called once, unless the object is freed before. It is freed by its owner,
 * on the thread of the executor. */
StreamLookup *streams_look_up (Streams *streams, const void *ctx, const StreamQuery *query,
                               StreamAnswer *answer);

/** @return the word for logs and metric labels. */
const char *stream_outcome_name (StreamOutcome outcome);
const char *stream_source_name (StreamSource source);

/* --- Servers and rows: control loop only -------------------------------------------------- */

/** A server has a record in the store. */
void streams_server_changed (Streams *streams, const char *id, const char *service,
                             const char *version, int64_t now_ms);
/** Unless it is @p confirmed, the record may come back. */
void streams_server_removed (Streams *streams, const char *id, bool confirmed, int64_t now_ms);

/** Called often: forgets what is out of date, and finds versions that are gone. */
void streams_tick (Streams *streams, int64_t now_ms);

/** Before a read of all rows. @return false if none is due. */
bool streams_read_begin (Streams *streams, int64_t now_ms);

/** The state of the store at a reply. */
typedef struct
{
  int64_t time_ms; /* of its clock */
  int64_t era;     /* store/store_era.h */
} StreamsStoreTime;

/** Before the rows of a reply. */
void streams_read_at (Streams *streams, StreamsStoreTime store, int64_t now_ms);

/** A row with the streams of a host. @return the store's time until which they may be open; 0: malformed. */
int64_t streams_read_hosts_row (Streams *streams, const char *value, size_t len);

/** The row of a service. */
void streams_read_versions_row (Streams *streams, const char *service, const char *value,
                                size_t len, int64_t row_version);

/** @param complete false: the store could not be read. */
void streams_read_end (Streams *streams, bool complete, int64_t now_ms);

typedef struct
{
  char service[STREAM_SERVICE_BYTES];
  VersionSet set;
  int64_t row_version; /* expected; 0: the row does not exist */
  int64_t started_ms;
} VersionsWrite;

/** @return false if no row of a service has to be written. */
bool streams_next_versions_write (Streams *streams, int64_t now_ms, VersionsWrite *write);

/** @p done: it was applied and the row has @p row_version; otherwise all rows are read again. */
void streams_versions_written (Streams *streams, const VersionsWrite *write, bool done,
                               int64_t row_version, int64_t now_ms);

/** @return the row of this host if it has to be written now, a talloc object under @p ctx, else NULL. */
char *streams_next_record_write (Streams *streams, const void *ctx, int64_t now_ms, size_t *len);

/** The row could not be written and is to be written again. */
void streams_record_write_failed (Streams *streams);
