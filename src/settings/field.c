#include "settings/schema.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#define NAME_MAX_BYTES      63
#define KEY_HASH_PREFIX     "sha256:"
#define KEY_HASH_HEX_DIGITS 64
#define ADDRESS_MAX_BYTES   64

static bool
name_is_valid (const char *s)
{
  size_t n = strlen (s);

  if (n == 0 || n > NAME_MAX_BYTES)
    return false;
  return strspn (s, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-") == n;
}

static bool
port_is_valid (const char *s)
{
  size_t n = strlen (s);

  if (n == 0 || n > 5 || strspn (s, "0123456789") != n)
    return false;
  return atoi (s) >= 1 && atoi (s) <= 65535;
}

static bool
address_is_valid (const char *s)
{
  char ip[ADDRESS_MAX_BYTES];
  const char *colon = strrchr (s, ':');
  unsigned char bytes[16];
  size_t n;

  if (!colon || !port_is_valid (colon + 1))
    return false;
  n = (size_t)(colon - s);
  if (n == 0 || n >= sizeof ip)
    return false;
  memcpy (ip, s, n);
  ip[n] = '\0';
  if (ip[0] != '[')
    return inet_pton (AF_INET, ip, bytes) == 1;
  if (ip[n - 1] != ']')
    return false;
  ip[n - 1] = '\0';
  return inet_pton (AF_INET6, ip + 1, bytes) == 1;
}

static bool
key_hash_is_valid (const char *s)
{
  size_t prefix = strlen (KEY_HASH_PREFIX);

  if (strncmp (s, KEY_HASH_PREFIX, prefix) != 0)
    return false;
  return strlen (s + prefix) == KEY_HASH_HEX_DIGITS
         && strspn (s + prefix, "0123456789abcdef") == KEY_HASH_HEX_DIGITS;
}

static bool
is_choice (const char *const *choices, const char *s)
{
  for (; *choices; choices++)
    if (!strcmp (*choices, s))
      return true;
  return false;
}

static const char *
string_error (const Field *f, const char *s)
{
  switch (f->kind)
    {
    case FIELD_NAME:
    case FIELD_NAMES:
      return name_is_valid (s) ? NULL : "not a valid name";
    case FIELD_CHOICE:
      return is_choice (f->choices, s) ? NULL : "unknown value";
    case FIELD_ADDRESS:
    case FIELD_ADDRESSES:
      return address_is_valid (s) ? NULL : "not an IP number with port";
    case FIELD_PATH:
      return s[0] == '/' ? NULL : "not a path";
    case FIELD_KEY_HASH:
    case FIELD_KEY_HASHES:
      return key_hash_is_valid (s) ? NULL : "not a hashed key";
    default:
      return f->max && strlen (s) > (size_t)f->max ? "too long" : NULL;
    }
}

static const char *
integer_error (const Field *f, int64_t value)
{
  if (value < f->min || (f->max && value > f->max))
    return "out of range";
  return NULL;
}

static const char *
number_error (const Field *f, double value)
{
  if (value < (double)f->min || (f->max && value > (double)f->max))
    return "out of range";
  return NULL;
}

const char *
field_error (const Field *f, const TomlNode *value)
{
  switch (f->kind)
    {
    case FIELD_INTEGER:
      return value->kind == TOML_INTEGER ? integer_error (f, value->integer) : "wrong type";
    case FIELD_NUMBER:
      return value->kind == TOML_INTEGER || value->kind == TOML_FLOAT
                 ? number_error (f, value->number)
                 : "wrong type";
    case FIELD_BOOLEAN:
      return value->kind == TOML_BOOLEAN ? NULL : "wrong type";
    case FIELD_TIME:
      return value->kind == TOML_TIME ? NULL : "not a time with an offset";
    default:
      return value->kind == TOML_STRING ? string_error (f, value->string) : "wrong type";
    }
}

static char *
choices_text (const void *ctx, const char *const *choices)
{
  char *out = talloc_strdup (ctx, "");

  for (size_t i = 0; choices[i]; i++)
    out = talloc_asprintf_append (out, "%s\"%s\"", i ? ", " : "", choices[i]);
  return out;
}

static char *
integer_allowed_text (const void *ctx, const Field *f)
{
  if (f->max)
    return talloc_asprintf (ctx, "integer from %" PRId64 " to %" PRId64, f->min, f->max);
  return talloc_asprintf (ctx, "integer of at least %" PRId64, f->min);
}

char *
field_allowed_text (const void *ctx, const Field *f)
{
  static const char *const ALLOWED_TEXTS[] = {
    [FIELD_NAME] = "string of 1 to 63 letters (a-z, A-Z), digits, \".\", \"_\" and \"-\"",
    [FIELD_BOOLEAN] = "true or false",
    [FIELD_ADDRESS] = "string \"IP:port\" with port 1 to 65535",
    [FIELD_PATH] = "string that starts with \"/\"",
    [FIELD_TIME] = "RFC 3339 time with offset, such as 2026-12-06T22:00:00Z",
    [FIELD_KEY_HASH] = "string \"sha256:\" with 64 lower-case hex digits",
    [FIELD_NAMES] = "array of names",
    [FIELD_ADDRESSES] = "array of strings \"IP:port\"",
    [FIELD_KEY_HASHES] = "array of strings \"sha256:\" with 64 lower-case hex digits",
    [FIELD_TABLE] = "table",
    [FIELD_TABLES] = "array of tables",
  };

  if (f->kind == FIELD_CHOICE)
    return choices_text (ctx, f->choices);
  if (f->kind == FIELD_INTEGER)
    return integer_allowed_text (ctx, f);
  if (f->kind == FIELD_NUMBER)
    return talloc_asprintf (ctx, "number from %" PRId64 " to %" PRId64, f->min, f->max);
  if (f->kind == FIELD_TEXT)
    return f->max ? talloc_asprintf (ctx, "string of at most %" PRId64 " bytes", f->max)
                  : talloc_strdup (ctx, "string");
  return talloc_strdup (ctx, ALLOWED_TEXTS[f->kind]);
}
