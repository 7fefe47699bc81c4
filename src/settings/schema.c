#include "settings/schema.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

static const Field *
find_field (const Schema *s, const char *key)
{
  for (size_t i = 0; i < s->n_fields; i++)
    if (!strcmp (s->fields[i].key, key))
      return &s->fields[i];
  return NULL;
}

static char *
join_path (const void *ctx, const char *path, const char *key)
{
  return path[0] ? talloc_asprintf (ctx, "%s.%s", path, key) : talloc_strdup (ctx, key);
}

static char *
known_keys_text (const void *ctx, const Schema *s)
{
  char *out = talloc_strdup (ctx, "");

  for (size_t i = 0; i < s->n_fields; i++)
    out = talloc_asprintf_append (out, "%s%s", i ? ", " : "", s->fields[i].key);
  return out;
}

static void
add_field_error (Problems *p, const TomlNode *at, const char *path, const Field *f,
                 const char *error)
{
  char *allowed = field_allowed_text (p, f);

  problems_add (p, at->line, path, allowed, "%s", error);
  talloc_free (allowed);
}

static void
check_count (const Field *f, const TomlNode *array, const char *path, Problems *p)
{
  int64_t n = (int64_t)array->n_children;

  if (n < f->min)
    problems_add (p, array->line, path, NULL, "too few elements, allowed: at least %" PRId64,
                  f->min);
  if (f->max && n > f->max)
    problems_add (p, array->line, path, NULL, "too many elements, allowed: at most %" PRId64,
                  f->max);
}

static void
check_strings (const Field *f, const TomlNode *value, const char *path, Problems *p)
{
  if (value->kind != TOML_ARRAY)
    {
      add_field_error (p, value, path, f, "wrong type");
      return;
    }
  check_count (f, value, path, p);
  for (size_t i = 0; i < value->n_children; i++)
    {
      const char *error = field_error (f, &value->children[i]);

      if (error)
        add_field_error (p, &value->children[i], path, f, error);
    }
}

typedef struct
{
  const char *name;
  int line;
} NamedLine;

static int
compare_named_line (const void *a, const void *b)
{
  const NamedLine *x = a;
  const NamedLine *y = b;
  int c = strcmp (x->name, y->name);

  return c ? c : x->line - y->line;
}

/* Sorts the names instead of comparing each pair, because an array may have a thousand elements. */
static void
check_duplicates (const TomlNode *array, const char *path, Problems *p)
{
  NamedLine *sorted = talloc_array (p, NamedLine, array->n_children + 1);

  for (size_t i = 0; i < array->n_children; i++)
    sorted[i]
        = (NamedLine){ toml_string (&array->children[i], "name", ""), array->children[i].line };
  qsort (sorted, array->n_children, sizeof (NamedLine), compare_named_line);
  for (size_t i = 1; i < array->n_children; i++)
    if (sorted[i].name[0] && !strcmp (sorted[i].name, sorted[i - 1].name))
      problems_add (p, sorted[i].line, path, "each name once",
                    "duplicate name \"%s\" (first in line %d)", sorted[i].name, sorted[i - 1].line);
  talloc_free (sorted);
}

static void
check_tables (const Field *f, const TomlNode *value, const char *path, Problems *p)
{
  if (value->kind != TOML_ARRAY)
    {
      add_field_error (p, value, path, f, "wrong type");
      return;
    }
  check_count (f, value, path, p);
  for (size_t i = 0; i < value->n_children; i++)
    if (value->children[i].kind == TOML_TABLE)
      schema_check (f->schema, &value->children[i], path, p);
    else
      add_field_error (p, &value->children[i], path, f, "wrong type");
  check_duplicates (value, path, p);
}

static void
check_field (const Field *f, const TomlNode *value, const char *path, Problems *p)
{
  const char *error;

  switch (f->kind)
    {
    case FIELD_NAMES:
    case FIELD_ADDRESSES:
    case FIELD_KEY_HASHES:
      check_strings (f, value, path, p);
      return;
    case FIELD_TABLES:
      check_tables (f, value, path, p);
      return;
    case FIELD_TABLE:
      if (value->kind == TOML_TABLE)
        schema_check (f->schema, value, path, p);
      else
        add_field_error (p, value, path, f, "wrong type");
      return;
    default:
      error = field_error (f, value);
      if (error)
        add_field_error (p, value, path, f, error);
    }
}

/* If the exclusive key is true, keys other than it and "name" would have no effect and are rejected. */
static bool
has_exclusive_key (const Schema *s, const TomlNode *table)
{
  return s->exclusive_key && toml_boolean (table, s->exclusive_key, false);
}

static void
check_keys (const Schema *s, const TomlNode *table, const char *path, Problems *p)
{
  for (size_t i = 0; i < table->n_children; i++)
    {
      const TomlNode *child = &table->children[i];
      const Field *f = find_field (s, child->key);
      char *full = join_path (p, path, child->key);
      char *known;

      if (f && has_exclusive_key (s, table) && strcmp (f->key, "name") != 0
          && strcmp (f->key, s->exclusive_key) != 0)
        problems_add (p, child->line, full, "name only", "not allowed beside %s", s->exclusive_key);
      else if (f)
        check_field (f, child, full, p);
      else
        {
          known = known_keys_text (p, s);
          problems_add (p, child->line, full, known, "unknown key");
          talloc_free (known);
        }
      talloc_free (full);
    }
}

static void
check_required (const Schema *s, const TomlNode *table, const char *path, Problems *p)
{
  for (size_t i = 0; i < s->n_fields; i++)
    {
      const Field *f = &s->fields[i];
      char *full;

      if (!f->required || toml_get (table, f->key))
        continue;
      if (has_exclusive_key (s, table) && strcmp (f->key, "name") != 0)
        continue;
      full = join_path (p, path, f->key);
      add_field_error (p, table, full, f, "missing");
      talloc_free (full);
    }
}

void
schema_check (const Schema *s, const TomlNode *table, const char *path, Problems *p)
{
  size_t before = p->n;

  check_keys (s, table, path, p);
  check_required (s, table, path, p);
  if (s->check && p->n == before && !has_exclusive_key (s, table))
    s->check (table, p);
}

static json_t *
array_json (const Field *f, const TomlNode *value)
{
  json_t *array = json_array ();

  for (size_t i = 0; value && i < value->n_children; i++)
    json_array_append_new (array, f->kind == FIELD_TABLES
                                      ? schema_json (f->schema, &value->children[i])
                                      : json_string (value->children[i].string));
  return array;
}

static json_t *
field_json (const Field *f, const TomlNode *table)
{
  switch (f->kind)
    {
    case FIELD_INTEGER:
    case FIELD_TIME:
      return json_integer (toml_integer (table, f->key, f->default_integer));
    case FIELD_BOOLEAN:
      return json_boolean (toml_boolean (table, f->key, f->default_integer != 0));
    case FIELD_NAMES:
    case FIELD_ADDRESSES:
    case FIELD_KEY_HASHES:
    case FIELD_TABLES:
      return array_json (f, toml_get (table, f->key));
    case FIELD_TABLE:
      return schema_json (f->schema, toml_get (table, f->key));
    default:
      return json_string (toml_string (table, f->key, f->default_string ? f->default_string : ""));
    }
}

json_t *
schema_json (const Schema *s, const TomlNode *table)
{
  json_t *object = json_object ();

  for (size_t i = 0; i < s->n_fields; i++)
    if (!s->exclusive_key || strcmp (s->fields[i].key, s->exclusive_key) != 0)
      json_object_set_new (object, s->fields[i].key, field_json (&s->fields[i], table));
  return object;
}
