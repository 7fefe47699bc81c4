#include "quarantine/stopped_keys.h"

#include <glib.h>
#include <talloc.h>

#define MAX_STOPPED 1024

/* From one trial to the next. After the last one only the end of the lifetime makes the key sound again. */
static const int64_t TRIAL_INTERVALS_MS[] = { 60000, 600000, 6000000 };

/* As many trials, the first of them early: the servers may have lost power together under sound requests. */
static const int64_t DOUBT_TRIAL_INTERVALS_MS[] = { 1000, 60000, 600000 };

#define N_TRIALS (int)(sizeof TRIAL_INTERVALS_MS / sizeof TRIAL_INTERVALS_MS[0])

/* Without a row there are no trials: a key that is stopped in doubt and has none is sent again after this time. */
#define DOUBT_WITHOUT_ROW_MS 10000

#define STOPPED_LIFETIME_MS (24 * 60 * 60 * 1000)

/* How long a host that has taken a trial waits for a request. */
#define TRIAL_OPEN_MS 10000

/* Without another end in this time a suspected key is forgotten. */
#define SUSPECTED_LIFETIME_MS 60000

#define WRITE_RETRY_MS 1000

/* A row that goes so soon after it was written may have been lost in a restore of the store. */
#define RESTORE_MS 10000

typedef enum
{
  KEY_SUSPECTED,
  KEY_STOPPED,
  KEY_LIFTED /* neither any longer, but the row still exists */
} KeyState;

typedef struct
{
  QuarantineKey key;
  KeyState state;
  StoppedRow row;     /* as it is, or is to be written */
  int written_ends;   /* as the row says; 0: it does not exist */
  int64_t first_ms;   /* sound answers to requests sent later show that the key is sound */
  int64_t stopped_ms; /* when this host learned that it is stopped or suspected */
  int64_t row_version;
  int64_t row_ms; /* when this host learned of that version */
  bool wants_trial;
  int64_t trial_until_ms; /* until then this host may send one request */
  int64_t used_trial_until_ms;
  bool writing;
  int64_t write_due_ms;
} StoppedKey;

struct StoppedKeys
{
  GPtrArray *keys; /* StoppedKey: few, and looked through only if there are any */
};

static int
stopped_keys_destroy (StoppedKeys *s)
{
  g_ptr_array_free (s->keys, TRUE);
  return 0;
}

StoppedKeys *
stopped_keys_new (const void *ctx)
{
  StoppedKeys *s = talloc_zero (ctx, StoppedKeys);

  s->keys = g_ptr_array_new ();
  talloc_set_destructor (s, stopped_keys_destroy);
  return s;
}

size_t
stopped_keys_count (const StoppedKeys *s)
{
  return s->keys->len;
}

static StoppedKey *
find (const StoppedKeys *s, QuarantineKey key)
{
  for (guint i = 0; i < s->keys->len; i++)
    {
      StoppedKey *k = s->keys->pdata[i];

      if (quarantine_key_equal (k->key, key))
        return k;
    }
  return NULL;
}

bool
stopped_keys_contains (const StoppedKeys *s, QuarantineKey key)
{
  const StoppedKey *k = find (s, key);

  return k && k->state == KEY_STOPPED;
}

static StoppedKey *
add_key (StoppedKeys *s, QuarantineKey key)
{
  StoppedKey *k;

  if (s->keys->len >= MAX_STOPPED)
    return NULL;
  k = talloc_zero (s, StoppedKey);
  k->key = key;
  g_ptr_array_add (s->keys, k);
  return k;
}

static void
remove_key (StoppedKeys *s, StoppedKey *k)
{
  g_ptr_array_remove_fast (s->keys, k);
  talloc_free (k);
}

static void
set_instances (StoppedRow *row, const EvidenceVerdict *verdict)
{
  for (size_t i = 0; i < verdict->n_instances && i < EVIDENCE_ENDS - 1; i++)
    row->instances[row->n_instances++] = verdict->instances[i];
}

bool
stopped_keys_add (StoppedKeys *s, const EvidenceVerdict *verdict, int64_t write_delay_ms,
                  int64_t now_ms)
{
  StoppedKey *k = find (s, verdict->key);

  if (k && k->state == KEY_STOPPED)
    return true;
  if (!k)
    k = add_key (s, verdict->key);
  if (!k)
    return false;
  k->state = verdict->ends < EVIDENCE_ENDS ? KEY_SUSPECTED : KEY_STOPPED;
  k->row = (StoppedRow){ .ends = verdict->ends, .in_doubt = verdict->in_doubt };
  if (k->state == KEY_SUSPECTED)
    set_instances (&k->row, verdict);
  k->first_ms = verdict->first_ms;
  k->stopped_ms = now_ms;
  k->write_due_ms = now_ms + write_delay_ms;
  return true;
}

static int64_t
trial_interval_ms (const StoppedKey *k)
{
  return (k->row.in_doubt ? DOUBT_TRIAL_INTERVALS_MS : TRIAL_INTERVALS_MS)[k->row.trials];
}

static int64_t
next_trial_ms (const StoppedKey *k)
{
  if (k->row.trials >= N_TRIALS)
    return k->stopped_ms + STOPPED_LIFETIME_MS;
  return k->row_ms + trial_interval_ms (k);
}

static int64_t
retry_after_ms (const StoppedKey *k, int64_t now_ms)
{
  int64_t due_ms = k->row_version > 0 ? next_trial_ms (k) : now_ms + trial_interval_ms (k);

  return due_ms > now_ms + WRITE_RETRY_MS ? due_ms - now_ms : WRITE_RETRY_MS;
}

StoppedCheck
stopped_keys_check (StoppedKeys *s, QuarantineKey key, bool is_sent, int64_t now_ms,
                    int64_t *retry_after)
{
  StoppedKey *k = find (s, key);

  if (!k || k->state != KEY_STOPPED)
    return STOPPED_NOT;
  if (now_ms < k->trial_until_ms)
    {
      if (is_sent)
        {
          k->used_trial_until_ms = k->trial_until_ms;
          k->trial_until_ms = 0;
        }
      return STOPPED_TRIAL;
    }
  if (k->row_version > 0 && k->row.trials < N_TRIALS && now_ms >= next_trial_ms (k))
    k->wants_trial = true;
  *retry_after = retry_after_ms (k, now_ms);
  return STOPPED_REFUSE;
}

void
stopped_keys_return_trial (StoppedKeys *s, QuarantineKey key)
{
  StoppedKey *k = find (s, key);

  if (!k || k->state != KEY_STOPPED || k->used_trial_until_ms == 0)
    return;
  k->trial_until_ms = k->used_trial_until_ms;
  k->used_trial_until_ms = 0;
}

static void
lift (StoppedKeys *s, StoppedKey *k, int64_t write_due_ms)
{
  k->state = KEY_LIFTED;
  k->wants_trial = false;
  k->trial_until_ms = 0;
  k->write_due_ms = write_due_ms;
  if (k->row_version == 0 && !k->writing)
    remove_key (s, k);
}

bool
stopped_keys_lift (StoppedKeys *s, QuarantineKey key, int64_t sent_ms, int64_t write_delay_ms,
                   int64_t now_ms)
{
  StoppedKey *k = find (s, key);

  bool was_stopped;

  if (!k || k->state == KEY_LIFTED || sent_ms < k->first_ms)
    return false;
  was_stopped = k->state == KEY_STOPPED;
  lift (s, k, now_ms + write_delay_ms);
  return was_stopped;
}

/* --- Rows -------------------------------------------------------------------------------- */

bool
stopped_keys_row_changed (StoppedKeys *s, QuarantineKey key, int64_t version, const StoppedRow *row,
                          int64_t now_ms)
{
  StoppedKey *k = find (s, key);
  bool is_stop = row->ends >= EVIDENCE_ENDS;
  bool was_stopped = k && k->state == KEY_STOPPED;
  bool is_news = !k || row->ends > k->written_ends;

  if (!k)
    k = add_key (s, key);
  if (!k || version <= k->row_version)
    return false;
  k->row_version = version;
  k->row_ms = now_ms;
  k->written_ends = row->ends;
  k->wants_trial = false;
  if (was_stopped && !is_stop)
    return false;
  if (is_news && !was_stopped)
    {
      k->state = is_stop ? KEY_STOPPED : KEY_SUSPECTED;
      k->first_ms = now_ms;
      k->stopped_ms = now_ms;
    }
  k->row = *row;
  return is_stop && k->state == KEY_STOPPED && !was_stopped;
}

bool
stopped_keys_row_removed (StoppedKeys *s, QuarantineKey key, int64_t now_ms)
{
  StoppedKey *k = find (s, key);
  bool was_stopped;

  if (!k)
    return false;
  was_stopped = k->state == KEY_STOPPED;
  if (was_stopped && now_ms - k->row_ms < RESTORE_MS)
    {
      k->row_version = 0;
      k->written_ends = 0;
      return false;
    }
  remove_key (s, k);
  return was_stopped;
}

static bool
needs_write (const StoppedKey *k, StoppedWriteKind *kind)
{
  if (k->state == KEY_LIFTED)
    *kind = STOPPED_WRITE_REMOVE;
  else if (k->written_ends < k->row.ends)
    *kind = STOPPED_WRITE_ADD;
  else
    *kind = STOPPED_WRITE_TRIAL;
  return !k->writing && (*kind != STOPPED_WRITE_TRIAL || k->wants_trial)
         && (*kind != STOPPED_WRITE_REMOVE || k->row_version > 0);
}

static bool
has_expired (const StoppedKey *k, int64_t now_ms)
{
  int64_t age_ms = now_ms - k->stopped_ms;

  return (k->state == KEY_STOPPED && age_ms >= STOPPED_LIFETIME_MS)
         || (k->state == KEY_STOPPED && k->row.in_doubt && k->row_version == 0
             && age_ms >= DOUBT_WITHOUT_ROW_MS)
         || (k->state == KEY_SUSPECTED && age_ms >= SUSPECTED_LIFETIME_MS);
}

bool
stopped_keys_next_write (StoppedKeys *s, int64_t now_ms, StoppedWrite *write)
{
  for (guint i = 0; i < s->keys->len; i++)
    {
      StoppedKey *k = s->keys->pdata[i];
      StoppedWriteKind kind;

      if (has_expired (k, now_ms))
        {
          lift (s, k, now_ms);
          return false;
        }
      if (now_ms < k->write_due_ms || !needs_write (k, &kind))
        continue;
      k->writing = true;
      *write
          = (StoppedWrite){ .kind = kind, .key = k->key, .version = k->row_version, .row = k->row };
      write->row.trials += kind == STOPPED_WRITE_TRIAL;
      return true;
    }
  return false;
}

void
stopped_keys_written (StoppedKeys *s, const StoppedWrite *write, StoppedWriteResult result,
                      int64_t version, int64_t now_ms)
{
  StoppedKey *k = find (s, write->key);

  if (!k)
    return;
  k->writing = false;
  k->write_due_ms = result == STOPPED_WRITTEN ? now_ms : now_ms + WRITE_RETRY_MS;
  k->wants_trial = false;
  if (result != STOPPED_WRITTEN)
    return;
  if (write->kind == STOPPED_WRITE_REMOVE)
    {
      remove_key (s, k);
      return;
    }
  if (version > k->row_version)
    {
      k->row_version = version;
      k->row_ms = now_ms;
      k->row.trials = write->row.trials;
      k->written_ends = write->row.ends;
    }
  if (write->kind == STOPPED_WRITE_TRIAL && k->state == KEY_STOPPED)
    k->trial_until_ms = now_ms + TRIAL_OPEN_MS;
}
