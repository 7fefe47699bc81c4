/** @file
 * The id of the last event of a stream, after which the rest of the stream can be asked for. Ids have any length. An id that
 * is missing or can't be sent as a header's value is no place to go on from: going on from an older one would bring events twice. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  char *text;  /* a talloc string; NULL: no event has had an id yet */
  size_t size; /* of its memory, bytes */
  bool usable; /* it is that of the last event with data */
} EventId;

/** Notes the id of a complete event that is forwarded. One without data leaves it as it is, unless it has an id. @param ctx owns
 * the memory. */
void event_id_note (EventId *id, const void *ctx, const char *event, size_t len);

/** @return the id after which the stream goes on, or NULL if there is none. */
const char *event_id_text (const EventId *id);
