/** @file
 * Splits a byte stream into server-sent events. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  char *rest; /* an event that has begun; NULL if none */
  size_t len;
  size_t max; /* largest event in bytes */
} SseSplitter;

/** One event, with the blank line that ends it. @return false to stop. */
typedef bool (*SseFn) (void *data, const char *event, size_t len);

/** @param ctx parent of the splitter's memory. @return false if @p fn stopped or an event is too
 * large. */
bool sse_feed (SseSplitter *splitter, const void *ctx, const char *bytes, size_t len, SseFn fn,
               void *data);

/** Finds the payload of an event's only data line. @return false if it has none or several. */
bool sse_data (const char *event, size_t len, const char **payload, size_t *payload_len);
