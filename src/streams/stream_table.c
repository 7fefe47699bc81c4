#include "streams/stream_table.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>
#include <xxhash.h>

#include "streams/stream_row_impl.h"

typedef struct
{
  StreamKey key; /* 0: withdrawn */
  int64_t until_ms;
  uint32_t server; /* hash of its id */
  uint8_t version;
  bool written;
} StreamEntry;

struct StreamTable
{
  StreamEntry *entries; /* a ring, in the order in which they were added */
  size_t first;
  size_t n;
  GHashTable *by_key; /* the entry */
  char names[MAX_VERSIONS][VERSION_NAME_BYTES];
  size_t uses[MAX_VERSIONS]; /* entries with the name; 0: the place is free */
  bool changed;
  int64_t dropped;
};

StreamKey
stream_key (const char *account, const char *service, const char *id)
{
  XXH64_hash_t h = XXH64 (account ? account : "", account ? strlen (account) : 0, account != NULL);

  h = XXH64 (service, strlen (service), h);
  h = XXH64 (id ? id : "", id ? strlen (id) : 0, h);
  h >>= 64 - 8 * KEY_BYTES;
  return h ? h : 1;
}

static int
table_destroy (StreamTable *t)
{
  g_hash_table_unref (t->by_key);
  return 0;
}

StreamTable *
stream_table_new (const void *ctx)
{
  StreamTable *t = talloc_zero (ctx, StreamTable);

  t->entries = talloc_zero_array (t, StreamEntry, STREAM_TABLE_MAX);
  t->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (t, table_destroy);
  return t;
}

/* --- Entries ----------------------------------------------------------------------------- */

static void
release_version (StreamTable *t, StreamEntry *e)
{
  if (e->version != UNCERTAIN)
    t->uses[e->version]--;
  e->version = UNCERTAIN;
}

static void
forget (StreamTable *t, StreamEntry *e)
{
  if (!e->key)
    return;
  release_version (t, e);
  g_hash_table_remove (t->by_key, &e->key);
  e->key = 0;
}

static void
forget_first (StreamTable *t)
{
  forget (t, &t->entries[t->first]);
  t->first = (t->first + 1) % STREAM_TABLE_MAX;
  t->n--;
}

/* @return MAX_VERSIONS if there is no place left. */
static size_t
take_version (StreamTable *t, const char *name)
{
  size_t place = MAX_VERSIONS;

  for (size_t i = 0; i < MAX_VERSIONS; i++)
    if (t->uses[i] > 0 && !strcmp (t->names[i], name))
      place = i;
  for (size_t i = 0; i < MAX_VERSIONS && place == MAX_VERSIONS; i++)
    if (t->uses[i] == 0)
      place = i;
  if (place == MAX_VERSIONS || strlen (name) >= VERSION_NAME_BYTES)
    return MAX_VERSIONS;
  memcpy (t->names[place], name, strlen (name) + 1);
  t->uses[place]++;
  return place;
}

static void
doubt (StreamTable *t, StreamEntry *e)
{
  release_version (t, e);
  t->changed = true;
}

void
stream_table_doubt (StreamTable *t, StreamKey key)
{
  StreamEntry *e = g_hash_table_lookup (t->by_key, &key);

  if (e)
    doubt (t, e);
}

static void
add_again (StreamTable *t, StreamEntry *e, const StreamBegin *b)
{
  if (b->until_ms > e->until_ms)
    e->until_ms = b->until_ms;
  e->server = g_str_hash (b->server);
  if (e->version != UNCERTAIN && strcmp (t->names[e->version], b->version) != 0)
    doubt (t, e);
}

bool
stream_table_add (StreamTable *t, const StreamBegin *b, int64_t now_ms)
{
  StreamEntry *e = g_hash_table_lookup (t->by_key, &b->key);
  size_t place;

  if (e)
    {
      add_again (t, e, b);
      return true;
    }
  place = take_version (t, b->version);
  if (place == MAX_VERSIONS)
    return false;
  if (t->n == STREAM_TABLE_MAX)
    {
      t->dropped += t->entries[t->first].key && t->entries[t->first].until_ms > now_ms;
      forget_first (t);
    }
  e = &t->entries[(t->first + t->n++) % STREAM_TABLE_MAX];
  *e = (StreamEntry){ .key = b->key,
                      .until_ms = b->until_ms,
                      .server = g_str_hash (b->server),
                      .version = (uint8_t)place };
  g_hash_table_insert (t->by_key, &e->key, e);
  t->changed = true;
  return true;
}

size_t
stream_table_doubt_server (StreamTable *t, const char *id)
{
  uint32_t server = g_str_hash (id);
  size_t n = 0;

  for (size_t i = 0; i < t->n; i++)
    {
      StreamEntry *e = &t->entries[(t->first + i) % STREAM_TABLE_MAX];

      if (!e->key || e->server != server || e->version == UNCERTAIN)
        continue;
      doubt (t, e);
      n++;
    }
  return n;
}

bool
stream_table_withdraw (StreamTable *t, StreamKey key)
{
  StreamEntry *e = g_hash_table_lookup (t->by_key, &key);

  if (e && e->written)
    return false;
  if (e)
    forget (t, e);
  return true;
}

bool
stream_table_find (const StreamTable *t, StreamKey key, const char **version)
{
  const StreamEntry *e = g_hash_table_lookup (t->by_key, &key);

  if (!e)
    return false;
  *version = e->version == UNCERTAIN ? NULL : t->names[e->version];
  return true;
}

void
stream_table_expire (StreamTable *t, int64_t now_ms)
{
  for (size_t i = 0; i < t->n; i++)
    {
      StreamEntry *e = &t->entries[(t->first + i) % STREAM_TABLE_MAX];

      if (e->key && e->until_ms <= now_ms)
        forget (t, e);
    }
  while (t->n > 0 && !t->entries[t->first].key)
    forget_first (t);
}

size_t
stream_table_count (const StreamTable *t)
{
  return g_hash_table_size (t->by_key);
}

bool
stream_table_changed (const StreamTable *t)
{
  return t->changed;
}

void
stream_table_set_changed (StreamTable *t)
{
  t->changed = true;
}

int64_t
stream_table_dropped (const StreamTable *t)
{
  return t->dropped;
}

/* --- Rows -------------------------------------------------------------------------------- */

static void
append_number (GByteArray *out, uint64_t number, size_t bytes)
{
  for (size_t i = 0; i < bytes; i++)
    {
      guint8 byte = (guint8)(number >> 8 * i);

      g_byte_array_append (out, &byte, 1);
    }
}

static void
append_names (const StreamTable *t, GByteArray *out)
{
  append_number (out, MAX_VERSIONS, 1);
  for (size_t i = 0; i < MAX_VERSIONS; i++)
    {
      size_t len = t->uses[i] > 0 ? strlen (t->names[i]) : 0;

      append_number (out, len, 1);
      g_byte_array_append (out, (const guint8 *)t->names[i], (guint)len);
    }
}

char *
stream_table_encode (StreamTable *t, const void *ctx, int64_t store_ahead_ms, size_t *len)
{
  GByteArray *entries = g_byte_array_new ();
  GByteArray *out = g_byte_array_new ();
  int64_t until_ms = 1;
  char *copy;

  for (size_t i = 0; i < t->n; i++)
    {
      StreamEntry *e = &t->entries[(t->first + i) % STREAM_TABLE_MAX];

      if (!e->key)
        continue;
      append_number (entries, e->key, KEY_BYTES);
      append_number (entries, e->version, 1);
      e->written = true;
      if (e->until_ms + store_ahead_ms > until_ms)
        until_ms = e->until_ms + store_ahead_ms;
    }
  g_byte_array_append (out, (const guint8 *)ROW_MARK, 2);
  append_number (out, (uint64_t)until_ms, 8);
  append_names (t, out);
  g_byte_array_append (out, entries->data, entries->len);
  t->changed = false;
  *len = out->len;
  append_number (out, 0, 1);
  copy = talloc_memdup (ctx, out->data, out->len);
  g_byte_array_free (entries, TRUE);
  g_byte_array_free (out, TRUE);
  return copy;
}
