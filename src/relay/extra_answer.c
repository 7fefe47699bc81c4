#include "relay/extra_answer.h"

#include <stdbool.h>
#include <string.h>
#include <strings.h>

#include "http/response_head.h"

/* Of a head, as the HTTP client takes them. */
#define MAX_HEAD_BYTES 32768

/* Of a head that begins at @p at. */
static ExtraAnswer
check_head (const char *at, size_t len, const char *id_header)
{
  size_t name_len = strlen (id_header);
  const char *line = at;
  const char *end = at + (len < MAX_HEAD_BYTES ? len : MAX_HEAD_BYTES);
  bool has_id = false;

  for (;;)
    {
      const char *newline = memchr (line, '\n', (size_t)(end - line));

      if (!newline)
        return line > at && len < MAX_HEAD_BYTES ? EXTRA_ANSWER_POSSIBLE : EXTRA_ANSWER_NONE;
      if (newline == line || (newline == line + 1 && *line == '\r'))
        return has_id ? EXTRA_ANSWER_FOUND : EXTRA_ANSWER_NONE;
      if ((size_t)(newline - line) > name_len && line[name_len] == ':'
          && !strncasecmp (line, id_header, name_len))
        has_id = true;
      /* A text that mentions a status line goes on with something else. */
      if (newline[-1] != '\r' || (line > at && !memchr (line, ':', (size_t)(newline - line))))
        return EXTRA_ANSWER_NONE;
      line = newline + 1;
    }
}

ExtraAnswer
extra_answer_find (const char *bytes, size_t len, const char *id_header, size_t *at)
{
  const char *next = bytes;
  const char *end = bytes + len;

  while (next < end && (next = memchr (next, 'H', (size_t)(end - next))))
    {
      size_t left = (size_t)(end - next);
      ExtraAnswer found = response_head_begins_at (next, left) ? check_head (next, left, id_header)
                                                               : EXTRA_ANSWER_NONE;

      if (found != EXTRA_ANSWER_NONE)
        {
          *at = (size_t)(next - bytes);
          return found;
        }
      next++;
    }
  return EXTRA_ANSWER_NONE;
}
