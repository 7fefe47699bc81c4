#include "dispatch/server.h"

#include <string.h>

#include <talloc.h>
#include <xxhash.h>

/* Backoff after the first connect failure, doubled with each further one. */
#define INITIAL_BACKOFF_MS 300
#define MAX_BACKOFF_MS     2400

/* At the end of the grace after an unconfirmed removal: longer than the way from the choice to the server may take, connect
 * included. */
#define DOUBT_MS 500

/* Weight of one sample in the moving averages. */
#define FAILURE_RATE_WEIGHT 0.15
#define LATENCY_WEIGHT      0.15
#define MAX_LATENCY_FACTOR  8.0
#define MIN_LATENCY_FACTOR  0.5

/* Hosts that know the same start of a server get the same key. */
static uint32_t
server_key (const ServerRecord *r)
{
  uint64_t key = XXH64 (r->address, strlen (r->address), (uint64_t)r->started_ms);

  return (uint32_t)XXH64 (r->id, strlen (r->id), key);
}

Server *
server_new (const void *ctx, const ServerRecord *r)
{
  Server *s = talloc_zero (ctx, Server);

  s->id = talloc_strdup (s, r->id);
  s->service = talloc_strdup (s, r->service);
  s->address = talloc_strdup (s, r->address);
  s->data_centre = talloc_strdup (s, r->data_centre);
  s->hash = XXH64 (r->id, strlen (r->id), 0);
  s->started_ms = r->started_ms;
  server_version_set (s->version, r->version);
  s->latency_factor = 1.0;
  s->load.pace = 1.0;
  s->key = server_key (r);
  return s;
}

static void
update_version (Server *s, const char *name)
{
  char version[SERVER_VERSION_BYTES];

  server_version_set (version, name);
  if (!strcmp (version, s->version))
    return;
  memcpy (s->version, version, sizeof version);
  s->version_changes++;
}

void
server_update (Server *s, const ServerRecord *r, int64_t now_ms)
{
  update_version (s, r->version);
  s->slots = r->slots;
  s->draining = r->draining;
  cold_limit_set (&s->cold, r->warmup_ms, now_ms);
  s->removal_grace_until_ms = 0;
  s->removed = false;
}

LoadVerdict
server_report_load (Server *s, const LoadFigures *f, bool heard, int64_t now_ms)
{
  LoadVerdict verdict = server_load_apply (&s->load, f, s->slots, heard, now_ms);
  int64_t at_ms;
  double others;
  double waiting;

  if (verdict == LOAD_OLDER)
    return verdict;
  if (verdict == LOAD_CONTRADICTORY && heard)
    return verdict;
  at_ms = s->load.observed_ms;
  others = s->load.running + s->load.waiting - in_flight_history_at (&s->in_flight_history, at_ms);
  waiting = s->load.waiting - in_flight_history_at (&s->awaiting_history, at_ms);
  s->other_requests = others > 0 ? others : 0;
  s->others_waiting = waiting > 0 ? waiting : 0;
  return verdict;
}

double
server_other_requests (const Server *s, int64_t now_ms)
{
  double weight = server_load_weight (&s->load, now_ms);

  return s->other_requests * weight
         + s->usual_others * (1 - weight) * server_load_usual_weight (&s->load, now_ms);
}

double
server_others_waiting (const Server *s, int64_t now_ms)
{
  return s->others_waiting * server_load_weight (&s->load, now_ms);
}

void
server_add_connect_failure (Server *s, int64_t now_ms)
{
  int64_t backoff = INITIAL_BACKOFF_MS << (s->connect_failures < 4 ? s->connect_failures : 4);

  s->connect_failures++;
  if (backoff > MAX_BACKOFF_MS)
    backoff = MAX_BACKOFF_MS;
  s->backoff_until_ms = now_ms + backoff;
}

void
server_add_result (Server *s, bool failed)
{
  s->failure_rate += FAILURE_RATE_WEIGHT * ((failed ? 1.0 : 0.0) - s->failure_rate);
  if (failed)
    return;
  s->connect_failures = 0;
  s->backoff_until_ms = 0;
}

void
server_add_latency_sample (Server *s, double took_ms, double expected_ms)
{
  double ratio = expected_ms > 0 ? took_ms / expected_ms : 1.0;

  if (ratio > MAX_LATENCY_FACTOR)
    ratio = MAX_LATENCY_FACTOR;
  if (ratio < MIN_LATENCY_FACTOR)
    ratio = MIN_LATENCY_FACTOR;
  s->latency_factor += LATENCY_WEIGHT * (ratio - s->latency_factor);
}

void
server_pause (Server *s, int64_t ms, int64_t now_ms)
{
  if (now_ms + ms > s->pause_until_ms)
    s->pause_until_ms = now_ms + ms;
}

bool
server_has_version (const Server *s, const char *version, const ServerVersions *allowed)
{
  if (version && strcmp (s->version, version) != 0)
    return false;
  return !allowed || server_versions_contain (allowed, s->version);
}

ServerFit
server_fit (const Server *s, const ServerDemand *demand)
{
  if (!server_has_version (s, demand->version, demand->allowed))
    return SERVER_OF_OTHER_VERSION;
  if (!region_set_allows (demand->regions, s->region))
    return SERVER_OUT_OF_REGION;
  return s->evacuated ? SERVER_EVACUATED : SERVER_FITS;
}

ServerStanding
server_standing (const Server *s, int64_t now_ms)
{
  bool no_row = s->removal_grace_until_ms > 0;

  if (s->draining || s->removed || (no_row && now_ms >= s->removal_grace_until_ms)
      || now_ms < s->pause_until_ms)
    return SERVER_EXCLUDED;
  if (now_ms < s->backoff_until_ms)
    return SERVER_IN_BACKOFF;
  if (no_row && now_ms >= s->removal_grace_until_ms - DOUBT_MS)
    return SERVER_DOUBTFUL;
  return SERVER_PREFERRED;
}

bool
server_is_usable (const Server *s, int64_t now_ms)
{
  return server_standing (s, now_ms) <= SERVER_DOUBTFUL;
}
