#include "quarantine/evidence_impl.h"

/* If several keys may be to blame, sound answers to the innocent ones are waited for. */
#define SETTLE_MS 1000

/* As SETTLE_MS, if one request is to blame in doubt: other servers may still answer it. */
#define DOUBT_SETTLE_MS 500

/* Time in which a sound answer can clear a key before other hosts are told of its last end but one. */
#define REPORT_DELAY_MS 500

/* Ends of servers, and the different times of them, after which a part of prompts is to blame in doubt. */
#define PART_ENDS_IN_DOUBT  5
#define PART_TIMES_IN_DOUBT 2

/* @param each_send ends within SAME_CAUSE_MS of each other count each if it was the same request, which was sent again
 * after the first one; else they count once in any case. */
static int
count_ends (const Suspect *s, bool each_send)
{
  const CutRecord *counted = NULL;
  int n = 0;

  for (size_t i = 0; i < s->n_records; i++)
    {
      const CutRecord *r = &s->records[i];

      if (!r->ended
          || (counted && r->cut_ms < counted->cut_ms + SAME_CAUSE_MS
              && !(each_send && r->request == counted->request)))
        continue;
      n++;
      counted = r;
    }
  return n;
}

/* @return the ends that count. */
int
evidence_count_ends (const Suspect *s)
{
  return count_ends (s, true);
}

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
  int ends_a = evidence_count_ends (a);
  int ends_b = evidence_count_ends (b);

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

static bool
may_be_to_blame (const Suspect *s)
{
  return s->n_records >= EVIDENCE_ENDS && evidence_count_ends (s) >= EVIDENCE_ENDS;
}

/* That several servers ran the very same request when they ended together, and none has answered it since, is suspicious.
 * Parts are common to what runs at many servers, so that it says nothing about them until it happens again. */
static bool
may_be_to_blame_in_doubt (const Suspect *s)
{
  size_t n = 0;

  for (size_t i = 0; i < s->n_records; i++)
    n += s->records[i].ended;
  if (s->key.kind != QUARANTINE_REQUEST)
    return n >= PART_ENDS_IN_DOUBT && count_ends (s, false) >= PART_TIMES_IN_DOUBT;
  return n >= EVIDENCE_ENDS;
}

static Blamed
find_blamed (Evidence *e, bool (*is_blamed) (const Suspect *), int64_t now_ms)
{
  Blamed b = { 0 };

  for (ListNode *n = list_first (&e->by_age); n; n = list_next (&e->by_age, n))
    {
      Suspect *s = LIST_ENTRY (n, Suspect, node);

      if (!is_blamed (s))
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
  EvidenceVerdict v
      = { .key = s->key, .ends = evidence_count_ends (s), .first_ms = s->records[0].cut_ms };

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
          evidence_remove_record (s, i);
      s->blamed_ms = 0;
      if (s->n_records == 0)
        evidence_free_suspect (e, s);
    }
}

bool
evidence_next_suspect (Evidence *e, int64_t now_ms, EvidenceVerdict *suspect)
{
  for (ListNode *n = list_first (&e->by_age); n; n = list_next (&e->by_age, n))
    {
      Suspect *s = LIST_ENTRY (n, Suspect, node);

      if (s->reported || s->n_records < EVIDENCE_ENDS - 1
          || evidence_count_ends (s) != EVIDENCE_ENDS - 1
          || now_ms < s->records[s->n_records - 1].cut_ms + REPORT_DELAY_MS)
        continue;
      s->reported = true;
      *suspect = verdict_on (s);
      return true;
    }
  return false;
}

static int64_t
settle_ms (const Blamed *b, bool in_doubt)
{
  if (b->n_groups > 1)
    return SETTLE_MS;
  return in_doubt ? DOUBT_SETTLE_MS : 0;
}

bool
evidence_judge (Evidence *e, int64_t now_ms, EvidenceVerdict *verdict, size_t *n_blamed)
{
  Blamed b = find_blamed (e, may_be_to_blame, now_ms);
  bool in_doubt = b.n_groups == 0;

  if (in_doubt)
    b = find_blamed (e, may_be_to_blame_in_doubt, now_ms);
  *n_blamed = b.n_groups;
  if (b.n_groups == 0 || b.n_groups > EVIDENCE_MAX_BLAMED)
    return false;
  if (now_ms < b.worst->blamed_ms + settle_ms (&b, in_doubt))
    return false;
  *verdict = verdict_on (b.worst);
  /* A request may have been repeated at servers that lost power a little later. */
  verdict->in_doubt = count_ends (b.worst, false) < EVIDENCE_ENDS;
  if (in_doubt)
    verdict->ends = EVIDENCE_ENDS;
  evidence_free_suspect (e, b.worst);
  remove_explained (e, verdict);
  return true;
}
