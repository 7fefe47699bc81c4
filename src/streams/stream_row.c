#include <string.h>

#include "streams/stream_row_impl.h"

static uint64_t
read_number (const char *bytes, size_t n)
{
  uint64_t number = 0;

  for (size_t i = 0; i < n; i++)
    number |= (uint64_t)(unsigned char)bytes[i] << 8 * i;
  return number;
}

/* @return the number of bytes of the names, or 0 if they are malformed. */
static size_t
decode_names (const char *bytes, size_t len, char names[MAX_VERSIONS][VERSION_NAME_BYTES])
{
  size_t pos = 1;

  if (len < 1 || (unsigned char)bytes[0] != MAX_VERSIONS)
    return 0;
  for (size_t i = 0; i < MAX_VERSIONS; i++)
    {
      size_t n = pos < len ? (unsigned char)bytes[pos++] : VERSION_NAME_BYTES;

      if (n >= VERSION_NAME_BYTES || n > len - pos)
        return 0;
      memcpy (names[i], bytes + pos, n);
      names[i][n] = '\0';
      pos += n;
    }
  return pos;
}

int64_t
stream_row_decode (const char *value, size_t len, StreamRowFn fn, void *data)
{
  char names[MAX_VERSIONS][VERSION_NAME_BYTES];
  const size_t head = strlen (ROW_MARK) + 8;
  size_t pos;

  if (!value || len < head || memcmp (value, ROW_MARK, strlen (ROW_MARK)) != 0)
    return 0;
  pos = decode_names (value + head, len - head, names);
  if (pos == 0 || (len - head - pos) % ENTRY_BYTES != 0)
    return 0;
  for (pos += head; pos < len; pos += ENTRY_BYTES)
    {
      uint8_t version = (uint8_t)value[pos + KEY_BYTES];

      fn (data, read_number (value + pos, KEY_BYTES),
          version < MAX_VERSIONS ? names[version] : NULL);
    }
  return (int64_t)read_number (value + strlen (ROW_MARK), 8);
}
