#include "host/host.h"

#include <inttypes.h>
#include <string.h>

#include <talloc.h>

#include "core/log.h"
#include "host/host_parts.h"
#include "native/native_dialect.h"
#include "platform/platform_dialect.h"
#include "platform/platform_source.h"
#include "platform/platform_store.h"
#include "store/store_watch.h"
#include "ticket/ticket_source.h"

#define STORE_CALL_MS      1200
#define SILENCE_MARGIN_MS  800
#define LONGEST_WAIT_MS    3000
#define TICK_MS            100
#define CONNECT_TIMEOUT_MS 400
#define MAX_ANSWER_BYTES   ((size_t)4 << 20)

/* Hosts that are assumed to share the limits before their number is known. */
#define ASSUMED_HOSTS 12

/* A host holds tokens for its own demand while it may be cut off from the store. */
#define BUDGET_HORIZON_MS       11000
#define BUDGET_MARGIN_MS        500
#define BUDGET_PLENTY_MARGIN_MS 2200
#define BUDGET_RESERVE_MS       2500
#define BUDGET_PLENTY_PCT       50
#define BUDGET_CUT_MS           8000
#define BUDGET_HELD_PCT         85

/* --- Configuration and servers ----------------------------------------------------------- */

static void
on_catalog (void *data, const Catalog *catalog)
{
  Host *h = data;
  const CatalogLimits *limits;

  if (!current_catalog_set (h->catalog, catalog))
    return;
  catalog = current_catalog_get (h->catalog);
  limits = catalog_limits (catalog);
  budgets_configure (h->budgets, catalog);
  if (limits->idle_timeout_ms > 0)
    entry_set_timeouts (h->entry, limits->header_timeout_ms, limits->idle_timeout_ms);
  catalog_unref (catalog);
}

static const SourceEvents SOURCE_EVENTS = { on_catalog, host_on_server, host_on_server_removed };

static const char *
region_of (void *data, const char *data_centre)
{
  const Host *h = data;

  for (size_t i = 0; i < h->settings->n_data_centres; i++)
    if (!strcmp (h->settings->data_centres[i].name, data_centre))
      return h->settings->data_centres[i].region;
  return NULL;
}

static void
on_tick (void *data)
{
  Host *h = data;

  timers_start (loop_timers (h->control), h, TICK_MS, on_tick, h);
  dispatch_expire (h->dispatch, host_now_ms (h));
  host_update_rotation (h);
  if (h->drain_ms)
    host_step_drain (h);
  log_flush ();
}

static void
on_drain_request (void *data)
{
  host_drain (data);
}

/* --- Set-up ------------------------------------------------------------------------------ */

static void
make_store (Host *h)
{
  PlatformStoreOptions options
      = { .address = h->settings->platform_address, .call_timeout_ms = STORE_CALL_MS };

  h->client = http_client_new (h, h->control);
  options.client = h->client;
  h->store = platform_store_new (h, &options);
}

static void
make_decisions (Host *h)
{
  const Settings *s = h->settings;
  DispatchOptions dispatch = { .data_centre = s->data_centre,
                               .region = s->region,
                               .region_of = region_of,
                               .region_data = h,
                               .retries = { .ratio = s->retry_share,
                                            .window_ms = s->retry_window_ms,
                                            .allowance = s->retry_allowance },
                               .policy = s->balancing_policy,
                               .leaves = host_on_server_leaves,
                               .leaves_data = h,
                               .seed = h->incarnation };
  BudgetsOptions budgets = { .host = s->host_name,
                             .incarnation = h->incarnation,
                             .store = h->store,
                             .timers = loop_timers (h->control),
                             .control = loop_poster (h->control),
                             .rng = &h->rng,
                             .peers = h->peers ? peers_tcp_adapter (h->peers) : NULL,
                             .policy = { .horizon_ms = BUDGET_HORIZON_MS,
                                         .margin_ms = BUDGET_MARGIN_MS,
                                         .plenty_margin_ms = BUDGET_PLENTY_MARGIN_MS,
                                         .reserve_ms = BUDGET_RESERVE_MS,
                                         .plenty_pct = BUDGET_PLENTY_PCT,
                                         .cut_ms = BUDGET_CUT_MS,
                                         .held_pct = BUDGET_HELD_PCT } };

  h->catalog = current_catalog_new (h);
  h->dispatch = dispatch_new (h, &dispatch);
  h->budgets = budgets_new (h, &budgets);
  dispatch_set_hosts (h->dispatch, ASSUMED_HOSTS);
}

static bool
make_entry (Host *h)
{
  const Settings *s = h->settings;
  EntryOptions options = { .listen = s->listen_clients,
                           .workers = (unsigned)s->threads,
                           .max_connections = (unsigned)s->max_streams,
                           .max_header = (size_t)s->max_header_bytes,
                           .max_body = (size_t)s->max_body_bytes,
                           .read_timeout_ms = s->request_read_timeout_ms,
                           .idle_timeout_ms = s->request_read_timeout_ms,
                           .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                           .max_answer = MAX_ANSWER_BYTES,
                           .charges_failed = s->charge_failed,
                           .control = h->control,
                           .catalog = h->catalog,
                           .dispatch = h->dispatch,
                           .budgets = h->budgets };

  options.dialect = s->platform_interface ? platform_dialect ()
                                          : native_dialect_new (h, s->host_name, h->incarnation);
  h->entry = entry_new (h, &options);
  return h->entry != NULL;
}

static bool
make_control (Host *h)
{
  const Settings *s = h->settings;
  OperatorOptions options = { .listen = s->listen_operators,
                              .ready = host_is_ready,
                              .state = host_state_json,
                              .drain = on_drain_request,
                              .budget = host_budget_json,
                              .data = h };

  h->operators = operator_new (h, h->control, &options);
  if (!h->operators)
    {
      log_event (LOG_LEVEL_CRIT, "host", "cannot_listen", "address=%s", s->listen_operators);
      return false;
    }
  if (!s->listen_readiness[0])
    return true;
  h->readiness = readiness_new (h, h->control, s->listen_readiness, host_is_ready, h);
  if (!h->readiness)
    log_event (LOG_LEVEL_CRIT, "host", "cannot_listen", "address=%s", s->listen_readiness);
  return h->readiness != NULL;
}

/* A connection that went silent shows when a call on it has ended; new ones work then. */
static int64_t
config_wait_ms (const Settings *s)
{
  int64_t ms = s->platform_unresponsive_ms - STORE_CALL_MS - SILENCE_MARGIN_MS;

  if (ms < STORE_WATCH_WAIT_MS)
    return STORE_WATCH_WAIT_MS;
  return ms < LONGEST_WAIT_MS ? ms : LONGEST_WAIT_MS;
}

static void
start_following (Host *h)
{
  const Settings *s = h->settings;
  SourceOptions source = { .store = h->store,
                           .timers = loop_timers (h->control),
                           .rng = &h->rng,
                           .config_wait_ms = config_wait_ms (s),
                           .events = &SOURCE_EVENTS,
                           .data = h };
  RegistryOptions registry = { .store = h->store,
                               .timers = loop_timers (h->control),
                               .rng = &h->rng,
                               .host = s->host_name,
                               .data_centre = s->data_centre,
                               .operators = s->listen_operators,
                               .peers = s->listen_peers,
                               .incarnation = h->incarnation,
                               .changed = host_on_hosts,
                               .data = h };

  h->source
      = s->platform_interface ? platform_source_new (h, &source) : ticket_source_new (h, &source);
  h->registry = registry_new (h, &registry);
}

/* The entry's requests use the other parts, and the calls of those use the store's client. */
static int
host_destroy (Host *h)
{
  TALLOC_FREE (h->entry);
  TALLOC_FREE (h->readiness);
  TALLOC_FREE (h->operators);
  TALLOC_FREE (h->source);
  TALLOC_FREE (h->registry);
  TALLOC_FREE (h->budgets);
  TALLOC_FREE (h->peers);
  TALLOC_FREE (h->store);
  TALLOC_FREE (h->client);
  return 0;
}

Host *
host_new (const void *ctx, Loop *control, const Settings *settings)
{
  Host *h = talloc_zero (ctx, Host);

  talloc_set_destructor (h, host_destroy);
  h->control = control;
  h->settings = settings;
  /* Wall-clock milliseconds: a host that is started again has another incarnation. */
  h->incarnation = (uint64_t)timers_wall_ms (loop_timers (control));
  rng_seed (&h->rng, h->incarnation);
  make_store (h);
  if (!host_make_peers (h))
    {
      talloc_free (h);
      return NULL;
    }
  make_decisions (h);
  if (!make_entry (h) || !make_control (h))
    {
      talloc_free (h);
      return NULL;
    }
  host_start_rotation (h);
  start_following (h);
  timers_start (loop_timers (control), h, TICK_MS, on_tick, h);
  log_event (LOG_LEVEL_NOTICE, "host", "start",
             "host=%s data_centre=%s incarnation=%" PRIx64 " callers=%s operators=%s",
             settings->host_name, settings->data_centre, h->incarnation, settings->listen_clients,
             settings->listen_operators);
  return h;
}

void
host_reload (Host *h, const Settings *settings)
{
  log_event (LOG_LEVEL_NOTICE, "host", "reload", "host=%s", settings->host_name);
  log_set_level (settings->log_level);
  h->settings = settings;
}
