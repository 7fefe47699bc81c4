#include "http/output_buffer.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include <talloc.h>

#define FIRST_BYTES     256
/* A larger buffer is freed as soon as it is empty. */
#define MAX_EMPTY_BYTES 1024

static void
reserve (OutputBuffer *b, const void *ctx, size_t len)
{
  size_t size = b->size ? b->size : FIRST_BYTES;

  if (b->start > 0)
    {
      memmove (b->bytes, b->bytes + b->start, b->end - b->start);
      b->end -= b->start;
      b->start = 0;
    }
  while (size < b->end + len)
    size *= 2;
  if (size == b->size)
    return;
  b->bytes = talloc_realloc_size (ctx, b->bytes, size);
  b->size = size;
}

void
output_buffer_append (OutputBuffer *b, const void *ctx, const char *bytes, size_t len)
{
  if (len == 0)
    return;
  if (b->end + len > b->size)
    reserve (b, ctx, len);
  memcpy (b->bytes + b->end, bytes, len);
  b->end += len;
}

size_t
output_buffer_len (const OutputBuffer *b)
{
  return b->end - b->start;
}

static void
clear (OutputBuffer *b)
{
  b->start = 0;
  b->end = 0;
  if (b->size <= MAX_EMPTY_BYTES)
    return;
  TALLOC_FREE (b->bytes);
  b->size = 0;
}

bool
output_buffer_flush (OutputBuffer *b, int fd)
{
  while (b->start < b->end)
    {
      ssize_t n = send (fd, b->bytes + b->start, b->end - b->start, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK;
      b->start += (size_t)n;
    }
  clear (b);
  return true;
}
