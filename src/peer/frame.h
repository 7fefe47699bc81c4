/** @file
 * Framing of the peer protocol: a 4-byte big-endian length, then that many bytes of payload. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define FRAME_HEADER_BYTES 4

typedef struct FrameReader FrameReader;

typedef enum
{
  FRAME_INCOMPLETE, /* more bytes are needed */
  FRAME_READY,
  FRAME_MALFORMED /* empty or too long; the rest of the stream cannot be parsed */
} FrameResult;

/** @param max_bytes limit of the payload of one frame. @return a talloc object under @p ctx. */
FrameReader *frame_reader_new (const void *ctx, size_t max_bytes);

/** @return a buffer to read from the socket into; its size is stored in @p available. */
uint8_t *frame_reader_reserve (FrameReader *reader, size_t *available);

/** Appends the @p len bytes that were written to the reserved buffer. */
void frame_reader_commit (FrameReader *reader, size_t len);

/** Stores the payload of the next complete frame, valid until the next call on the reader. */
FrameResult frame_reader_next (FrameReader *reader, const uint8_t **payload, size_t *len);

/** Writes the header of a frame with @p len bytes of payload. */
void frame_write_header (uint8_t *header, uint32_t len);
