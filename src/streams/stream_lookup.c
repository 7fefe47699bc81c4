#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "streams/streams_impl.h"

const char *
stream_outcome_name (StreamOutcome outcome)
{
  static const char *const NAMES[STREAM_N_OUTCOMES] = { "known", "unknown", "not_read" };

  return NAMES[outcome];
}

const char *
stream_source_name (StreamSource source)
{
  static const char *const NAMES[] = { "none", "host", "record", "versions" };

  return NAMES[source];
}

/* --- Questions --------------------------------------------------------------------------- */

static int
lookup_destroy (StreamLookup *l)
{
  Streams *s = l->streams;

  pthread_mutex_lock (&s->lock);
  /* A read in progress refers to those that it answers by their keys. */
  if (l->node.next && g_hash_table_contains (s->by_key, &l->query.key))
    {
      StreamLookup *first = g_hash_table_lookup (s->by_key, &l->query.key);

      if (first == l && !l->next_same_key)
        g_hash_table_remove (s->by_key, &l->query.key);
      else if (first == l)
        g_hash_table_replace (s->by_key, &l->next_same_key->query.key, l->next_same_key);
      for (StreamLookup *p = first; p; p = p->next_same_key)
        if (p->next_same_key == l)
          p->next_same_key = l->next_same_key;
    }
  list_remove (&l->node);
  if (l->result)
    l->result->lookup = NULL;
  pthread_mutex_unlock (&s->lock);
  return 0;
}

StreamLookup *
streams_look_up (Streams *s, const void *ctx, const StreamQuery *query, StreamAnswer *answer)
{
  StreamLookup *l;
  const char *version;

  *answer = (StreamAnswer){ .outcome = STREAM_NOT_KNOWN };
  pthread_mutex_lock (&s->lock);
  if (stream_table_find (s->table, query->key, &version))
    {
      if (version)
        {
          *answer = (StreamAnswer){ .outcome = STREAM_KNOWN, .source = STREAM_SOURCE_HOST };
          memcpy (answer->version, version, strlen (version) + 1);
        }
      pthread_mutex_unlock (&s->lock);
      return NULL;
    }
  l = talloc_zero (ctx, StreamLookup);
  l->streams = s;
  l->query = *query;
  l->service = talloc_strdup (l, query->service);
  list_append (&s->waiting, &l->node);
  talloc_set_destructor (l, lookup_destroy);
  pthread_mutex_unlock (&s->lock);
  if (s->options.wake)
    s->options.wake (s->options.data);
  return l;
}

/* --- Answers ----------------------------------------------------------------------------- */

static void
deliver (void *data)
{
  LookupResult *result = data;
  StreamLookup *l = result->lookup;

  if (l)
    {
      l->result = NULL;
      l->query.fn (l->query.data, &result->answer);
    }
  free (result);
}

static void
answer_lookup (StreamLookup *l, const StreamAnswer *answer)
{
  LookupResult *result = calloc (1, sizeof *result);

  list_remove (&l->node);
  *result = (LookupResult){ .lookup = l, .answer = *answer };
  l->result = result;
  executor_post (l->query.executor, deliver, result);
}

void
stream_lookups_begin_read (Streams *s)
{
  ListNode *n;

  while ((n = list_first (&s->waiting)))
    {
      StreamLookup *l = LIST_ENTRY (n, StreamLookup, node);

      list_remove (n);
      list_append (&s->reading, n);
      l->next_same_key = g_hash_table_lookup (s->by_key, &l->query.key);
      g_hash_table_replace (s->by_key, &l->query.key, l);
    }
}

void
stream_lookups_found (void *data, StreamKey key, const char *version)
{
  Streams *s = data;

  for (StreamLookup *l = g_hash_table_lookup (s->by_key, &key); l; l = l->next_same_key)
    {
      if (!version || (l->found && strcmp (l->version, version) != 0))
        l->uncertain = true;
      else
        memcpy (l->version, version, strlen (version) + 1);
      l->found = true;
    }
}

static StreamAnswer
make_answer (Streams *s, const StreamLookup *l, bool complete, int64_t now_ms)
{
  StreamAnswer answer = { .outcome = complete ? STREAM_NOT_KNOWN : STREAM_NOT_READ };
  const StreamService *service = g_hash_table_lookup (s->services, l->service);
  const char *only = NULL;

  if (!complete || l->uncertain)
    return answer;
  if (service && !service->lost)
    only = version_set_only (&service->set, now_ms + s->store_ahead_ms);
  if (l->found)
    answer.source = STREAM_SOURCE_RECORD;
  else if (only)
    answer.source = STREAM_SOURCE_VERSIONS;
  else
    return answer;
  answer.outcome = STREAM_KNOWN;
  only = l->found ? l->version : only;
  memcpy (answer.version, only, strlen (only) + 1);
  return answer;
}

void
stream_lookups_end_read (Streams *s, bool complete, int64_t now_ms)
{
  ListNode *n;

  g_hash_table_remove_all (s->by_key);
  while ((n = list_first (&s->reading)))
    {
      StreamLookup *l = LIST_ENTRY (n, StreamLookup, node);
      StreamAnswer answer = make_answer (s, l, complete, now_ms);

      answer_lookup (l, &answer);
    }
}
