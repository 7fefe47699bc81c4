/** @file
 * The streams that a host has begun, each with the software version of the server that it was sent to, and the row in
 * which other hosts find them. Fixed memory; no lock. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Of these, the oldest gives way to a new one. All fit into one row of the store. */
#define STREAM_TABLE_MAX 9000

/** Bytes of a row of STREAM_TABLE_MAX streams and names of versions of the longest kind. */
#define STREAM_ROW_MAX_BYTES 65536

typedef struct StreamTable StreamTable;

/** Identifies a stream of an account by a hash; never 0. */
typedef uint64_t StreamKey;

/** @p account and @p id may be NULL. */
StreamKey stream_key (const char *account, const char *service, const char *id);

/** @return a talloc object under @p ctx. */
StreamTable *stream_table_new (const void *ctx);

/** What is recorded of a stream. */
typedef struct
{
  StreamKey key;
  const char *server;  /* id of the server that it is about to be sent to */
  const char *version; /* of that server */
  int64_t until_ms;    /* the stream may be open until then */
} StreamBegin;

/** Records a stream that is about to be sent to a server. If it was recorded with another version, that of its events is
 * uncertain from now on. @return false if the table holds too many versions to take another one. */
bool stream_table_add (StreamTable *table, const StreamBegin *begin, int64_t now_ms);

/** It is not certain which version wrote the events of a stream. */
void stream_table_doubt (StreamTable *table, StreamKey key);

/** The server @p id turns out to have another version than its record had: that of the streams that were sent there is
 * uncertain. @return their number. */
size_t stream_table_doubt_server (StreamTable *table, const char *id);

/** Forgets a stream of which no event was forwarded, so that it may be sent to a server of another version. @return
 * false if it stays, because a row with it was written. */
bool stream_table_withdraw (StreamTable *table, StreamKey key);

/** @return whether the stream is recorded. @param version NULL if its version is not certain. */
bool stream_table_find (const StreamTable *table, StreamKey key, const char **version);

/** Forgets the streams that can't be open any more. */
void stream_table_expire (StreamTable *table, int64_t now_ms);

size_t stream_table_count (const StreamTable *table);

/** @return whether streams or versions were added since the last stream_table_encode(). */
bool stream_table_changed (const StreamTable *table);

/** What was encoded last was not written. */
void stream_table_set_changed (StreamTable *table);

/** @return how many streams gave way to newer ones before their time. */
int64_t stream_table_dropped (const StreamTable *table);

/** Encodes the row. Its streams count as written from now on. @p store_ahead_ms is what the store's clock is ahead of
 * the host's. @return @p len bytes and a NUL, a talloc object under @p ctx. */
char *stream_table_encode (StreamTable *table, const void *ctx, int64_t store_ahead_ms,
                           size_t *len);

/** @param version NULL if it is not certain. */
typedef void (*StreamRowFn) (void *data, StreamKey key, const char *version);

/** Calls @p fn for each stream of a row. @return the store's time until which its streams may be open, or 0 if the row
 * is malformed from some byte on. */
int64_t stream_row_decode (const char *value, size_t len, StreamRowFn fn, void *data);
