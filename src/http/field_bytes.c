#include "http/field_bytes.h"

#include <string.h>

/* Signs of a token that are no letters or digits. */
static const char TOKEN_SIGNS[] = "!#$%&'*+-.^_`|~";

bool
field_is_token_byte (unsigned char c)
{
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c != '\0' && strchr (TOKEN_SIGNS, c));
}

bool
field_is_text_byte (unsigned char c)
{
  return c == '\t' || (c >= ' ' && c != 0x7f);
}
