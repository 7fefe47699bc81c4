#include "dispatch_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#define TOKENS_PER_MS 55.0
#define BASE_MS       30.0

static const char *
region_of (void *data, const char *data_centre)
{
  (void)data;
  return data_centre;
}

DispatchFixture *
dispatch_fixture_new (int hosts, int servers, const char *policy)
{
  DispatchFixture *w = talloc_zero (NULL, DispatchFixture);
  CatalogBuilder *b = catalog_builder_new (NULL, 1);
  CatalogService engine = { .name = "engine", .is_engine = true, .connection_limit = 400 };
  CatalogService plain = { .name = "plain", .connection_limit = 40 };

  w->engine = catalog_add_service (b, &engine);
  w->plain = catalog_add_service (b, &plain);
  w->catalog = catalog_finish (b);
  w->n_hosts = hosts;
  w->n_servers = servers;
  w->now_ms = 100000;
  rng_seed (&w->rng, 1);
  for (int i = 0; i < hosts; i++)
    {
      DispatchOptions options = { .data_centre = "d",
                                  .region = "d",
                                  .region_of = region_of,
                                  .retries = { 0.2, 10000, 40 },
                                  .seed = (uint64_t)i,
                                  .policy = policy };

      w->hosts[i] = dispatch_new (w, &options);
      dispatch_set_hosts (w->hosts[i], hosts);
    }
  for (int i = 0; i < servers; i++)
    dispatch_fixture_publish (w, i, false);
  return w;
}

void
dispatch_fixture_free (DispatchFixture *w)
{
  catalog_unref (w->catalog);
  talloc_free (w);
}

static ServerRecord
record_of (DispatchFixture *w, int server, bool draining)
{
  char *id = w->servers[server].id;

  snprintf (id, sizeof w->servers[server].id, "server-%d", server);
  return (ServerRecord){ .id = id,
                         .service = "engine",
                         .address = id,
                         .data_centre = "d",
                         .version = "v1",
                         .slots = 64,
                         .draining = draining };
}

void
dispatch_fixture_publish (DispatchFixture *w, int server, bool draining)
{
  ServerRecord record = record_of (w, server, draining);

  for (int i = 0; i < w->n_hosts; i++)
    dispatch_server_changed (w->hosts[i], &record, w->now_ms);
}

void
dispatch_fixture_remove (DispatchFixture *w, int server, bool confirmed)
{
  for (int i = 0; i < w->n_hosts; i++)
    dispatch_server_removed (w->hosts[i], w->servers[server].id, confirmed, w->now_ms);
}

void
dispatch_fixture_query (DispatchFixture *w, DispatchQuery *q, PromptPart parts[3], uint64_t session,
                        Tokens shared, Tokens own)
{
  parts[0] = (PromptPart){ 7, 100 };
  parts[1] = (PromptPart){ session, shared };
  parts[2] = (PromptPart){ rng_next (&w->rng), own };
  *q = (DispatchQuery){ .service = w->engine,
                        .now_ms = w->now_ms,
                        .objective_ms = 1000,
                        .prompt_tokens = session ? 100 + shared + own : own,
                        .max_tokens = 500,
                        .parts = parts,
                        .n_parts = session ? 3 : 0 };
}

static bool
holds (const FixtureServer *s, uint64_t part)
{
  for (int i = 0; i < s->n_held; i++)
    if (s->held[i] == part)
      return true;
  return false;
}

/* Reads what it does not hold. @return the tokens. */
static Tokens
read_parts (DispatchFixture *w, FixtureServer *s, const DispatchQuery *q)
{
  Tokens tokens = q->prompt_tokens;

  for (size_t i = 0; i + 1 < q->n_parts; i++)
    {
      bool read_elsewhere = false;

      if (holds (s, q->parts[i].id))
        {
          tokens -= q->parts[i].tokens;
          continue;
        }
      for (int k = 0; k < w->n_servers; k++)
        read_elsewhere |= holds (&w->servers[k], q->parts[i].id);
      if (read_elsewhere)
        s->tokens_read_again += q->parts[i].tokens;
      if (s->n_held < 64)
        s->held[s->n_held++] = q->parts[i].id;
    }
  return tokens;
}

double
dispatch_fixture_send (DispatchFixture *w, int host, uint64_t session, Tokens shared, Tokens own)
{
  PromptPart parts[3];
  DispatchQuery q;
  Err err = ERR_INIT;
  Assignment *f;
  FixtureServer *s;
  Tokens tokens;
  double start;
  double first;

  dispatch_fixture_query (w, &q, parts, session, shared, own);
  f = dispatch_pick (w->hosts[host], w, &q, &err);
  if (!f)
    return -1;
  s = &w->servers[atoi (assignment_server (f) + strlen ("server-"))];
  tokens = read_parts (w, s, &q);
  start = s->free_at_ms > (double)w->now_ms ? s->free_at_ms : (double)w->now_ms;
  s->free_at_ms = start + (double)tokens / TOKENS_PER_MS;
  s->tokens_read += tokens;
  s->requests++;
  first = s->free_at_ms + BASE_MS - (double)w->now_ms;
  assignment_first_event (f, w->now_ms + (int64_t)first);
  assignment_end (f, ASSIGNMENT_COMPLETED, w->now_ms + (int64_t)first);
  return first;
}
