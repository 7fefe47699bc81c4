#include "dispatch_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#define TOKENS_PER_MS  55.0 /* prefill */
#define FIRST_TOKEN_MS 30.0 /* from the end of the prefill to the first event */

static const char *
region_of (void *data, const char *data_centre)
{
  (void)data;
  return data_centre;
}

static const ListedHost HOSTS[DISPATCH_FIXTURE_MAX_HOSTS] = {
  { "host-0", "d", "d" }, { "host-1", "d", "d" }, { "host-2", "d", "d" }, { "host-3", "d", "d" }
};

DispatchFixture *
dispatch_fixture_new (int hosts, int servers, const char *policy)
{
  DispatchFixture *fx = talloc_zero (NULL, DispatchFixture);
  CatalogBuilder *b = catalog_builder_new (NULL, 1);
  CatalogService engine_service = { .name = "engine", .is_engine = true, .connection_limit = 400 };
  CatalogService plain_service = { .name = "plain", .connection_limit = 40 };

  fx->engine_service = catalog_add_service (b, &engine_service);
  fx->plain_service = catalog_add_service (b, &plain_service);
  fx->catalog = catalog_finish (b);
  fx->n_hosts = hosts;
  fx->n_servers = servers;
  fx->now_ms = 100000;
  rng_seed (&fx->rng, 1);
  for (int i = 0; i < hosts; i++)
    {
      DispatchOptions options = { .host = HOSTS[i].name,
                                  .data_centre = "d",
                                  .region = "d",
                                  .region_of = region_of,
                                  .retries = { 0.2, 10000, 40 },
                                  .seed = (uint64_t)i,
                                  .policy = policy };

      fx->hosts[i] = dispatch_new (fx, &options);
      dispatch_set_hosts (fx->hosts[i], HOSTS, (size_t)hosts, 0);
    }
  for (int i = 0; i < servers; i++)
    dispatch_fixture_publish (fx, i, false);
  return fx;
}

void
dispatch_fixture_free (DispatchFixture *fx)
{
  catalog_unref (fx->catalog);
  talloc_free (fx);
}

static ServerRecord
record_of (DispatchFixture *fx, int server, bool draining)
{
  char *id = fx->servers[server].id;

  snprintf (id, sizeof fx->servers[server].id, "server-%d", server);
  return (ServerRecord){ .id = id,
                         .service = "engine",
                         .address = id,
                         .data_centre = "d",
                         .version = "v1",
                         .slots = 64,
                         .draining = draining };
}

void
dispatch_fixture_publish (DispatchFixture *fx, int server, bool draining)
{
  ServerRecord record = record_of (fx, server, draining);

  for (int i = 0; i < fx->n_hosts; i++)
    dispatch_server_changed (fx->hosts[i], &record, fx->now_ms);
}

void
dispatch_fixture_remove (DispatchFixture *fx, int server, bool confirmed)
{
  for (int i = 0; i < fx->n_hosts; i++)
    dispatch_server_removed (fx->hosts[i], fx->servers[server].id, confirmed ? 0 : 2000,
                             fx->now_ms);
}

void
dispatch_fixture_query (DispatchFixture *fx, DispatchQuery *q, PromptPart parts[3],
                        uint64_t session, Tokens shared, Tokens own)
{
  parts[0] = (PromptPart){ 7, 100 };
  parts[1] = (PromptPart){ session, shared };
  parts[2] = (PromptPart){ rng_next (&fx->rng), own };
  *q = (DispatchQuery){ .service = fx->engine_service,
                        .now_ms = fx->now_ms,
                        .prompt_tokens = session ? 100 + shared + own : own,
                        .max_tokens = 500,
                        .parts = parts,
                        .n_parts = session ? 3 : 0 };
}

static bool
has_cached (const DispatchFixtureServer *s, uint64_t part)
{
  for (int i = 0; i < s->n_cached_parts; i++)
    if (s->cached_parts[i] == part)
      return true;
  return false;
}

/* Processes the parts that the server has not cached. @return their tokens. */
static Tokens
prefill (DispatchFixture *fx, DispatchFixtureServer *s, const DispatchQuery *q)
{
  Tokens tokens = q->prompt_tokens;

  for (size_t i = 0; i + 1 < q->n_parts; i++)
    {
      bool cached_on_another_server = false;

      if (has_cached (s, q->parts[i].id))
        {
          tokens -= q->parts[i].tokens;
          continue;
        }
      for (int k = 0; k < fx->n_servers; k++)
        cached_on_another_server |= has_cached (&fx->servers[k], q->parts[i].id);
      if (cached_on_another_server)
        s->repeated_prefill_tokens += q->parts[i].tokens;
      if (s->n_cached_parts < 64)
        s->cached_parts[s->n_cached_parts++] = q->parts[i].id;
    }
  return tokens;
}

double
dispatch_fixture_send (DispatchFixture *fx, int host, uint64_t session, Tokens shared, Tokens own)
{
  PromptPart parts[3];
  DispatchQuery q;
  Err err = ERR_INIT;
  Assignment *a;
  DispatchFixtureServer *s;
  Tokens tokens;
  double start_ms;
  double first_ms;

  dispatch_fixture_query (fx, &q, parts, session, shared, own);
  a = dispatch_pick (fx->hosts[host], fx, &q, &err);
  if (!a)
    return -1;
  s = &fx->servers[atoi (assignment_server (a) + strlen ("server-"))];
  tokens = prefill (fx, s, &q);
  start_ms = s->idle_from_ms > (double)fx->now_ms ? s->idle_from_ms : (double)fx->now_ms;
  s->idle_from_ms = start_ms + (double)tokens / TOKENS_PER_MS;
  s->prefilled_tokens += tokens;
  s->requests++;
  first_ms = s->idle_from_ms + FIRST_TOKEN_MS - (double)fx->now_ms;
  assignment_report_first_event (a, fx->now_ms + (int64_t)first_ms);
  assignment_end (a, ASSIGNMENT_COMPLETED, fx->now_ms + (int64_t)first_ms);
  return first_ms;
}
