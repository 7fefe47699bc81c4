#include "quarantine/evidence.h"

#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core/list.h"

/* Servers that end within this time of each other may have one cause outside them, and count as one end. */
#define SAME_CAUSE_MS 500

/* Ends of a server whose starts are not known are different ones if they are so far apart. */
#define RESTART_MS 1000

/* If several keys may be to blame, sound answers to the innocent ones are waited for. */
#define SETTLE_MS 1000

/* Time in which a sound answer can clear a key before other hosts are told of its last end but one. */
#define REPORT_DELAY_MS 500

/* A record counts for the first of these times after the cut if its server's end is not proved, else for the second. */
#define UNPROVED_LIFETIME_MS 15000
#define PROVED_LIFETIME_MS   (60 * 60 * 1000)

#define MAX_ENDED 256

typedef struct
{
  uint64_t instance;
  int64_t proved_ms;
} EndedServer;

typedef struct
{
  uint64_t instance;
  uint64_t request;
  int64_t cut_ms;
  bool ended; /* the server is proved to have ended */
  bool untold;
} CutRecord;

typedef struct
{
  ListNode node; /* in the order of the last record */
  QuarantineKey key;
  size_t depth; /* place among the keys of the request: the higher, the more specific */
  CutRecord records[EVIDENCE_MAX_RECORDS]; /* in order of time */
  size_t n_records;
  int64_t blamed_ms; /* since when it may be to blame; 0: it is not */
  bool reported;     /* by evidence_next_suspect() */
} Suspect;

struct Evidence
{
  GHashTable *suspects; /* by key */
  List by_age;
  size_t max_keys;
  EndedServer ended[MAX_ENDED]; /* a ring */
  size_t n_ended;
};

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

/* @return the ends that count: those within SAME_CAUSE_MS of each other count once, unless it was the same request,
 * which was sent again after the first one. */
static int
count_ends (const Suspect *s)
{
  const CutRecord *counted = NULL;
  int n = 0;

  for (size_t i = 0; i < s->n_records; i++)
    {
      const CutRecord *r = &s->records[i];

      if (!r->ended
          || (counted && r->cut_ms < counted->cut_ms + SAME_CAUSE_MS
              && r->request != counted->request))
        continue;
      n++;
      counted = r;
    }
  return n;
}

static void
free_suspect (Evidence *e, Suspect *s)
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
      int ends = count_ends (s);

      if (!least || ends < least_ends)
        {
          least = s;
          least_ends = ends;
        }
      if (least_ends == 0)
        break;
    }
  if (least)
    free_suspect (e, least);
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

static void
remove_record (Suspect *s, size_t i)
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
    remove_record (s, 1);
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
          remove_record (s, 0);
        }
      s->blamed_ms = 0;
      s->reported = false;
      if (s->n_records == 0)
        free_suspect (e, s);
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
        remove_record (s, i);
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
        free_suspect (e, s);
    }
}

/* --- Verdict ----------------------------------------------------------------------------- */

/* Keys that were cut off in the same requests each time cannot be told apart. */
static bool
is_same_group (const Suspect *a, const Suspect *b)
{
  if (a->n_records != b->n_records)
    return false;
  for (size_t i = 0; i < a->n_records; i++)
    if (a->records[i].request != b->records[i].request
        || a->records[i].instance != b->records[i].instance)
      return false;
  return true;
}

/* More ends first; then the more specific key: stopping it stops fewer sound requests. */
static bool
is_more_suspect (const Suspect *a, const Suspect *b)
{
  int ends_a = count_ends (a);
  int ends_b = count_ends (b);

  return ends_a != ends_b ? ends_a > ends_b : a->depth > b->depth;
}

typedef struct
{
  Suspect *groups[EVIDENCE_MAX_BLAMED + 1]; /* one key of each */
  size_t n_groups;
  Suspect *worst;
} Blamed;

static void
add_to_group (Blamed *b, Suspect *s)
{
  for (size_t i = 0; i < b->n_groups; i++)
    if (is_same_group (b->groups[i], s))
      return;
  if (b->n_groups <= EVIDENCE_MAX_BLAMED)
    b->groups[b->n_groups++] = s;
}

static Blamed
find_blamed (Evidence *e, int64_t now_ms)
{
  Blamed b = { 0 };

  for (ListNode *n = list_first (&e->by_age); n; n = list_next (&e->by_age, n))
    {
      Suspect *s = LIST_ENTRY (n, Suspect, node);

      if (s->n_records < EVIDENCE_ENDS || count_ends (s) < EVIDENCE_ENDS)
        continue;
      if (!s->blamed_ms)
        s->blamed_ms = now_ms;
      add_to_group (&b, s);
      if (!b.worst || is_more_suspect (s, b.worst))
        b.worst = s;
    }
  return b;
}

static EvidenceVerdict
verdict_on (const Suspect *s)
{
  EvidenceVerdict v = { .key = s->key, .ends = count_ends (s), .first_ms = s->records[0].cut_ms };

  for (size_t i = 0; i < s->n_records; i++)
    if (s->records[i].ended)
      v.instances[v.n_instances++] = s->records[i].instance;
  return v;
}

static bool
has_instance (const EvidenceVerdict *v, uint64_t instance)
{
  for (size_t i = 0; i < v->n_instances; i++)
    if (v->instances[i] == instance)
      return true;
  return false;
}

/* The ends have their cause now: they say nothing against other keys any more. */
static void
remove_explained (Evidence *e, const EvidenceVerdict *v)
{
  ListNode *n = list_first (&e->by_age);

  while (n)
    {
      Suspect *s = LIST_ENTRY (n, Suspect, node);

      n = list_next (&e->by_age, n);
      for (size_t i = s->n_records; i-- > 0;)
        if (has_instance (v, s->records[i].instance))
          remove_record (s, i);
      s->blamed_ms = 0;
      if (s->n_records == 0)
        free_suspect (e, s);
    }
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

bool
evidence_next_suspect (Evidence *e, int64_t now_ms, EvidenceVerdict *suspect)
{
  for (ListNode *n = list_first (&e->by_age); n; n = list_next (&e->by_age, n))
    {
      Suspect *s = LIST_ENTRY (n, Suspect, node);

      if (s->reported || s->n_records < EVIDENCE_ENDS - 1 || count_ends (s) != EVIDENCE_ENDS - 1
          || now_ms < s->records[s->n_records - 1].cut_ms + REPORT_DELAY_MS)
        continue;
      s->reported = true;
      *suspect = verdict_on (s);
      return true;
    }
  return false;
}

bool
evidence_judge (Evidence *e, int64_t now_ms, EvidenceVerdict *verdict, size_t *n_blamed)
{
  Blamed b = find_blamed (e, now_ms);

  *n_blamed = b.n_groups;
  if (b.n_groups == 0 || b.n_groups > EVIDENCE_MAX_BLAMED)
    return false;
  if (b.n_groups > 1 && now_ms < b.worst->blamed_ms + SETTLE_MS)
    return false;
  *verdict = verdict_on (b.worst);
  free_suspect (e, b.worst);
  remove_explained (e, verdict);
  return true;
}
