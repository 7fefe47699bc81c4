#include "core/json_skip.h"

static void
skip_in_string (JsonSkip *s, char c)
{
  if (s->escaped)
    s->escaped = false;
  else if (c == '\\')
    s->escaped = true;
  else if (c == '"')
    s->in_string = false;
}

static bool
is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static bool
ends_scalar (char c)
{
  return c == ',' || c == ']' || c == '}' || is_space (c);
}

size_t
json_skip (JsonSkip *s, const char *text, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      char c = text[i];

      if (s->in_string)
        {
          skip_in_string (s, c);
          if (s->in_string || s->depth > 0)
            continue;
        }
      else if (s->depth == 0 && ends_scalar (c))
        {
          s->done = true;
          return i;
        }
      else if (c == '"')
        {
          s->in_string = true;
          continue;
        }
      else if (c == '{' || c == '[')
        {
          s->depth++;
          continue;
        }
      else if ((c != '}' && c != ']') || --s->depth > 0)
        continue;
      s->done = true;
      return i + 1;
    }
  return len;
}

size_t
json_skip_space (const char *text, size_t len)
{
  size_t n = 0;

  while (n < len && is_space (text[n]))
    n++;
  return n;
}
