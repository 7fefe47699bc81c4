#include "peer/frame.h"

#include <string.h>

#include <talloc.h>

/* The buffer of an idle connection shrinks to this size again. Most control messages are smaller. */
#define MIN_BUFFER_BYTES 4096

struct FrameReader
{
  size_t max_bytes;
  uint8_t *buf;
  size_t size;
  size_t start; /* offset of the first frame that was not returned yet */
  size_t end;
};

FrameReader *
frame_reader_new (const void *ctx, size_t max_bytes)
{
  FrameReader *r = talloc_zero (ctx, FrameReader);

  r->max_bytes = max_bytes;
  return r;
}

static uint32_t
decode_length (const uint8_t *header)
{
  return (uint32_t)header[0] << 24 | (uint32_t)header[1] << 16 | (uint32_t)header[2] << 8
         | header[3];
}

void
frame_write_header (uint8_t *header, uint32_t len)
{
  header[0] = (uint8_t)(len >> 24);
  header[1] = (uint8_t)(len >> 16);
  header[2] = (uint8_t)(len >> 8);
  header[3] = (uint8_t)len;
}

static size_t
required_size (const FrameReader *r, size_t buffered)
{
  size_t frame_bytes;

  if (buffered < FRAME_HEADER_BYTES)
    return MIN_BUFFER_BYTES;
  frame_bytes = FRAME_HEADER_BYTES + decode_length (r->buf);
  /* frame_reader_next() reports an invalid length; no memory must be allocated for it. */
  if (frame_bytes <= MIN_BUFFER_BYTES || frame_bytes > FRAME_HEADER_BYTES + r->max_bytes)
    return MIN_BUFFER_BYTES;
  /* The buffer grows with the bytes received, so that a length alone cannot reserve memory. */
  return frame_bytes < buffered + MIN_BUFFER_BYTES + buffered
             ? frame_bytes
             : buffered + MIN_BUFFER_BYTES + buffered;
}

uint8_t *
frame_reader_reserve (FrameReader *r, size_t *available)
{
  size_t buffered = r->end - r->start;
  size_t size;

  if (buffered && r->start)
    memmove (r->buf, r->buf + r->start, buffered);
  r->start = 0;
  r->end = buffered;
  size = required_size (r, buffered);
  if (size <= buffered)
    size = buffered + MIN_BUFFER_BYTES;
  if (size != r->size)
    {
      r->buf = talloc_realloc (r, r->buf, uint8_t, size);
      r->size = size;
    }
  *available = r->size - r->end;
  return r->buf + r->end;
}

void
frame_reader_commit (FrameReader *r, size_t len)
{
  r->end += len;
}

FrameResult
frame_reader_next (FrameReader *r, const uint8_t **payload, size_t *len)
{
  size_t buffered = r->end - r->start;
  uint32_t n;

  if (buffered < FRAME_HEADER_BYTES)
    return FRAME_INCOMPLETE;
  n = decode_length (r->buf + r->start);
  if (n == 0 || n > r->max_bytes)
    return FRAME_MALFORMED;
  if (buffered < FRAME_HEADER_BYTES + (size_t)n)
    return FRAME_INCOMPLETE;
  *payload = r->buf + r->start + FRAME_HEADER_BYTES;
  *len = n;
  r->start += FRAME_HEADER_BYTES + n;
  return FRAME_READY;
}
