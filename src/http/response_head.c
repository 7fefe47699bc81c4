#include "http/response_head.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "http/field_bytes.h"

/* "HTTP/1.1 200", followed by a blank or the end of the line. */
#define STATUS_BYTES 12

#define LENGTH_NAME "Content-Length"

/* More digits than a length that libcurl can use has. */
#define MAX_LENGTH_DIGITS 18

const char *
response_head_fault_name (ResponseHeadFault fault)
{
  static const char *const NAMES[] = { [RESPONSE_HEAD_SOUND] = "none",
                                       [RESPONSE_HEAD_BAD_STATUS_LINE] = "status_line",
                                       [RESPONSE_HEAD_BAD_LINE] = "line",
                                       [RESPONSE_HEAD_BAD_LENGTH] = "length",
                                       [RESPONSE_HEAD_TWO_RESPONSES] = "two_responses" };

  return NAMES[fault];
}

static bool
is_digit (char c)
{
  return isdigit ((unsigned char)c) != 0;
}

/* "HTTP/1.", a digit, a blank, three digits. */
static bool
begins_with_status (const char *at, size_t len)
{
  return len >= STATUS_BYTES && !memcmp (at, "HTTP/1.", 7) && is_digit (at[7]) && at[8] == ' '
         && is_digit (at[9]) && is_digit (at[10]) && is_digit (at[11]);
}

bool
response_head_begins_at (const char *at, size_t len)
{
  return len > STATUS_BYTES && begins_with_status (at, len)
         && (at[STATUS_BYTES] == ' ' || at[STATUS_BYTES] == '\r' || at[STATUS_BYTES] == '\n');
}

/* @return the length without the line's end, CR LF or LF; the bytes of an incomplete line all count. */
static size_t
text_length (const char *line, size_t len)
{
  if (len > 0 && line[len - 1] == '\n')
    len--;
  if (len > 0 && line[len - 1] == '\r')
    len--;
  return len;
}

static bool
is_text (const char *text, size_t len)
{
  for (size_t i = 0; i < len; i++)
    if (!field_is_text_byte ((unsigned char)text[i]))
      return false;
  return true;
}

/* Whether a response begins within the text. Its head was joined to what a server had sent of another one. */
static bool
holds_status_line (const char *text, size_t len)
{
  for (size_t i = 0; i + STATUS_BYTES <= len; i++)
    if (begins_with_status (text + i, len - i))
      return true;
  return false;
}

static ResponseHeadFault
check_status_line (const ResponseHead *h, const char *text, size_t len)
{
  if (!begins_with_status (text, len) || (len > STATUS_BYTES && text[STATUS_BYTES] != ' ')
      || !is_text (text, len))
    return RESPONSE_HEAD_BAD_STATUS_LINE;
  if (h->is_reused && holds_status_line (text + STATUS_BYTES, len - STATUS_BYTES))
    return RESPONSE_HEAD_TWO_RESPONSES;
  return RESPONSE_HEAD_SOUND;
}

/* @return the length of the name before the colon; 0: there is none. */
static size_t
name_length (const char *text, size_t len)
{
  size_t n = 0;

  while (n < len && field_is_token_byte ((unsigned char)text[n]))
    n++;
  return n < len && text[n] == ':' ? n : 0;
}

/* @param value with the blanks around it. */
static bool
is_number (const char *value, size_t len)
{
  size_t n = 0;

  while (len > 0 && (value[len - 1] == ' ' || value[len - 1] == '\t'))
    len--;
  while (len > 0 && (*value == ' ' || *value == '\t'))
    {
      value++;
      len--;
    }
  while (n < len && is_digit (value[n]))
    n++;
  return n > 0 && n == len && n <= MAX_LENGTH_DIGITS;
}

static ResponseHeadFault
check_length (ResponseHead *h, const char *value, size_t len)
{
  if (h->has_length || !is_number (value, len))
    return RESPONSE_HEAD_BAD_LENGTH;
  h->has_length = true;
  return RESPONSE_HEAD_SOUND;
}

static ResponseHeadFault
check_header (ResponseHead *h, const char *text, size_t len)
{
  size_t n = name_length (text, len);
  const char *value = text + n + 1;
  size_t value_len = len - n - 1;

  if (n == 0 || !is_text (value, value_len))
    return RESPONSE_HEAD_BAD_LINE;
  if (h->is_reused && holds_status_line (value, value_len))
    return RESPONSE_HEAD_TWO_RESPONSES;
  if (n == strlen (LENGTH_NAME) && !strncasecmp (text, LENGTH_NAME, n))
    return check_length (h, value, value_len);
  return RESPONSE_HEAD_SOUND;
}

static void
begin_next_head (ResponseHead *h)
{
  h->has_status_line = false;
  h->has_length = false;
}

ResponseHeadFault
response_head_add_line (ResponseHead *h, const char *line, size_t len)
{
  size_t text_len = text_length (line, len);

  if (!h->has_status_line)
    {
      h->has_status_line = true;
      return check_status_line (h, line, text_len);
    }
  if (text_len > 0)
    return check_header (h, line, text_len);
  begin_next_head (h);
  return RESPONSE_HEAD_SOUND;
}
