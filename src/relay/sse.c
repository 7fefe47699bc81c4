#include "relay/sse.h"

#include <string.h>

#include <talloc.h>

/* @return length of the first complete event, or 0. */
static size_t
event_len (const char *bytes, size_t len)
{
  const char *at = bytes;
  const char *end = bytes + len;

  while ((at = memchr (at, '\n', (size_t)(end - at))))
    {
      at++;
      if (at < end && *at == '\n')
        return (size_t)(at - bytes) + 1;
      if (at + 1 < end && at[0] == '\r' && at[1] == '\n')
        return (size_t)(at - bytes) + 2;
    }
  return 0;
}

static bool
append_partial (SseParser *s, const void *ctx, const char *bytes, size_t len)
{
  if (s->partial_len + len > s->max_event_bytes)
    return false;
  s->partial = talloc_realloc_size (ctx, s->partial, s->partial_len + len);
  if (!s->partial)
    return false;
  memcpy (s->partial + s->partial_len, bytes, len);
  s->partial_len += len;
  return true;
}

static bool
feed_events (SseParser *s, const void *ctx, const char *bytes, size_t len, SseEventFn fn,
             void *data)
{
  size_t n;

  while (len > 0 && (n = event_len (bytes, len)) > 0)
    {
      if (!fn (data, bytes, n))
        return false;
      bytes += n;
      len -= n;
    }
  return len == 0 || append_partial (s, ctx, bytes, len);
}

bool
sse_feed (SseParser *s, const void *ctx, const char *bytes, size_t len, SseEventFn fn, void *data)
{
  char *joined;
  size_t joined_len;
  bool ok;

  if (s->partial_len == 0)
    return feed_events (s, ctx, bytes, len, fn, data);
  if (!append_partial (s, ctx, bytes, len))
    return false;
  joined = s->partial;
  joined_len = s->partial_len;
  s->partial = NULL;
  s->partial_len = 0;
  ok = feed_events (s, ctx, joined, joined_len, fn, data);
  talloc_free (joined);
  return ok;
}

bool
sse_event_data (const char *event, size_t len, const char **payload, size_t *payload_len)
{
  const char *end = event + len;
  int found = 0;

  while (event < end)
    {
      const char *newline = memchr (event, '\n', (size_t)(end - event));
      const char *line_end = newline ? newline : end;
      size_t n = (size_t)(line_end - event);

      if (n > 0 && event[n - 1] == '\r')
        n--;
      if (n >= 5 && !memcmp (event, "data:", 5))
        {
          size_t skip = n > 5 && event[5] == ' ' ? 6 : 5;

          *payload = event + skip;
          *payload_len = n - skip;
          found++;
        }
      event = line_end + 1;
    }
  return found == 1;
}
