#include "ticket/ticket.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "settings/toml_file.h"
#include "ticket/ticket_schema.h"

static size_t
count_objects (const TomlNode *root)
{
  size_t n = 0;

  for (size_t i = 0; i < TICKET_N_OBJECT_TYPES; i++)
    {
      const TomlNode *array = toml_get (root, TICKET_OBJECT_TYPES[i].type);

      n += array ? array->n_children : 0;
    }
  return n;
}

typedef struct
{
  const char *value;
  const char *owner; /* name of the object that sets the value */
  int line;
} UniqueEntry;

static int
compare_unique_entry (const void *a, const void *b)
{
  const UniqueEntry *x = a;
  const UniqueEntry *y = b;
  int c = strcmp (x->value, y->value);

  return c ? c : x->line - y->line;
}

static void
report_duplicates (UniqueEntry *entries, size_t n, const char *key, Problems *p)
{
  qsort (entries, n, sizeof (UniqueEntry), compare_unique_entry);
  for (size_t i = 1; i < n; i++)
    if (!strcmp (entries[i].value, entries[i - 1].value))
      problems_add (p, entries[i].line, key, "each once", "the same as of \"%s\" in line %d",
                    entries[i - 1].owner, entries[i - 1].line);
}

/* With one API key in two accounts, a request could be charged to either of them. */
static void
check_unique_keys (const TomlNode *accounts, Problems *p)
{
  UniqueEntry *entries = talloc_array (p, UniqueEntry, 1);
  size_t n = 0;

  for (size_t i = 0; accounts && i < accounts->n_children; i++)
    {
      const TomlNode *keys = toml_get (&accounts->children[i], "keys");

      for (size_t k = 0; keys && k < keys->n_children; k++)
        {
          entries = talloc_realloc (p, entries, UniqueEntry, n + 1);
          entries[n++] = (UniqueEntry){ keys->children[k].string,
                                        toml_string (&accounts->children[i], "name", ""),
                                        keys->children[k].line };
        }
    }
  report_duplicates (entries, n, "account.keys", p);
  talloc_free (entries);
}

/* With one model in two pools, the pool that serves the model would depend on the order of the
 * pools. */
static void
check_unique_models (const TomlNode *pools, Problems *p)
{
  UniqueEntry *entries = talloc_array (p, UniqueEntry, pools ? pools->n_children + 1 : 1);
  size_t n = 0;

  for (size_t i = 0; pools && i < pools->n_children; i++)
    {
      const TomlNode *t = &pools->children[i];
      const char *name = toml_string (t, "name", "");

      if (!strcmp (toml_string (t, "kind", ""), "model"))
        entries[n++] = (UniqueEntry){ toml_string (t, "model", name), name, t->line };
    }
  report_duplicates (entries, n, "pool.model", p);
  talloc_free (entries);
}

static void
check_ticket (const TomlNode *root, Problems *p)
{
  size_t n = count_objects (root);

  check_unique_keys (toml_get (root, "account"), p);
  check_unique_models (toml_get (root, "pool"), p);
  if (n == 0)
    problems_add (p, root->line, "ticket", "at least one object", "the ticket changes nothing");
  if (n > TICKET_MAX_OBJECTS)
    problems_add (p, root->line, "ticket", "at most 90 objects; use several tickets", "%zu objects",
                  n);
}

static char *
canonical_json (const void *ctx, const Schema *schema, const TomlNode *table)
{
  json_t *json = schema_json (schema, table);
  char *text = json_dumps (json, JSON_COMPACT | JSON_SORT_KEYS);
  char *out = talloc_strdup (ctx, text);

  free (text);
  json_decref (json);
  return out;
}

static void
add_object (Ticket *t, const TicketObjectType *type, const TomlNode *table)
{
  TicketObject *o = &t->objects[t->n_objects++];

  o->type = type->type;
  o->name = talloc_strdup (t, toml_string (table, "name", ""));
  o->key = talloc_asprintf (t, "object/%s/%s", o->type, o->name);
  o->line = table->line;
  if (!toml_boolean (table, "remove", false))
    o->value = canonical_json (t, type->schema, table);
}

static int
compare_object_key (const void *a, const void *b)
{
  return strcmp (((const TicketObject *)a)->key, ((const TicketObject *)b)->key);
}

static size_t
total_bytes (const Ticket *t)
{
  size_t n = 0;

  for (size_t i = 0; i < t->n_objects; i++)
    n += strlen (t->objects[i].key) + (t->objects[i].value ? strlen (t->objects[i].value) : 0);
  return n;
}

static void
hash_objects (Ticket *t)
{
  XXH3_state_t *state = XXH3_createState ();
  XXH128_hash_t h;

  XXH3_128bits_reset (state);
  for (size_t i = 0; i < t->n_objects; i++)
    {
      const char *value = t->objects[i].value ? t->objects[i].value : "";

      XXH3_128bits_update (state, t->objects[i].key, strlen (t->objects[i].key) + 1);
      XXH3_128bits_update (state, value, strlen (value) + 1);
    }
  h = XXH3_128bits_digest (state);
  XXH3_freeState (state);
  snprintf (t->hash, sizeof t->hash, "%016llx%016llx", (unsigned long long)h.high64,
            (unsigned long long)h.low64);
}

static Ticket *
build_ticket (const void *ctx, const TomlNode *root)
{
  Ticket *t = talloc_zero (ctx, Ticket);

  t->number = (uint64_t)toml_integer (root, "ticket", 0);
  t->objects = talloc_zero_array (t, TicketObject, count_objects (root));
  for (size_t i = 0; i < TICKET_N_OBJECT_TYPES; i++)
    {
      const TomlNode *array = toml_get (root, TICKET_OBJECT_TYPES[i].type);

      for (size_t k = 0; array && k < array->n_children; k++)
        add_object (t, &TICKET_OBJECT_TYPES[i], &array->children[k]);
    }
  qsort (t->objects, t->n_objects, sizeof *t->objects, compare_object_key);
  hash_objects (t);
  return t;
}

Ticket *
ticket_from_toml (const void *ctx, const TomlNode *root, Problems *problems)
{
  size_t before = problems->n;
  Ticket *t;
  size_t bytes;

  schema_check (&TICKET_SCHEMA, root, "", problems);
  if (problems->n == before)
    check_ticket (root, problems);
  if (problems->n > before)
    return NULL;
  t = build_ticket (ctx, root);
  bytes = total_bytes (t);
  if (bytes <= TICKET_MAX_BYTES)
    return t;
  problems_add (problems, root->line, "ticket", "at most 262144 bytes; use several tickets",
                "%zu bytes of object state", bytes);
  talloc_free (t);
  return NULL;
}

Ticket *
ticket_parse (const void *ctx, const char *text, size_t len, Problems *problems)
{
  TomlNode *root = toml_file_parse (NULL, text, len, problems);
  Ticket *t = root ? ticket_from_toml (ctx, root, problems) : NULL;

  talloc_free (root);
  return t;
}

Ticket *
ticket_load (const void *ctx, const char *path, Problems *problems)
{
  size_t len;
  char *text = toml_file_read (NULL, path, &len, problems);
  Ticket *t = text ? ticket_parse (ctx, text, len, problems) : NULL;

  talloc_free (text);
  return t;
}

const TicketObject *
ticket_find_object (const Ticket *t, const char *key)
{
  TicketObject key_object = { .key = key };

  return bsearch (&key_object, t->objects, t->n_objects, sizeof *t->objects, compare_object_key);
}
