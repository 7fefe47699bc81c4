#include <string.h>

#include <talloc.h>

#include "host/host_impl.h"

/* --- Messages to other hosts ------------------------------------------------------------- */

/* Passed from a worker thread to the control loop. */
typedef struct
{
  Host *host;
  QuarantineNotice notice; /* its strings and keys are copies */
} HostNotice;

/* @return the ids of the keys that are parts of a prompt. */
static uint64_t *
part_ids (const void *ctx, const QuarantineNotice *n, size_t *n_parts)
{
  uint64_t *ids = talloc_array (ctx, uint64_t, n->n_keys);

  *n_parts = 0;
  for (size_t i = 0; i < n->n_keys; i++)
    if (n->keys[i].kind == QUARANTINE_PROMPT_PART)
      ids[(*n_parts)++] = n->keys[i].id;
  return ids;
}

/* @return 0 if there is no key of a whole request. */
static uint64_t
fingerprint_of (const QuarantineNotice *n)
{
  for (size_t i = 0; i < n->n_keys; i++)
    if (n->keys[i].kind == QUARANTINE_REQUEST)
      return n->keys[i].id;
  return 0;
}

static void
send_cut (HostNotice *hn, int64_t now)
{
  const QuarantineNotice *n = &hn->notice;
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__RequestCut message = POND__REQUEST_CUT__INIT;

  message.server = (char *)n->server.id;
  message.address = (char *)n->server.address;
  message.born_ms = n->server.started_ms;
  message.request = n->request;
  message.parts = part_ids (hn, n, &message.n_parts);
  message.fingerprint = fingerprint_of (n);
  message.age_ms = now - n->at_ms;
  env.body_case = POND__ENVELOPE__BODY_REQUEST_CUT;
  env.request_cut = &message;
  host_send_to_all (hn->host, &env);
}

static void
send_end (HostNotice *hn)
{
  const QuarantineNotice *n = &hn->notice;
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__ServerEnded message = POND__SERVER_ENDED__INIT;

  message.server = (char *)n->server.id;
  message.address = (char *)n->server.address;
  message.born_ms = n->server.started_ms;
  env.body_case = POND__ENVELOPE__BODY_SERVER_ENDED;
  env.server_ended = &message;
  host_send_to_all (hn->host, &env);
}

static void
send_sound (HostNotice *hn, int64_t now)
{
  const QuarantineNotice *n = &hn->notice;
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__RequestSound message = POND__REQUEST_SOUND__INIT;

  message.parts = part_ids (hn, n, &message.n_parts);
  message.fingerprint = fingerprint_of (n);
  message.age_ms = now - n->at_ms;
  env.body_case = POND__ENVELOPE__BODY_REQUEST_SOUND;
  env.request_sound = &message;
  host_send_to_all (hn->host, &env);
}

static void
send_notice (void *data)
{
  HostNotice *hn = data;
  int64_t now = host_now_ms (hn->host);

  switch (hn->notice.kind)
    {
    case QUARANTINE_TELL_CUT:
      send_cut (hn, now);
      break;
    case QUARANTINE_TELL_END:
      send_end (hn);
      break;
    case QUARANTINE_TELL_SOUND:
      send_sound (hn, now);
      break;
    }
  talloc_free (hn);
}

static void
on_tell (void *data, const QuarantineNotice *notice)
{
  Host *h = data;
  HostNotice *hn = talloc_zero (NULL, HostNotice);

  hn->host = h;
  hn->notice = *notice;
  hn->notice.server.id = talloc_strdup (hn, notice->server.id);
  hn->notice.server.address = talloc_strdup (hn, notice->server.address);
  hn->notice.keys = talloc_memdup (hn, notice->keys, notice->n_keys * sizeof notice->keys[0]);
  executor_post (loop_executor (h->loop), send_notice, hn);
}

/* --- Messages of other hosts ------------------------------------------------------------- */

static size_t
bounded (size_t n_parts)
{
  return n_parts < QUARANTINE_MAX_KEYS ? n_parts : QUARANTINE_MAX_KEYS - 1;
}

/* @param fingerprint 0: none. @return in the order of the request's own keys, a talloc array under @p ctx. */
static QuarantineKey *
make_keys (const void *ctx, const uint64_t *parts, size_t n_parts, uint64_t fingerprint, size_t *n)
{
  size_t n_known = bounded (n_parts);
  QuarantineKey *keys = talloc_array (ctx, QuarantineKey, n_known + 1);

  for (*n = 0; *n < n_known; (*n)++)
    keys[*n] = (QuarantineKey){ .kind = QUARANTINE_PROMPT_PART, .id = parts[*n] };
  if (fingerprint)
    keys[(*n)++] = (QuarantineKey){ .kind = QUARANTINE_REQUEST, .id = fingerprint };
  return keys;
}

static void
on_request_cut (Host *h, const Pond__RequestCut *m)
{
  QuarantineNotice n = { .kind = QUARANTINE_TELL_CUT,
                         .server = { m->server, m->address, m->born_ms },
                         .request = m->request,
                         .at_ms = host_now_ms (h) - m->age_ms };
  QuarantineKey *keys = make_keys (h, m->parts, m->n_parts, m->fingerprint, &n.n_keys);

  n.keys = keys;
  quarantine_apply (h->quarantine, &n, host_now_ms (h));
  talloc_free (keys);
}

static void
on_server_ended (Host *h, const Pond__ServerEnded *m)
{
  QuarantineNotice n
      = { .kind = QUARANTINE_TELL_END, .server = { m->server, m->address, m->born_ms } };

  quarantine_apply (h->quarantine, &n, host_now_ms (h));
}

static void
on_request_sound (Host *h, const Pond__RequestSound *m)
{
  QuarantineNotice n = { .kind = QUARANTINE_TELL_SOUND, .at_ms = host_now_ms (h) - m->age_ms };
  QuarantineKey *keys = make_keys (h, m->parts, m->n_parts, m->fingerprint, &n.n_keys);

  n.keys = keys;
  quarantine_apply (h->quarantine, &n, host_now_ms (h));
  talloc_free (keys);
}

bool
host_on_quarantine_message (Host *h, const Pond__Envelope *env)
{
  if (env->body_case == POND__ENVELOPE__BODY_REQUEST_CUT)
    on_request_cut (h, env->request_cut);
  else if (env->body_case == POND__ENVELOPE__BODY_SERVER_ENDED)
    on_server_ended (h, env->server_ended);
  else if (env->body_case == POND__ENVELOPE__BODY_REQUEST_SOUND)
    on_request_sound (h, env->request_sound);
  else
    return false;
  return true;
}

/* --- Set-up ------------------------------------------------------------------------------ */

void
host_on_server_ended (void *data, const ServerInstance *instance)
{
  Host *h = data;

  quarantine_add_end (h->quarantine, instance, QUARANTINE_END_RECORD, host_now_ms (h));
}

void
host_make_quarantine (Host *h)
{
  QuarantineOptions options = { .seed = h->incarnation, .tell = on_tell, .data = h };

  h->quarantine = quarantine_new (h, &options);
}

void
host_watch_quarantine (Host *h)
{
  QuarantineRowsOptions options = {
    .store = h->store, .timers = loop_timers (h->loop), .rng = &h->rng, .quarantine = h->quarantine
  };

  h->quarantine_rows = quarantine_rows_new (h, &options);
}
