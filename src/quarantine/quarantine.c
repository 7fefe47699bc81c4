#include "quarantine/quarantine.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "core/counter.h"
#include "core/log.h"
#include "core/rng.h"

#define MAX_SUSPECTS 1024

/* All hosts stop a key at about the same time; each waits up to this long for each host before it writes the row. */
#define WRITE_SPREAD_MS_PER_HOST 20

/* All exchanges of this host with a server that are cut off within this time, at least so many, prove its end. */
#define BURST_MS     100
#define BURST_CUTS   3
#define BURST_COUNTS 16

/* Enough for the young answers without length of one host at one server. */
#define MAX_UNTOLD 32

/* Between two log lines that say that the servers seem to be to blame. */
#define UNDECIDED_LOG_MS 10000

/* Size of the text of a list of servers, hashes in hexadecimal. */
#define INSTANCES_BYTES (EVIDENCE_MAX_RECORDS * 17 + 1)

typedef struct
{
  uint64_t instance;
  int64_t since_ms;
  int cuts;
} CutBurst;

struct Quarantine
{
  pthread_mutex_t lock; /* "quarantine" */
  QuarantineOptions options;
  Rng rng;
  int hosts;
  Evidence *evidence;
  StoppedKeys *stopped;
  CutBurst bursts[BURST_COUNTS]; /* of the latest servers */
  size_t next_burst;
  int64_t undecided_log_ms;
  atomic_size_t n_keys; /* of both tables: nothing to look up while it is 0 */
  Counter *ends;
  Counter *n_stopped;
};

const char *
quarantine_kind_name (QuarantineKind kind)
{
  static const char *const NAMES[QUARANTINE_N_KINDS]
      = { [QUARANTINE_PROMPT_PART] = "part", [QUARANTINE_REQUEST] = "request" };

  return NAMES[kind];
}

static int
quarantine_destroy (Quarantine *q)
{
  pthread_mutex_destroy (&q->lock);
  return 0;
}

Quarantine *
quarantine_new (const void *ctx, const QuarantineOptions *options)
{
  Quarantine *q = talloc_zero (ctx, Quarantine);

  pthread_mutex_init (&q->lock, NULL);
  q->options = *options;
  q->hosts = 1;
  q->evidence = evidence_new (q, MAX_SUSPECTS);
  q->stopped = stopped_keys_new (q);
  q->undecided_log_ms = INT64_MIN;
  q->ends = counter_get ("pond_server_ends_total", "",
                         "Servers that ended while requests were in flight there.");
  q->n_stopped = counter_get ("pond_quarantined_total", "",
                              "Prompt parts and requests that were found to end servers.");
  rng_seed (&q->rng, options->seed);
  talloc_set_destructor (q, quarantine_destroy);
  return q;
}

void
quarantine_set_hosts (Quarantine *q, int hosts)
{
  pthread_mutex_lock (&q->lock);
  q->hosts = hosts > 0 ? hosts : 1;
  pthread_mutex_unlock (&q->lock);
}

static uint64_t
instance_hash (const ServerInstance *s)
{
  uint64_t hash = XXH64 (s->id, strlen (s->id), (uint64_t)s->started_ms);

  return XXH64 (s->address, strlen (s->address), hash);
}

static void
unlock (Quarantine *q)
{
  atomic_store (&q->n_keys, evidence_n_keys (q->evidence) + stopped_keys_count (q->stopped));
  pthread_mutex_unlock (&q->lock);
}

static void
tell (Quarantine *q, const QuarantineNotice *notice)
{
  if (q->options.tell)
    q->options.tell (q->options.data, notice);
}

static int64_t
write_delay_ms (Quarantine *q)
{
  return (int64_t)rng_below (&q->rng, (uint64_t)q->hosts * WRITE_SPREAD_MS_PER_HOST);
}

/* --- Verdicts ---------------------------------------------------------------------------- */

static void
log_stopped (const EvidenceVerdict *v)
{
  char servers[INSTANCES_BYTES] = "";
  size_t len = 0;

  for (size_t i = 0; i < v->n_instances; i++)
    len += (size_t)snprintf (servers + len, sizeof servers - len, "%s%" PRIx64, i > 0 ? "," : "",
                             v->instances[i]);
  log_event (LOG_LEVEL_WARNING, "quarantine", "stopped",
             "kind=%s key=%" PRIx64 " ends=%d in_doubt=%d instances=%s source=evidence",
             quarantine_kind_name (v->key.kind), v->key.id, v->ends, v->in_doubt, servers);
}

static void
log_undecided (Quarantine *q, size_t n_blamed, int64_t now_ms)
{
  if (now_ms < q->undecided_log_ms + UNDECIDED_LOG_MS && q->undecided_log_ms != INT64_MIN)
    return;
  q->undecided_log_ms = now_ms;
  log_event (LOG_LEVEL_WARNING, "quarantine", "servers_blamed", "suspects=%zu", n_blamed);
}

static void
judge (Quarantine *q, int64_t now_ms)
{
  EvidenceVerdict verdict;
  size_t n_blamed;

  while (evidence_judge (q->evidence, now_ms, &verdict, &n_blamed))
    {
      if (!stopped_keys_add (q->stopped, &verdict, write_delay_ms (q), now_ms))
        {
          log_event (LOG_LEVEL_ERR, "quarantine", "table_full", "key=%" PRIx64, verdict.key.id);
          continue;
        }
      counter_add (q->n_stopped, 1);
      log_stopped (&verdict);
    }
  if (n_blamed > EVIDENCE_MAX_BLAMED)
    log_undecided (q, n_blamed, now_ms);
}

void
quarantine_tick (Quarantine *q, int64_t now_ms)
{
  EvidenceVerdict suspect;

  if (atomic_load (&q->n_keys) == 0)
    return;
  pthread_mutex_lock (&q->lock);
  evidence_expire (q->evidence, now_ms);
  judge (q, now_ms);
  while (evidence_next_suspect (q->evidence, now_ms, &suspect))
    stopped_keys_add (q->stopped, &suspect, write_delay_ms (q), now_ms);
  unlock (q);
}

bool
quarantine_allows (Quarantine *q, const QuarantineKey *keys, size_t n_keys, bool is_sent,
                   int64_t now_ms, QuarantineRefusal *refusal)
{
  StoppedCheck check = STOPPED_NOT;

  refusal->is_trial = false;
  if (atomic_load (&q->n_keys) == 0)
    return true;
  pthread_mutex_lock (&q->lock);
  for (size_t i = 0; i < n_keys && check != STOPPED_REFUSE; i++)
    {
      refusal->key = keys[i];
      check = stopped_keys_check (q->stopped, keys[i], is_sent, now_ms, &refusal->retry_after_ms);
      refusal->is_trial |= check == STOPPED_TRIAL;
      if (check == STOPPED_TRIAL && is_sent)
        log_event (LOG_LEVEL_NOTICE, "quarantine", "trial", "kind=%s key=%" PRIx64,
                   quarantine_kind_name (keys[i].kind), keys[i].id);
    }
  pthread_mutex_unlock (&q->lock);
  return check != STOPPED_REFUSE;
}

void
quarantine_return_trial (Quarantine *q, const QuarantineKey *keys, size_t n_keys)
{
  pthread_mutex_lock (&q->lock);
  for (size_t i = 0; i < n_keys; i++)
    stopped_keys_return_trial (q->stopped, keys[i]);
  pthread_mutex_unlock (&q->lock);
}

/* --- Evidence ---------------------------------------------------------------------------- */

/* A request with a stopped key tells nothing of its other keys. */
static bool
is_explained (const Quarantine *q, const QuarantineKey *keys, size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (stopped_keys_contains (q->stopped, keys[i]))
      return true;
  return false;
}

static bool
add_cut (Quarantine *q, const QuarantineNotice *n, bool untold, int64_t now_ms)
{
  EvidenceCut cut = { .keys = n->keys,
                      .n_keys = n->n_keys,
                      .instance = instance_hash (&n->server),
                      .has_unknown_start = n->server.started_ms == 0,
                      .request = n->request,
                      .cut_ms = n->at_ms,
                      .untold = untold };

  if (n->n_keys == 0 || is_explained (q, n->keys, n->n_keys))
    return false;
  evidence_add_cut (q->evidence, &cut);
  judge (q, now_ms);
  return true;
}

/* Cuts of this host that turn out to have been ends: to be told after the lock is released. */
typedef struct
{
  QuarantineKey keys[MAX_UNTOLD];
  EvidenceCut cuts[MAX_UNTOLD];
  size_t n;
} UntoldCuts;

static void
collect_untold (Quarantine *q, uint64_t instance, UntoldCuts *untold)
{
  while (untold->n < MAX_UNTOLD
         && evidence_next_untold (q->evidence, instance, &untold->keys[untold->n],
                                  &untold->cuts[untold->n]))
    untold->n++;
}

static void
tell_untold (Quarantine *q, const ServerInstance *server, const UntoldCuts *untold)
{
  for (size_t i = 0; i < untold->n; i++)
    {
      QuarantineNotice notice = { .kind = QUARANTINE_TELL_CUT,
                                  .server = *server,
                                  .request = untold->cuts[i].request,
                                  .keys = &untold->keys[i],
                                  .n_keys = 1,
                                  .at_ms = untold->cuts[i].cut_ms };

      tell (q, &notice);
    }
}

static bool
add_end (Quarantine *q, const ServerInstance *server, const char *source, UntoldCuts *untold,
         int64_t now_ms)
{
  uint64_t instance = instance_hash (server);
  size_t n_keys;

  if (evidence_has_ended (q->evidence, instance))
    return false;
  n_keys = evidence_add_end (q->evidence, instance, now_ms);
  if (n_keys > 0)
    {
      counter_add (q->ends, 1);
      log_event (LOG_LEVEL_NOTICE, "quarantine", "server_ended",
                 "server=%s address=%s instance=%" PRIx64 " keys=%zu source=%s", server->id,
                 server->address, instance, n_keys, source);
      collect_untold (q, instance, untold);
      judge (q, now_ms);
    }
  return true;
}

/* @return whether all of this host's exchanges with the server were cut off together. */
static bool
count_in_burst (Quarantine *q, const QuarantineCut *cut, int64_t now_ms)
{
  uint64_t instance = instance_hash (&cut->server);
  CutBurst *burst = NULL;

  for (size_t i = 0; i < BURST_COUNTS && !burst; i++)
    if (q->bursts[i].instance == instance)
      burst = &q->bursts[i];
  if (!burst)
    {
      burst = &q->bursts[q->next_burst++ % BURST_COUNTS];
      *burst = (CutBurst){ .instance = instance, .since_ms = now_ms };
    }
  if (now_ms - burst->since_ms > BURST_MS)
    *burst = (CutBurst){ .instance = instance, .since_ms = now_ms };
  burst->cuts++;
  return burst->cuts >= BURST_CUTS && cut->others_in_flight == 0;
}

void
quarantine_add_cut (Quarantine *q, const QuarantineCut *cut, int64_t now_ms)
{
  QuarantineNotice notice = { .kind = QUARANTINE_TELL_CUT,
                              .server = cut->server,
                              .request = cut->request,
                              .keys = cut->keys,
                              .n_keys = cut->n_keys,
                              .at_ms = now_ms };
  QuarantineNotice end = { .kind = QUARANTINE_TELL_END, .server = cut->server };
  UntoldCuts untold = { .n = 0 };
  bool is_told;
  bool ended = false;

  pthread_mutex_lock (&q->lock);
  if (cut->is_unconfirmed)
    {
      add_cut (q, &notice, true, now_ms);
      collect_untold (q, instance_hash (&cut->server), &untold);
      unlock (q);
      tell_untold (q, &cut->server, &untold);
      return;
    }
  is_told = add_cut (q, &notice, false, now_ms);
  if (count_in_burst (q, cut, now_ms))
    ended = add_end (q, &cut->server, "all_cut_off", &untold, now_ms);
  unlock (q);
  tell_untold (q, &cut->server, &untold);
  if (is_told)
    tell (q, &notice);
  if (ended)
    tell (q, &end);
}

void
quarantine_add_end (Quarantine *q, const ServerInstance *server, QuarantineEndSource source,
                    int64_t now_ms)
{
  QuarantineNotice notice = { .kind = QUARANTINE_TELL_END, .server = *server };
  UntoldCuts untold = { .n = 0 };
  bool is_new;

  pthread_mutex_lock (&q->lock);
  is_new = add_end (q, server, source == QUARANTINE_END_RECORD ? "record" : "refused", &untold,
                    now_ms);
  unlock (q);
  tell_untold (q, server, &untold);
  if (is_new && source != QUARANTINE_END_RECORD)
    tell (q, &notice);
}

/* @return whether it changes anything, so that the other hosts are to hear of it. */
static bool
add_sound (Quarantine *q, const QuarantineKey *keys, size_t n, int64_t sent_ms, const char *source,
           int64_t now_ms)
{
  bool changed = evidence_add_sound (q->evidence, keys, n, sent_ms);

  for (size_t i = 0; i < n; i++)
    {
      if (!stopped_keys_lift (q->stopped, keys[i], sent_ms, write_delay_ms (q), now_ms))
        continue;
      changed = true;
      log_event (LOG_LEVEL_WARNING, "quarantine", "lifted", "kind=%s key=%" PRIx64 " source=%s",
                 quarantine_kind_name (keys[i].kind), keys[i].id, source);
    }
  return changed;
}

void
quarantine_add_sound (Quarantine *q, const ServerInstance *server, const QuarantineKey *keys,
                      size_t n, int64_t sent_ms, int64_t now_ms)
{
  QuarantineNotice notice
      = { .kind = QUARANTINE_TELL_SOUND, .keys = keys, .n_keys = n, .at_ms = sent_ms };
  bool changed;

  if (n == 0 || atomic_load (&q->n_keys) == 0)
    return;
  pthread_mutex_lock (&q->lock);
  evidence_add_alive (q->evidence, instance_hash (server), server->started_ms == 0, sent_ms);
  changed = add_sound (q, keys, n, sent_ms, "answer", now_ms);
  unlock (q);
  if (changed)
    tell (q, &notice);
}

void
quarantine_apply (Quarantine *q, const QuarantineNotice *n, int64_t now_ms)
{
  UntoldCuts untold = { .n = 0 };

  pthread_mutex_lock (&q->lock);
  switch (n->kind)
    {
    case QUARANTINE_TELL_CUT:
      add_cut (q, n, false, now_ms);
      break;
    case QUARANTINE_TELL_END:
      add_end (q, &n->server, "host", &untold, now_ms);
      break;
    case QUARANTINE_TELL_SOUND:
      add_sound (q, n->keys, n->n_keys, n->at_ms, "host", now_ms);
      break;
    }
  unlock (q);
  tell_untold (q, &n->server, &untold);
}

/* --- Rows -------------------------------------------------------------------------------- */

void
quarantine_row_changed (Quarantine *q, QuarantineKey key, int64_t version, const StoppedRow *row,
                        int64_t now_ms)
{
  pthread_mutex_lock (&q->lock);
  if (stopped_keys_row_changed (q->stopped, key, version, row, now_ms))
    log_event (LOG_LEVEL_WARNING, "quarantine", "stopped",
               "kind=%s key=%" PRIx64 " ends=%d trials=%d version=%" PRId64 " source=store",
               quarantine_kind_name (key.kind), key.id, row->ends, row->trials, version);
  else if (row->ends < EVIDENCE_ENDS && !stopped_keys_contains (q->stopped, key))
    {
      log_event (LOG_LEVEL_NOTICE, "quarantine", "suspected",
                 "kind=%s key=%" PRIx64 " ends=%d version=%" PRId64 " source=store",
                 quarantine_kind_name (key.kind), key.id, row->ends, version);
      evidence_add_told (q->evidence, key, row->instances, row->n_instances, now_ms);
      judge (q, now_ms);
    }
  unlock (q);
}

void
quarantine_row_removed (Quarantine *q, QuarantineKey key, int64_t now_ms)
{
  pthread_mutex_lock (&q->lock);
  if (stopped_keys_row_removed (q->stopped, key, now_ms))
    log_event (LOG_LEVEL_WARNING, "quarantine", "lifted", "kind=%s key=%" PRIx64 " source=store",
               quarantine_kind_name (key.kind), key.id);
  unlock (q);
}

bool
quarantine_next_write (Quarantine *q, int64_t now_ms, StoppedWrite *write)
{
  bool due;

  if (atomic_load (&q->n_keys) == 0)
    return false;
  pthread_mutex_lock (&q->lock);
  due = stopped_keys_next_write (q->stopped, now_ms, write);
  unlock (q);
  return due;
}

void
quarantine_written (Quarantine *q, const StoppedWrite *write, StoppedWriteResult result,
                    int64_t version, int64_t now_ms)
{
  pthread_mutex_lock (&q->lock);
  stopped_keys_written (q->stopped, write, result, version, now_ms);
  unlock (q);
}
