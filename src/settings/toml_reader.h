/** @file
 * C interface to a TOML parser. Uses the C++ library toml++, because Debian has no TOML parser for
 * C. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum
{
  TOML_STRING,
  TOML_INTEGER,
  TOML_BOOLEAN,
  TOML_FLOAT,
  TOML_TIME,  /* date-time with an offset */
  TOML_OTHER, /* date-time without offset, date, time of day, string with a zero byte */
  TOML_ARRAY,
  TOML_TABLE
} TomlKind;

typedef struct TomlNode TomlNode;

/** A value. children holds the members of a table or the elements of an array, in the order of the file. */
struct TomlNode
{
  const char *key; /* NULL in an array */
  TomlKind kind;
  int line; /* line of the key, or of the value in an array; the first is 1 */
  int column;
  const char *string;
  int64_t integer; /* value of an integer; a time in milliseconds since the epoch */
  double number;   /* value of a float or an integer */
  bool boolean;
  TomlNode *children;
  size_t n_children;
};

typedef struct
{
  int line;
  int column;
  char message[160];
} TomlError;

/** Parses a document. @return the root table, a talloc object under @p ctx, or NULL with @p error
 * filled in. */
TomlNode *toml_parse (const void *ctx, const char *text, size_t len, TomlError *error);

/** @return the member of a table, or NULL. */
const TomlNode *toml_get (const TomlNode *table, const char *key);

/** @return the value of the member @p key, or @p fallback if the member is absent or of another type. A
 * wrong type is not reported, so validate the document with schema_check() first. */
const char *toml_string (const TomlNode *table, const char *key, const char *fallback);
int64_t toml_integer (const TomlNode *table, const char *key, int64_t fallback);
double toml_number (const TomlNode *table, const char *key, double fallback);
bool toml_boolean (const TomlNode *table, const char *key, bool fallback);

#ifdef __cplusplus
}
#endif
