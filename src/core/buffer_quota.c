#include "core/buffer_quota.h"

/* One body may use at most the free bytes divided by this, which leaves room for others. */
#define FREE_BYTES_DIVISOR 4

bool
buffer_quota_acquire (BufferQuota *q, size_t has, size_t more)
{
  size_t free_bytes = q->limit_bytes > q->used_bytes ? q->limit_bytes - q->used_bytes : 0;
  size_t allowed = free_bytes / FREE_BYTES_DIVISOR;

  if (allowed < BUFFER_QUOTA_MIN_BYTES)
    allowed = BUFFER_QUOTA_MIN_BYTES;
  if (has + more > allowed)
    return false;
  q->used_bytes += more;
  return true;
}

void
buffer_quota_release (BufferQuota *q, size_t bytes)
{
  q->used_bytes -= bytes;
}
