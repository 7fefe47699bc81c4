#include "relay/event_id.h"

#include <string.h>

#include <talloc.h>

/* Of a header's value that servers take; a whole head may have 8 KB with many of them. */
#define MAX_ID_BYTES 4096

#define MIN_SIZE_BYTES 32

typedef struct
{
  const char *bytes;
  size_t len;
} Text;

/* @return the next line without its end. */
static Text
next_line (const char **at, const char *end)
{
  const char *newline = memchr (*at, '\n', (size_t)(end - *at));
  Text line = { *at, (size_t)((newline ? newline : end) - *at) };

  *at = newline ? newline + 1 : end;
  if (line.len > 0 && line.bytes[line.len - 1] == '\r')
    line.len--;
  return line;
}

/* @return whether the line is of the field @p name, with its value: what follows the colon and one space. */
static bool
read_field (Text line, const char *name, Text *value)
{
  size_t n = strlen (name);

  if (line.len < n || memcmp (line.bytes, name, n) != 0 || (line.len > n && line.bytes[n] != ':'))
    return false;
  *value = (Text){ line.bytes + n, 0 };
  if (line.len == n)
    return true;
  value->bytes++;
  value->len = line.len - n - 1;
  if (value->len > 0 && value->bytes[0] == ' ')
    *value = (Text){ value->bytes + 1, value->len - 1 };
  return true;
}

/* The value of a header has no blanks at its ends and no control characters. */
static bool
can_be_sent (Text id)
{
  if (id.len == 0 || id.len > MAX_ID_BYTES || id.bytes[0] == ' ' || id.bytes[id.len - 1] == ' ')
    return false;
  for (size_t i = 0; i < id.len; i++)
    if ((unsigned char)id.bytes[i] < ' ' || id.bytes[i] == 0x7f)
      return false;
  return true;
}

static void
store (EventId *id, const void *ctx, Text text)
{
  if (text.len >= id->size)
    {
      id->size = text.len + MIN_SIZE_BYTES;
      id->text = talloc_realloc_size (ctx, id->text, id->size);
    }
  memcpy (id->text, text.bytes, text.len);
  id->text[text.len] = '\0';
}

void
event_id_note (EventId *id, const void *ctx, const char *event, size_t len)
{
  const char *at = event;
  const char *end = event + len;
  Text found = { NULL, 0 };
  Text data;
  bool has_data = false;

  while (at < end)
    {
      Text line = next_line (&at, end);

      if (!read_field (line, "id", &found))
        has_data |= read_field (line, "data", &data);
    }
  if (!found.bytes)
    {
      id->usable &= !has_data;
      return;
    }
  id->usable = can_be_sent (found);
  if (id->usable)
    store (id, ctx, found);
}

const char *
event_id_text (const EventId *id)
{
  return id->usable ? id->text : NULL;
}
