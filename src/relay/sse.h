/** @file
 * Splits a byte stream into server-sent events. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  char *partial; /* an event that has begun; NULL if none */
  size_t partial_len;
  size_t max_event_bytes; /* largest event in bytes */
} SseParser;

/** One event, with the blank line that ends it. @return false to stop. */
typedef bool (*SseEventFn) (void *data, const char *event, size_t len);

/** @param ctx parent of the splitter's memory. @return false if @p fn stopped or an event is too
 * large. */
bool sse_feed (SseParser *splitter, const void *ctx, const char *bytes, size_t len, SseEventFn fn,
               void *data);

/** Finds the payload of an event's only data line. @return false if it has none or several. */
bool sse_event_data (const char *event, size_t len, const char **payload, size_t *payload_len);
