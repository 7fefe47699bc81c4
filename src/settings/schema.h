/** @file
 * Declares the keys of TOML tables and validates documents against the declaration. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "settings/problems.h"
#include "settings/toml_reader.h"

typedef enum
{
  FIELD_TEXT,       /* any string of at most max bytes */
  FIELD_NAME,       /* 1 to 63 of A-Z a-z 0-9 . _ -; names become parts of row names in the store */
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
  int64_t min; /* minimum value of numbers, minimum number of elements of arrays */
  int64_t max; /* maximum value, number of bytes or number of elements; 0: no limit */
  const char *const *choices; /* terminated by NULL */
  const Schema *schema;       /* schema of the table, or of each table of the array */
  int64_t default_integer;    /* value of an absent integer, boolean or time */
  const char *default_string; /* value of an absent string; NULL: "" */
} Field;

/** Checks that involve several fields of a table. Called only if each field is valid by itself and the
 * exclusive key is not true. */
typedef void (*SchemaCheck) (const TomlNode *table, Problems *problems);

struct Schema
{
  const Field *fields;
  size_t n_fields;
  SchemaCheck check;         /* may be NULL */
  const char *exclusive_key; /* boolean key; if true, only this key and "name" are allowed */
};

/** Validates @p table and adds every error to @p problems. @p path is the prefix of keys in messages,
 * "" for the root table. */
void schema_check (const Schema *schema, const TomlNode *table, const char *path,
                   Problems *problems);

/** Converts a valid table to JSON, with defaults for absent fields and without the exclusive key, so that
 * tables of equal content give equal JSON. FIELD_NUMBER is not supported. @return a new reference. */
json_t *schema_json (const Schema *schema, const TomlNode *table);

/** @return a description of the values that the field accepts; a talloc string under @p ctx. */
char *field_allowed_text (const void *ctx, const Field *field);

/** Validates a scalar value. @return NULL if it is valid, else an error message. */
const char *field_error (const Field *field, const TomlNode *value);
