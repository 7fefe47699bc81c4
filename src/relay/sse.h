/** @file
 * Splits a byte stream into server-sent events. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  char *partial; /* the beginning of an incomplete event; NULL if none */
  size_t partial_len;
  size_t max_event_bytes;
} SseParser;

/** Takes one event, including the blank line that ends it. @return false to stop. */
typedef bool (*SseEventFn) (void *data, const char *event, size_t len);

/** Calls @p fn for each event completed by @p bytes. @param ctx parent of the parser's memory.
 * @return false if @p fn stopped, or if an event is too large. */
bool sse_feed (SseParser *parser, const void *ctx, const char *bytes, size_t len, SseEventFn fn,
               void *data);

/** Finds the value of the event's only data field. @return false if it has none or several. */
bool sse_event_data (const char *event, size_t len, const char **value, size_t *value_len);
