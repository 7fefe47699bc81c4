#include "quarantine/evidence_impl.h"

#include <string.h>

#include <talloc.h>

/* Ends of a server whose starts are not known are different ones if they are so far apart. */
#define RESTART_MS 1000

/* A record counts for the first of these times after the cut if its server's end is not proved, else for the second. */
#define UNPROVED_LIFETIME_MS 15000
#define PROVED_LIFETIME_MS   (60 * 60 * 1000)

static guint
key_hash (gconstpointer data)
{
  const QuarantineKey *key = data;

  return (guint)(key->id ^ key->id >> 32) + (guint)key->kind;
}

static gboolean
key_equal (gconstpointer a, gconstpointer b)
{
  return quarantine_key_equal (*(const QuarantineKey *)a, *(const QuarantineKey *)b);
}

static int
evidence_destroy (Evidence *e)
{
  g_hash_table_unref (e->suspects);
  return 0;
}

Evidence *
evidence_new (const void *ctx, size_t max_keys)
{
  Evidence *e = talloc_zero (ctx, Evidence);

  e->suspects = g_hash_table_new (key_hash, key_equal);
  e->max_keys = max_keys;
  list_init (&e->by_age);
  talloc_set_destructor (e, evidence_destroy);
  return e;
}

size_t
evidence_n_keys (const Evidence *e)
{
  return g_hash_table_size (e->suspects);
}

static EndedServer *
find_ended (Evidence *e, uint64_t instance)
{
  size_t n = e->n_ended < MAX_ENDED ? e->n_ended : MAX_ENDED;

  for (size_t i = 0; i < n; i++)
    if (e->ended[i].instance == instance)
      return &e->ended[i];
  return NULL;
}

bool
evidence_has_ended (Evidence *e, uint64_t instance)
{
  return find_ended (e, instance) != NULL;
}

/* --- Records ----------------------------------------------------------------------------- */

void
evidence_free_suspect (Evidence *e, Suspect *s)
{
  g_hash_table_remove (e->suspects, &s->key);
  list_remove (&s->node);
  talloc_free (s);
}

/* The key with the fewest ends, so that keys which are made up cannot displace one that is nearly proved. */
static void
evict_suspect (Evidence *e)
{
  Suspect *least = NULL;
  int least_ends = 0;

  for (ListNode *n = list_first (&e->by_age); n; n = list_next (&e->by_age, n))
    {
      Suspect *s = LIST_ENTRY (n, Suspect, node);
      int ends = evidence_count_ends (s);

      if (!least || ends < least_ends)
        {
          least = s;
          least_ends = ends;
        }
      if (least_ends == 0)
        break;
    }
  if (least)
    evidence_free_suspect (e, least);
}

static Suspect *
get_suspect (Evidence *e, QuarantineKey key)
{
  Suspect *s = g_hash_table_lookup (e->suspects, &key);

  if (s)
    {
      list_remove (&s->node);
      list_append (&e->by_age, &s->node);
      return s;
    }
  if (evidence_n_keys (e) >= e->max_keys)
    evict_suspect (e);
  s = talloc_zero (e, Suspect);
  s->key = key;
  g_hash_table_insert (e->suspects, &s->key, s);
  list_append (&e->by_age, &s->node);
  return s;
}

void
evidence_remove_record (Suspect *s, size_t i)
{
  s->n_records--;
  memmove (&s->records[i], &s->records[i + 1], (s->n_records - i) * sizeof s->records[0]);
}

/* The oldest record gives way, but for the first one: it says which sound answers are later. */
static void
insert_record (Suspect *s, const CutRecord *record)
{
  size_t at;

  if (s->n_records == EVIDENCE_MAX_RECORDS)
    evidence_remove_record (s, 1);
  at = s->n_records;
  while (at > 0 && s->records[at - 1].cut_ms > record->cut_ms)
    at--;
  memmove (&s->records[at + 1], &s->records[at], (s->n_records - at) * sizeof s->records[0]);
  s->records[at] = *record;
  s->n_records++;
}

static void
add_record (Evidence *e, QuarantineKey key, size_t depth, const CutRecord *record,
            int64_t same_start_ms)
{
  Suspect *s = get_suspect (e, key);

  if (depth > s->depth)
    s->depth = depth;
  for (size_t i = 0; i < s->n_records; i++)
    if (s->records[i].instance == record->instance
        && record->cut_ms - s->records[i].cut_ms < same_start_ms)
      return;
  insert_record (s, record);
}

void
evidence_add_cut (Evidence *e, const EvidenceCut *cut)
{
  CutRecord record = { .instance = cut->instance,
                       .request = cut->request,
                       .cut_ms = cut->cut_ms,
                       .ended = evidence_has_ended (e, cut->instance),
                       .untold = cut->untold };

  for (size_t i = 0; i < cut->n_keys; i++)
    add_record (e, cut->keys[i], i, &record, cut->has_unknown_start ? RESTART_MS : INT64_MAX);
}

void
evidence_add_told (Evidence *e, QuarantineKey key, const uint64_t *instances, size_t n,
                   int64_t now_ms)
{
  for (size_t i = 0; i < n; i++)
    {
      /* Ends at different times count each; when exactly they were is not told. */
      CutRecord record = { .instance = instances[i],
                           .cut_ms = now_ms - (int64_t)(n - i) * SAME_CAUSE_MS,
                           .ended = true };

      add_record (e, key, 0, &record, INT64_MAX);
    }
}

size_t
evidence_add_end (Evidence *e, uint64_t instance, int64_t now_ms)
{
  size_t n_keys = 0;

  if (!find_ended (e, instance))
    e->ended[e->n_ended++ % MAX_ENDED] = (EndedServer){ instance, now_ms };
  for (ListNode *n = list_first (&e->by_age); n; n = list_next (&e->by_age, n))
    {
      Suspect *s = LIST_ENTRY (n, Suspect, node);

      for (size_t i = 0; i < s->n_records; i++)
        if (s->records[i].instance == instance && !s->records[i].ended)
          {
            s->records[i].ended = true;
            n_keys++;
          }
    }
  return n_keys;
}

void
evidence_add_alive (Evidence *e, uint64_t instance, bool has_unknown_start, int64_t sent_ms)
{
  EndedServer *ended = find_ended (e, instance);

  if (!ended || sent_ms <= ended->proved_ms)
    return;
  *ended = (EndedServer){ 0 };
  if (has_unknown_start)
    return;
  for (ListNode *n = list_first (&e->by_age); n; n = list_next (&e->by_age, n))
    {
      Suspect *s = LIST_ENTRY (n, Suspect, node);

      for (size_t i = 0; i < s->n_records; i++)
        if (s->records[i].instance == instance)
          s->records[i].ended = false;
    }
}

bool
evidence_next_untold (Evidence *e, uint64_t instance, QuarantineKey *key, EvidenceCut *cut)
{
  for (ListNode *n = list_first (&e->by_age); n; n = list_next (&e->by_age, n))
    {
      Suspect *s = LIST_ENTRY (n, Suspect, node);

      for (size_t i = 0; i < s->n_records; i++)
        {
          CutRecord *r = &s->records[i];

          if (r->instance != instance || !r->ended || !r->untold)
            continue;
          r->untold = false;
          *key = s->key;
          *cut = (EvidenceCut){ .keys = key,
                                .n_keys = 1,
                                .instance = r->instance,
                                .request = r->request,
                                .cut_ms = r->cut_ms };
          return true;
        }
    }
  return false;
}

bool
evidence_add_sound (Evidence *e, const QuarantineKey *keys, size_t n_keys, int64_t sent_ms)
{
  bool removed = false;

  for (size_t i = 0; i < n_keys; i++)
    {
      Suspect *s = g_hash_table_lookup (e->suspects, &keys[i]);

      if (!s || s->records[0].cut_ms > sent_ms)
        continue;
      while (s->n_records > 0 && s->records[0].cut_ms <= sent_ms)
        {
          removed |= !s->records[0].untold;
          evidence_remove_record (s, 0);
        }
      s->blamed_ms = 0;
      s->reported = false;
      if (s->n_records == 0)
        evidence_free_suspect (e, s);
    }
  return removed;
}

static void
expire_records (Suspect *s, int64_t now_ms)
{
  for (size_t i = s->n_records; i-- > 0;)
    {
      const CutRecord *r = &s->records[i];

      if (now_ms - r->cut_ms > (r->ended ? PROVED_LIFETIME_MS : UNPROVED_LIFETIME_MS))
        evidence_remove_record (s, i);
    }
}

void
evidence_expire (Evidence *e, int64_t now_ms)
{
  ListNode *n = list_first (&e->by_age);

  while (n)
    {
      Suspect *s = LIST_ENTRY (n, Suspect, node);

      n = list_next (&e->by_age, n);
      expire_records (s, now_ms);
      if (s->n_records == 0)
        evidence_free_suspect (e, s);
    }
}
