/** @file
 * Bytes that wait to be taken by a socket. Its memory is freed while it is empty, so that idle connections hold little.
 * One loop's thread. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  char *bytes;
  size_t start;
  size_t end;
  size_t size;
} OutputBuffer;

/** Appends bytes. @p ctx: owner of the memory, a talloc object. */
void output_buffer_append (OutputBuffer *buffer, const void *ctx, const char *bytes, size_t len);

/** @return the number of bytes that wait. */
size_t output_buffer_len (const OutputBuffer *buffer);

/** Hands the socket as many bytes as it takes. @return false if it takes none any more. */
bool output_buffer_flush (OutputBuffer *buffer, int fd);
