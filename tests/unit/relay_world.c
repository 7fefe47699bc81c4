#include "relay_world.h"

#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "platform/platform_dialect.h"

#define ACCOUNT "klubbarna"
#define SERVERS 3

static const char *
region_of (void *data, const char *data_centre)
{
  (void)data;
  return data_centre;
}

/* --- The caller -------------------------------------------------------------------------- */

static void
note_head (RelayWorld *w, int status, const RelayHeader *headers, size_t n)
{
  w->answers++;
  w->status = status;
  for (size_t i = 0; i < n; i++)
    w->headers = talloc_asprintf_append (w->headers, "%s: %s\n", headers[i].name, headers[i].value);
}

static void
answer (void *data, int status, const RelayHeader *headers, size_t n, const char *body, size_t len)
{
  RelayWorld *w = data;

  note_head (w, status, headers, n);
  w->body = talloc_strndup_append (w->body, body, len);
}

static void
begin (void *data, int status, const RelayHeader *headers, size_t n)
{
  note_head (data, status, headers, n);
}

static bool
write_bytes (void *data, const char *bytes, size_t len)
{
  RelayWorld *w = data;

  w->body = talloc_strndup_append (w->body, bytes, len);
  return !w->blocked;
}

static void
end (void *data)
{
  ((RelayWorld *)data)->ended = true;
}

static void
abort_call (void *data)
{
  ((RelayWorld *)data)->aborted = true;
}

static void
released (void *data)
{
  ((RelayWorld *)data)->relay = NULL;
}

static const RelayCaller CALLER = { answer, begin, write_bytes, end, abort_call, released };

/* --- Set-up ------------------------------------------------------------------------------ */

static void
post (void *target, LoopFn fn, void *data)
{
  RelayWorld *w = target;

  timers_start (w->deps.timers, w->budgets, 0, fn, data);
}

static void
add_servers (RelayWorld *w)
{
  for (int i = 0; i < SERVERS; i++)
    {
      char id[24];
      ServerRecord record = { .id = id,
                              .service = w->service->name,
                              .address = id,
                              .data_centre = "d",
                              .version = "v1",
                              .slots = 8 };

      snprintf (id, sizeof id, "server-%d", i);
      dispatch_server_changed (w->dispatch, &record, timers_now_ms (w->deps.timers));
    }
}

RelayWorld *
relay_world_new (CallKind kind)
{
  RelayWorld *w = talloc_zero (NULL, RelayWorld);
  CatalogBuilder *b = catalog_builder_new (NULL, 1);
  CatalogService service = { .name = "service", .connection_limit = 100 };
  DispatchOptions dispatch = { .data_centre = "d",
                               .region = "d",
                               .region_of = region_of,
                               .retries = { 0.2, 10000, 40 },
                               .policy = "cost" };

  w->service = catalog_add_service (b, &service);
  w->catalog = catalog_finish (b);
  w->budgets = budget_fixture_new (1, 1);
  budget_fixture_configure (w->budgets, ACCOUNT, RELAY_WORLD_BUDGET, 1);
  w->backend = fake_backend_new (w);
  w->dispatch = dispatch_new (w, &dispatch);
  dispatch_set_hosts (w->dispatch, 1);
  w->body = talloc_strdup (w, "");
  w->headers = talloc_strdup (w, "");
  w->pool = (AnswerPool){ .most = 1 << 20 };
  w->deps = (RelayDeps){ .timers = w->budgets->timers,
                         .poster = { post, w },
                         .backend = &w->backend->backend,
                         .dispatch = w->dispatch,
                         .budgets = w->budgets->hosts[0].budgets,
                         .dialect = platform_dialect (),
                         .max_answer = 4096,
                         .answers = &w->pool };
  w->request = (RelayRequest){ .id = "r-1",
                               .method = "POST",
                               .target = "/p/1",
                               .host = "h",
                               .body = "",
                               .service = w->service,
                               .account = ACCOUNT,
                               .limited = true,
                               .kind = kind,
                               .repeatable = kind == CALL_IDEMPOTENT,
                               .max_attempts = 3,
                               .patience_ms = 5000,
                               .timeout_ms = 4000,
                               .objective_ms = 500,
                               .prompt_tokens = 100,
                               .max_tokens = 50,
                               .event_tokens = 5 };
  add_servers (w);
  return w;
}

void
relay_world_leave (RelayWorld *w)
{
  Relay *relay = w->relay;

  w->relay = NULL;
  relay_caller_gone (relay);
}

void
relay_world_free (RelayWorld *w)
{
  if (w->relay)
    relay_world_leave (w);
  TALLOC_FREE (w->dispatch);
  talloc_free (w->budgets);
  catalog_unref (w->catalog);
  talloc_free (w);
}

void
relay_world_start (RelayWorld *w)
{
  w->relay = relay_new (&w->deps, talloc_new (NULL), &w->request, timers_now_ms (w->deps.timers),
                        &CALLER, w);
  relay_world_run (w, 100);
}

void
relay_world_run (RelayWorld *w, int64_t ms)
{
  budget_fixture_run (w->budgets, ms);
}

FakeBackendCall *
relay_world_call (const RelayWorld *w)
{
  return w->backend->calls[w->backend->n_calls - 1];
}

void
relay_world_head (RelayWorld *w, int status)
{
  static const char *const HEADERS[] = { "X-Request-Id", "r-1", "X-Response-Seal", "s", NULL };

  fake_backend_head (relay_world_call (w), status, HEADERS);
}

bool
relay_world_can_claim (RelayWorld *w, Tokens tokens)
{
  BudgetReservation claim;
  bool served;

  budget_fixture_reserve (w->budgets, 0, ACCOUNT, tokens, &claim);
  relay_world_run (w, 2000);
  served = claim.answered && claim.err == ERR_NONE;
  if (claim.handle)
    budget_fixture_settle (w->budgets, &claim, 0);
  return served;
}
