/** @file
 * Memory for answers that are read whole before they are passed on, shared by the requests of one worker: many
 * servers that send without end must not fill the host's memory together. No lock; the worker's loop. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

/** However full the pool is, an answer may have this much. */
#define BUFFER_QUOTA_MIN_BYTES ((size_t)64 << 10)

typedef struct
{
  size_t limit_bytes; /* bytes of all answers together, beside the least */
  size_t used_bytes;
} BufferQuota;

/** Takes @p more bytes for an answer that has @p has.
 * @return false if the answer is too large for what the others leave. */
bool buffer_quota_acquire (BufferQuota *pool, size_t has, size_t more);

/** Gives an answer's bytes back. */
void buffer_quota_release (BufferQuota *pool, size_t bytes);
