/** @file
 * Limits the memory for responses that are buffered completely before they are forwarded. The requests of one
 * worker share the quota, so that many servers sending endless responses can't exhaust the host's memory.
 * Not locked; used on the worker's loop only. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/** Each response may use this many bytes, even if the quota is exhausted. */
#define BUFFER_QUOTA_MIN_BYTES ((size_t)64 << 10)

typedef struct
{
  size_t limit_bytes; /* of all responses together; the minimum of each may exceed it */
  size_t used_bytes;
} BufferQuota;

/** Acquires @p more bytes for a response that has @p has already.
 * @return false, with nothing acquired, if the response would be too large for the bytes that are free. */
bool buffer_quota_acquire (BufferQuota *quota, size_t has, size_t more);

/** Releases the bytes of a response. */
void buffer_quota_release (BufferQuota *quota, size_t bytes);
