#include "relay/buffer_quota.h"

/* One answer may have this part of what is free, so that the next ones find room. */
#define FREE_BYTES_DIVISOR 4

bool
buffer_quota_acquire (BufferQuota *p, size_t has, size_t more)
{
  size_t left = p->limit_bytes > p->used_bytes ? p->limit_bytes - p->used_bytes : 0;
  size_t allowed = left / FREE_BYTES_DIVISOR;

  if (allowed < BUFFER_QUOTA_MIN_BYTES)
    allowed = BUFFER_QUOTA_MIN_BYTES;
  if (has + more > allowed)
    return false;
  p->used_bytes += more;
  return true;
}

void
buffer_quota_release (BufferQuota *p, size_t bytes)
{
  p->used_bytes -= bytes;
}
