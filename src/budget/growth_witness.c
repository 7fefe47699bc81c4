#include "budget/growth_witness.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core/log.h"

#define PROBE_INTERVAL_MS 1000

/* Probes without a reply after which another host is selected. */
#define MAX_MISSED_PROBES 2

/* A host that asks for consent again and again as new incarnations needs one entry for each. Beyond this no consent is
 * given, so that ceilings grow slowly. */
#define MAX_CONSENTS 4096

/* Coordinators and witnesses are selected by the same function; the prefix keeps an account of the host's name apart. */
#define SELECTION_PREFIX "growth-witness:"

typedef struct
{
  char *key; /* host and incarnation */
  uint64_t publication;
} Consent;

struct GrowthWitness
{
  GrowthWitnessOptions options;
  /* As a witness of other hosts. */
  GHashTable *consents; /* Consent by key */
  /* This host's witness. */
  char *selection_key;
  unsigned rank;
  char probed[WITNESS_NAME_BYTES]; /* the host that is or may become the witness */
  int64_t probed_ms;               /* time of the last probe */
  int missed;                      /* probes since its last reply */
  WitnessId current;               /* without a host: none */
};

/* --- As a witness of other hosts --------------------------------------------------------- */

static Consent *
find_consent (GrowthWitness *w, const char *host, uint64_t incarnation, bool add)
{
  char key[WITNESS_NAME_BYTES + 32];
  Consent *c;

  if ((size_t)snprintf (key, sizeof key, "%s %" PRIx64, host, incarnation) >= sizeof key)
    return NULL;
  c = g_hash_table_lookup (w->consents, key);
  if (c || !add || g_hash_table_size (w->consents) >= MAX_CONSENTS)
    return c;
  c = talloc_zero (w, Consent);
  c->key = talloc_strdup (c, key);
  g_hash_table_insert (w->consents, c->key, c);
  return c;
}

/* What was consented to is remembered for as long as this process runs, and is never withdrawn. */
static void
on_ask (GrowthWitness *w, const char *from, const Pond__GrowthAsk *message)
{
  Consent *c = find_consent (w, from, message->incarnation, message->consent);
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__GrowthReply reply = POND__GROWTH_REPLY__INIT;

  if (c && message->consent && message->publication > c->publication)
    {
      c->publication = message->publication;
      log_event (LOG_LEVEL_INFO, "budget", "growth_consented",
                 "host=%s incarnation=%" PRIx64 " publication=%" PRIu64, from, message->incarnation,
                 c->publication);
    }
  reply.incarnation = message->incarnation;
  reply.publication = c ? c->publication : 0;
  reply.witness_incarnation = w->options.incarnation;
  env.body_case = POND__ENVELOPE__BODY_GROWTH_REPLY;
  env.growth_reply = &reply;
  peer_transport_send (w->options.peers, from, &env);
}

/* --- This host's witness ----------------------------------------------------------------- */

static void
ask (GrowthWitness *w, const char *host, uint64_t incarnation, uint64_t publication, bool consent)
{
  Pond__Envelope env = POND__ENVELOPE__INIT;
  Pond__GrowthAsk message = POND__GROWTH_ASK__INIT;

  if (!w->options.peers)
    return;
  message.incarnation = incarnation;
  message.publication = publication;
  message.consent = consent;
  env.body_case = POND__ENVELOPE__BODY_GROWTH_ASK;
  env.growth_ask = &message;
  peer_transport_send (w->options.peers, host, &env);
}

/* @return the host of the current rank; this host is passed over. NULL: there is none. */
static const char *
select_host (GrowthWitness *w, int64_t now_ms)
{
  const char *host;

  host = coordinators_find (w->options.coordinators, w->selection_key, w->rank, now_ms);
  if (host && coordinators_is_this_host (w->options.coordinators, host))
    host = coordinators_find (w->options.coordinators, w->selection_key, ++w->rank, now_ms);
  if (!host)
    w->rank = 0;
  return host && strlen (host) < WITNESS_NAME_BYTES ? host : NULL;
}

void
growth_witness_step (GrowthWitness *w, int64_t now_ms)
{
  const char *host;

  if (!w->options.peers || now_ms - w->probed_ms < PROBE_INTERVAL_MS)
    return;
  if (w->missed >= MAX_MISSED_PROBES)
    {
      w->current = (WitnessId){ 0 };
      w->missed = 0;
      w->rank++;
    }
  host = select_host (w, now_ms);
  if (!host)
    return;
  if (strcmp (host, w->probed) != 0)
    {
      w->current = (WitnessId){ 0 };
      w->missed = 0;
      snprintf (w->probed, sizeof w->probed, "%s", host);
    }
  w->probed_ms = now_ms;
  w->missed++;
  ask (w, host, w->options.incarnation, 0, false);
}

const WitnessId *
growth_witness_current (const GrowthWitness *w)
{
  return w->current.host[0] ? &w->current : NULL;
}

void
growth_witness_request (GrowthWitness *w, const WitnessId *id, uint64_t publication)
{
  ask (w, id->host, w->options.incarnation, publication, true);
}

void
growth_witness_query (GrowthWitness *w, const WitnessId *id, uint64_t incarnation)
{
  ask (w, id->host, incarnation, 0, false);
}

static void
on_reply (GrowthWitness *w, const char *from, const Pond__GrowthReply *message)
{
  WitnessId id = { .incarnation = message->witness_incarnation };

  if ((size_t)snprintf (id.host, sizeof id.host, "%s", from) >= sizeof id.host)
    return;
  if (!strcmp (from, w->probed))
    {
      w->missed = 0;
      w->current = id;
    }
  w->options.replied (w->options.data, &id, message->incarnation, message->publication);
}

/* --- Setup ------------------------------------------------------------------------------- */

bool
growth_witness_on_message (GrowthWitness *w, const Pond__Envelope *env)
{
  if (!w->options.peers)
    return false;
  if (env->body_case == POND__ENVELOPE__BODY_GROWTH_ASK)
    on_ask (w, env->from, env->growth_ask);
  else if (env->body_case == POND__ENVELOPE__BODY_GROWTH_REPLY)
    on_reply (w, env->from, env->growth_reply);
  else
    return false;
  return true;
}

static int
growth_witness_destroy (GrowthWitness *w)
{
  g_hash_table_unref (w->consents);
  return 0;
}

GrowthWitness *
growth_witness_new (const void *ctx, const GrowthWitnessOptions *options)
{
  GrowthWitness *w = talloc_zero (ctx, GrowthWitness);

  w->options = *options;
  w->selection_key = talloc_asprintf (w, SELECTION_PREFIX "%s", options->host);
  w->consents = g_hash_table_new (g_str_hash, g_str_equal);
  w->probed_ms = INT64_MIN / 2;
  talloc_set_destructor (w, growth_witness_destroy);
  return w;
}
