#include "streams/version_set.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

/* Other names, from rows of other writers, may not survive the encoding. */
static bool
is_valid_name (const char *name)
{
  size_t len = strlen (name);

  for (size_t i = 0; i < len; i++)
    if (name[i] < ' ' || name[i] > '~')
      return false;
  return len < VERSION_NAME_BYTES;
}

static bool
decode_version (const json_t *json, ListedVersion *v)
{
  const json_t *name = json_object_get (json, "name");
  const json_t *gone = json_object_get (json, "gone_ms");

  if (!json_is_string (name) || !is_valid_name (json_string_value (name))
      || !json_is_integer (gone))
    return false;
  memcpy (v->name, json_string_value (name), strlen (json_string_value (name)) + 1);
  v->gone_ms = json_integer_value (gone);
  return v->gone_ms >= 0;
}

static bool
decode (VersionSet *set, const json_t *json)
{
  const json_t *versions = json_object_get (json, "versions");
  const json_t *era = json_object_get (json, "era");
  const json_t *unsure = json_object_get (json, "unsure_until_ms");
  size_t i;
  const json_t *version;

  if (!json_is_array (versions) || json_array_size (versions) > VERSION_SET_MAX
      || !json_is_integer (era) || !json_is_integer (unsure))
    return false;
  set->era = json_integer_value (era);
  set->unsure_until_ms = json_integer_value (unsure);
  json_array_foreach (versions, i, version)
  {
    if (!decode_version (version, &set->versions[set->n++]))
      return false;
  }
  return true;
}

bool
version_set_decode (VersionSet *set, const char *value, size_t len)
{
  json_t *json = json_loadb (value ? value : "", len, 0, NULL);
  bool ok;

  *set = (VersionSet){ 0 };
  ok = decode (set, json);
  json_decref (json);
  if (!ok)
    *set = (VersionSet){ 0 };
  return ok;
}

char *
version_set_encode (const void *ctx, const VersionSet *set)
{
  json_t *versions = json_array ();
  json_t *json = json_pack ("{s:o,s:I,s:I}", "versions", versions, "era", (json_int_t)set->era,
                            "unsure_until_ms", (json_int_t)set->unsure_until_ms);
  char *text;
  char *copy;

  for (size_t i = 0; i < set->n; i++)
    json_array_append_new (versions, json_pack ("{s:s,s:I}", "name", set->versions[i].name,
                                                "gone_ms", (json_int_t)set->versions[i].gone_ms));
  text = json_dumps (json, JSON_COMPACT);
  copy = talloc_strdup (ctx, text);
  free (text);
  json_decref (json);
  return copy;
}

ListedVersion *
version_set_find (VersionSet *set, const char *name)
{
  for (size_t i = 0; i < set->n; i++)
    if (!strcmp (set->versions[i].name, name))
      return &set->versions[i];
  return NULL;
}

bool
version_set_allows (const VersionSet *set, const char *name)
{
  for (size_t i = 0; i < set->n; i++)
    if (!set->versions[i].gone_ms && !strcmp (set->versions[i].name, name))
      return true;
  return false;
}

bool
version_set_allow (VersionSet *set, const char *name)
{
  ListedVersion *v = version_set_find (set, name);

  if (v)
    {
      v->gone_ms = 0;
      return true;
    }
  if (set->n == VERSION_SET_MAX || !is_valid_name (name))
    return false;
  v = &set->versions[set->n++];
  *v = (ListedVersion){ 0 };
  memcpy (v->name, name, strlen (name) + 1);
  return true;
}

const char *
version_set_only (const VersionSet *set, int64_t store_now_ms)
{
  return set->n == 1 && store_now_ms >= set->unsure_until_ms ? set->versions[0].name : NULL;
}

bool
version_set_drop_expired (VersionSet *set, int64_t store_now_ms)
{
  size_t n = 0;

  for (size_t i = 0; i < set->n; i++)
    if (!set->versions[i].gone_ms || store_now_ms - set->versions[i].gone_ms < VERSION_HOLD_MS)
      set->versions[n++] = set->versions[i];
  if (n == set->n)
    return false;
  set->n = n;
  return true;
}

bool
version_set_add_missing (VersionSet *set, const VersionSet *other)
{
  size_t before = set->n;

  for (size_t i = 0; i < other->n && set->n < VERSION_SET_MAX; i++)
    if (!version_set_find (set, other->versions[i].name))
      set->versions[set->n++] = other->versions[i];
  return set->n != before;
}

bool
version_set_same (const VersionSet *a, const VersionSet *b)
{
  if (a->n != b->n || a->unsure_until_ms != b->unsure_until_ms)
    return false;
  for (size_t i = 0; i < a->n; i++)
    if (a->versions[i].gone_ms != b->versions[i].gone_ms
        || strcmp (a->versions[i].name, b->versions[i].name) != 0)
      return false;
  return true;
}
