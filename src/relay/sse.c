#include "relay/sse.h"

#include <string.h>

#include <talloc.h>

/* @return the length of the first complete event, or 0. */
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
append_partial (SseParser *p, const void *ctx, const char *bytes, size_t len)
{
  if (p->partial_len + len > p->max_event_bytes)
    return false;
  p->partial = talloc_realloc_size (ctx, p->partial, p->partial_len + len);
  if (!p->partial)
    return false;
  memcpy (p->partial + p->partial_len, bytes, len);
  p->partial_len += len;
  return true;
}

static bool
feed_events (SseParser *p, const void *ctx, const char *bytes, size_t len, SseEventFn fn,
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
  return len == 0 || append_partial (p, ctx, bytes, len);
}

bool
sse_feed (SseParser *p, const void *ctx, const char *bytes, size_t len, SseEventFn fn, void *data)
{
  char *joined;
  size_t joined_len;
  bool ok;

  if (p->partial_len == 0)
    return feed_events (p, ctx, bytes, len, fn, data);
  if (!append_partial (p, ctx, bytes, len))
    return false;
  joined = p->partial;
  joined_len = p->partial_len;
  p->partial = NULL;
  p->partial_len = 0;
  ok = feed_events (p, ctx, joined, joined_len, fn, data);
  talloc_free (joined);
  return ok;
}

bool
sse_event_data (const char *event, size_t len, const char **value, size_t *value_len)
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

          *value = event + skip;
          *value_len = n - skip;
          found++;
        }
      event = line_end + 1;
    }
  return found == 1;
}
