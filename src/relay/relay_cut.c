#include "relay/relay_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>
#include <xxhash.h>

#include "core/log.h"

/* Size of the text of a list of prompt parts. */
#define PARTS_BYTES 280

/* @return a hash that is the same if the same request comes again, under another id; never 0. */
static uint64_t
fingerprint (const RelayRequest *q)
{
  const char *const fields[] = { q->account, q->method, q->host, q->target };
  uint64_t hash = 0;

  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    hash = XXH64 (fields[i] ? fields[i] : "", fields[i] ? strlen (fields[i]) : 0, hash);
  hash = XXH64 (q->body_len > 0 ? q->body : "", q->body_len, hash);
  return hash > 0 ? hash : 1;
}

void
relay_set_keys (Relay *r)
{
  const RelayRequest *q = r->request;
  size_t max = QUARANTINE_MAX_KEYS - 1;
  size_t n = q->n_shared_parts < max ? q->n_shared_parts : max;

  if (n < q->n_shared_parts)
    log_event (LOG_LEVEL_NOTICE, "relay", "parts_ignored", "id=%s parts=%zu", q->id,
               q->n_shared_parts - n);
  r->fingerprint = fingerprint (q);
  r->keys = talloc_array (r, QuarantineKey, n + 1);
  for (size_t i = 0; i < n; i++)
    r->keys[r->n_keys++]
        = (QuarantineKey){ .kind = QUARANTINE_PROMPT_PART, .id = q->shared_parts[i] };
  r->keys[r->n_keys++] = (QuarantineKey){ .kind = QUARANTINE_REQUEST, .id = r->fingerprint };
}

bool
relay_check_quarantine (Relay *r, bool is_sent, Err *err)
{
  QuarantineRefusal refusal;
  bool allowed = quarantine_allows (r->deps->quarantine, r->keys, r->n_keys, is_sent,
                                    timers_now_ms (r->deps->timers), &refusal);

  r->is_trial = is_sent && allowed && refusal.is_trial;
  if (allowed)
    return true;
  err_set (err, ERR_QUARANTINED, "servers have ended under requests with %s %" PRIx64,
           quarantine_kind_name (refusal.key.kind), refusal.key.id);
  err->retry_after_ms = refusal.retry_after_ms;
  return false;
}

void
relay_return_trial (Relay *r)
{
  if (r->is_trial)
    quarantine_return_trial (r->deps->quarantine, r->keys, r->n_keys);
  r->is_trial = false;
}

void
relay_report_sound (const Relay *r, Attempt *a)
{
  AssignmentServer server;

  if (a->sound)
    return;
  a->sound = true;
  server = assignment_server_state (a->assignment);
  quarantine_add_sound (r->deps->quarantine, &server.instance, r->keys, r->n_keys, a->started_ms,
                        timers_now_ms (r->deps->timers));
}

static QuarantineCut
make_cut (const Relay *r, const Attempt *a, const AssignmentServer *server)
{
  const char *id = r->request->id;

  return (QuarantineCut){ .server = server->instance,
                          .request = XXH64 (id, strlen (id), 0),
                          .keys = r->keys,
                          .n_keys = a->sound ? 0 : r->n_keys,
                          .is_unconfirmed = a->indirect,
                          .others_in_flight = server->others_in_flight };
}

static void
report_unproved_end (const Relay *r, const Attempt *a)
{
  AssignmentServer server = assignment_server_state (a->assignment);
  QuarantineCut cut = make_cut (r, a, &server);

  cut.is_unconfirmed = true;
  if (!server.draining && cut.n_keys > 0)
    quarantine_add_cut (r->deps->quarantine, &cut, timers_now_ms (r->deps->timers));
}

void
relay_report_complete (const Relay *r, Attempt *a)
{
  if (a->head.status >= 300)
    return;
  if (relay_has_provable_end (a))
    relay_report_sound (r, a);
  else
    report_unproved_end (r, a);
}

void
relay_report_refused (const Relay *r, const Attempt *a)
{
  AssignmentServer server = assignment_server_state (a->assignment);

  /* It was the other host that refused, or its process that has ended. */
  if (a->indirect)
    return;
  quarantine_add_end (r->deps->quarantine, &server.instance, QUARANTINE_END_REFUSED,
                      timers_now_ms (r->deps->timers));
}

static void
format_parts (const RelayRequest *q, char text[PARTS_BYTES])
{
  size_t len = 0;

  snprintf (text, PARTS_BYTES, "-");
  for (size_t i = 0; i < q->n_shared_parts; i++)
    {
      int n = snprintf (text + len, PARTS_BYTES - len, "%s%" PRIx64, i > 0 ? "," : "",
                        q->shared_parts[i]);

      if (n < 0 || (size_t)n >= PARTS_BYTES - len)
        return;
      len += (size_t)n;
    }
}

void
relay_report_cut (const Relay *r, const Attempt *a)
{
  const RelayRequest *q = r->request;
  int64_t now = timers_now_ms (r->deps->timers);
  AssignmentServer server = assignment_server_state (a->assignment);
  QuarantineCut cut = make_cut (r, a, &server);
  char parts[PARTS_BYTES];

  format_parts (q, parts);
  log_event (LOG_LEVEL_INFO, "relay", "cut_off",
             "id=%s server=%s head=%d events=%" PRId64 " event_age_ms=%" PRId64
             " sound=%d in_flight=%d draining=%d indirect=%d request=%" PRIx64
             " shared_parts=%zu parts=%s",
             q->id, r->server, a->head.status > 0, r->events,
             a->first_event_ms ? now - a->first_event_ms : -1, a->sound, server.others_in_flight,
             server.draining, a->indirect, r->fingerprint, q->n_shared_parts, parts);
  if (!server.draining)
    quarantine_add_cut (r->deps->quarantine, &cut, now);
}
