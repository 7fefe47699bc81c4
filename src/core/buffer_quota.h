/** @file
 * Limits the memory for what a worker keeps whole: the bodies of requests, against bursts of large ones, and responses that
 * are buffered before they are forwarded, against servers that send endless ones. The requests of one worker share a quota of each, so
 * that neither can exhaust the host's memory, and small ones go on while large ones find no room.
 * Not locked; used on the worker's loop only. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/** Each body may use this many bytes, even if the quota is exhausted. */
#define BUFFER_QUOTA_MIN_BYTES ((size_t)64 << 10)

typedef struct
{
  size_t limit_bytes; /* of all bodies together; the minimum of each may exceed it */
  size_t used_bytes;
} BufferQuota;

/** Acquires @p more bytes for a body that has @p has already.
 * @return false, with nothing acquired, if the body would be too large for the bytes that are free. */
bool buffer_quota_acquire (BufferQuota *quota, size_t has, size_t more);

/** Releases the bytes of a body. */
void buffer_quota_release (BufferQuota *quota, size_t bytes);
