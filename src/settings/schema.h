/** @file
 * Declared keys of a TOML table and the check of a document against them. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "settings/problems.h"
#include "settings/toml_reader.h"

typedef enum
{
  FIELD_TEXT,       /* any string up to max bytes */
  FIELD_NAME,       /* A-Z a-z 0-9 . _ -, 1 to 63 of them: names become parts of table keys */
  FIELD_CHOICE,     /* one of choices */
  FIELD_INTEGER,    /* min to max */
  FIELD_NUMBER,     /* an integer or a float from min to max */
  FIELD_BOOLEAN,    /* true or false */
  FIELD_ADDRESS,    /* "IP:port" or "[IPv6]:port" */
  FIELD_PATH,       /* starts with "/" */
  FIELD_TIME,       /* RFC 3339 with an offset */
  FIELD_KEY_HASH,   /* "sha256:" and 64 hex digits */
  FIELD_NAMES,      /* array of FIELD_NAME */
  FIELD_ADDRESSES,  /* array of FIELD_ADDRESS */
  FIELD_KEY_HASHES, /* array of FIELD_KEY_HASH */
  FIELD_TABLE,
  FIELD_TABLES /* array of tables; duplicate names are errors */
} FieldKind;

typedef struct Schema Schema;

typedef struct
{
  const char *key;
  FieldKind kind;
  bool required;
  int64_t min; /* integers: lowest value; arrays: fewest elements */
  int64_t max; /* integers: highest value; text: most bytes; arrays: most elements; 0: no limit */
  const char *const *choices; /* ends with NULL */
  const Schema *schema;       /* of tables */
  int64_t fallback_integer;   /* value of an absent integer or boolean */
  const char *fallback;       /* value of an absent string; NULL: "" */
} Field;

/** Cross checks of one table, after its fields were checked. */
typedef void (*SchemaCheck) (const TomlNode *table, Problems *problems);

struct Schema
{
  const Field *fields;
  size_t n_fields;
  SchemaCheck check;    /* may be NULL */
  const char *only_key; /* a boolean key that, if true, leaves only this key and "name" allowed */
};

/** Checks @p table and adds every error to @p problems. @p path is the prefix of keys in messages,
 * "" for the root. */
void schema_check (const Schema *schema, const TomlNode *table, const char *path,
                   Problems *problems);

/** @return the checked table with fallbacks filled in, keys of one spelling: equal content gives equal
 * JSON. */
json_t *schema_json (const Schema *schema, const TomlNode *table);

/** @return what a field accepts, in words; a talloc string under @p ctx. */
char *field_allowed (const void *ctx, const Field *field);

/** Checks one scalar. @return NULL if it is right, else what is wrong. */
const char *field_fault (const Field *field, const TomlNode *value);
