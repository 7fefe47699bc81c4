#include "relay_fixture.h"

#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "harness.h"
#include "room_fixture.h"
#include "platform/platform_dialect.h"
#include "relay/relay_impl.h"

#define ACCOUNT "klubbarna"
#define SERVERS 3

static const char *
region_of (void *data, const char *data_centre)
{
  (void)data;
  return data_centre;
}

/* --- Client ------------------------------------------------------------------------------ */

static void
record_head (RelayFixture *f, int status, const RelayHeader *headers, size_t n)
{
  f->n_responses++;
  f->status = status;
  for (size_t i = 0; i < n; i++)
    f->headers = talloc_asprintf_append (f->headers, "%s: %s\n", headers[i].name, headers[i].value);
}

static void
respond (void *data, int status, const RelayHeader *headers, size_t n, const char *body, size_t len)
{
  RelayFixture *f = data;

  record_head (f, status, headers, n);
  f->body = talloc_strndup_append (f->body, body, len);
}

static void
begin_stream (void *data, int status, const RelayHeader *headers, size_t n)
{
  record_head (data, status, headers, n);
}

static bool
write_stream (void *data, const char *bytes, size_t len)
{
  RelayFixture *f = data;

  f->body = talloc_strndup_append (f->body, bytes, len);
  return !f->blocked;
}

static void
end_stream (void *data)
{
  ((RelayFixture *)data)->ended = true;
}

static void
abort_stream (void *data)
{
  ((RelayFixture *)data)->aborted = true;
}

static void
on_released (void *data)
{
  ((RelayFixture *)data)->relay = NULL;
}

static void
keep (void *data, void *object)
{
  RelayFixture *f = data;

  f->kept = talloc_steal (f, object);
}

static const RelayClientOps CLIENT_OPS
    = { respond, begin_stream, write_stream, end_stream, abort_stream, on_released, keep };

/* --- Set-up ------------------------------------------------------------------------------ */

static void
post (void *target, LoopFn fn, void *data)
{
  RelayFixture *f = target;

  timers_start (f->deps.timers, f->budgets, 0, fn, data);
}

void
relay_fixture_publish (RelayFixture *f, int server, const char *version, int64_t started_ms,
                       bool draining)
{
  char id[24];
  ServerRecord record = { .id = id,
                          .service = f->service->name,
                          .address = id,
                          .data_centre = "d",
                          .version = version,
                          .slots = 8,
                          .order_unknown = f->order_unknown,
                          .draining = draining,
                          .started_ms = started_ms };

  snprintf (id, sizeof id, "server-%d", server);
  dispatch_server_changed (f->dispatch, &record, timers_now_ms (f->deps.timers));
}

static void
add_servers (RelayFixture *f)
{
  for (int i = 0; i < SERVERS; i++)
    relay_fixture_publish (f, i, "v1", 0, false);
}

RelayFixture *
relay_fixture_new (CallKind kind)
{
  RelayFixture *f = talloc_zero (NULL, RelayFixture);
  CatalogBuilder *b = catalog_builder_new (NULL, 1);
  CatalogService service = { .name = "service", .health_path = "/health", .connection_limit = 100 };
  static const ListedHost HOST = { "host", "d", "d" };
  DispatchOptions dispatch = { .host = HOST.name,
                               .data_centre = "d",
                               .region = "d",
                               .region_of = region_of,
                               .retries = { 0.2, 10000, 40 },
                               .policy = "cost" };

  f->service = catalog_add_service (b, &service);
  f->catalog = catalog_finish (b);
  f->budgets = budget_fixture_new (1, 1);
  budget_fixture_configure (f->budgets, ACCOUNT, RELAY_FIXTURE_BUDGET, 1);
  f->backend = fake_backend_new (f);
  f->dispatch = dispatch_new (f, &dispatch);
  dispatch_set_hosts (f->dispatch, &HOST, 1, 0);
  f->quarantine = quarantine_new (f, &(QuarantineOptions){ .seed = 1 });
  f->body = talloc_strdup (f, "");
  f->headers = talloc_strdup (f, "");
  f->deps = (RelayDeps){ .timers = f->budgets->timers,
                         .executor = { post, f },
                         .backend = &f->backend->backend,
                         .dispatch = f->dispatch,
                         .quarantine = f->quarantine,
                         .budgets = f->budgets->hosts[0].budgets,
                         .dialect = platform_dialect (),
                         .max_response_bytes = 4096,
                         .response_room = room_fixture_new (f, f->budgets->timers) };
  f->request = (RelayRequest){ .id = "r-1",
                               .method = "POST",
                               .target = "/p/1",
                               .host = "h",
                               .body = "",
                               .service = f->service,
                               .account = ACCOUNT,
                               .has_budget = true,
                               .kind = kind,
                               .repeatable = kind == CALL_IDEMPOTENT,
                               .max_attempts = 3,
                               .client_timeout_ms = 5000,
                               .route_timeout_ms = 4000,
                               .target_latency_ms = 500,
                               .prompt_tokens = 100,
                               .max_tokens = 50,
                               .event_tokens = 5 };
  add_servers (f);
  return f;
}

void
relay_fixture_disconnect_client (RelayFixture *f)
{
  Relay *relay = f->relay;

  f->relay = NULL;
  relay_client_gone (relay);
}

void
relay_fixture_free (RelayFixture *f)
{
  if (f->relay)
    relay_fixture_disconnect_client (f);
  TALLOC_FREE (f->dispatch);
  talloc_free (f->budgets);
  catalog_unref (f->catalog);
  talloc_free (f);
}

void
relay_fixture_start (RelayFixture *f)
{
  f->relay = relay_new (&f->deps, talloc_new (NULL), &f->request, timers_now_ms (f->deps.timers),
                        &CLIENT_OPS, f);
  if (f->relay && f->required_version)
    {
      CU_ASSERT_EQUAL (f->backend->n_calls, 0);
      relay_require_version (f->relay, f->required_version);
    }
  relay_fixture_run (f, 100);
}

void
relay_fixture_run (RelayFixture *f, int64_t ms)
{
  budget_fixture_run (f->budgets, ms);
}

FakeBackendCall *
relay_fixture_last_call (const RelayFixture *f)
{
  return f->backend->calls[f->backend->n_calls - 1];
}

void
relay_fixture_send_head (RelayFixture *f, int status)
{
  static const char *const HEADERS[] = { "X-Request-Id", "r-1", "X-Response-Seal", "s", NULL };

  fake_backend_send_head (relay_fixture_last_call (f), status, HEADERS);
}

bool
relay_fixture_can_reserve (RelayFixture *f, Tokens tokens)
{
  BudgetReservation reservation;
  bool served;

  budget_fixture_reserve (f->budgets, 0, ACCOUNT, tokens, &reservation);
  relay_fixture_run (f, 2000);
  served = reservation.decided && reservation.err == ERR_NONE;
  if (reservation.handle)
    budget_fixture_settle (f->budgets, &reservation, 0);
  return served;
}
