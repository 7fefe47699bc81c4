#include "http/head_scan.h"

#include "http/field_bytes.h"

/* Empty lines before the request line are left out. @return false if the line is no header line. */
static bool
end_line (HeadScan *s)
{
  bool is_empty = s->line_len == 0;

  if (!is_empty && s->in_name)
    return false;
  s->is_complete = is_empty && s->has_request_line;
  s->has_request_line |= !is_empty;
  s->in_name = s->has_request_line;
  s->line_len = 0;
  return true;
}

static bool
add_byte (HeadScan *s, unsigned char c)
{
  bool ends_name = s->in_name && c == ':' && s->line_len > 0;

  if (!field_is_text_byte (c) || (s->in_name && !ends_name && !field_is_token_byte (c)))
    return false;
  if (!s->has_request_line && s->line_len == 0 && !field_is_token_byte (c))
    return false;
  if (ends_name)
    s->in_name = false;
  s->line_len++;
  return true;
}

bool
head_scan (HeadScan *s, const char *bytes, size_t len)
{
  for (size_t i = 0; i < len && !s->is_complete; i++)
    {
      bool was_cr = s->after_cr;
      char c = bytes[i];

      s->after_cr = c == '\r';
      if (was_cr && c != '\n')
        return false;
      if (c == '\n' && !end_line (s))
        return false;
      if (c != '\n' && c != '\r' && !add_byte (s, (unsigned char)c))
        return false;
    }
  return true;
}
