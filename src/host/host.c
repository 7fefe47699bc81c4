#include "host/host.h"

#include <inttypes.h>
#include <string.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/log.h"
#include "host/host_impl.h"
#include "native/native_dialect.h"
#include "platform/platform_dialect.h"
#include "platform/platform_config_source.h"
#include "platform/platform_store.h"
#include "store/store_watch.h"
#include "ticket/ticket_source.h"

#define STORE_CALL_TIMEOUT_MS 1200
#define TICK_MS               100
#define CONNECT_TIMEOUT_MS    400
#define MAX_RESPONSE_BYTES    ((size_t)4 << 20)

/* Bounds of the long poll for configuration changes, see config_wait_ms(). */
#define CONFIG_WAIT_MARGIN_MS 800
#define MAX_CONFIG_WAIT_MS    3000

/* Values of BudgetPolicy (budget/account.h), with which a host holds enough tokens to serve its own demand during
 * an outage of the store. */
#define BUDGET_HORIZON_MS                    11000
#define BUDGET_CEILING_MARGIN_MS             500
#define BUDGET_CEILING_MARGIN_WHILE_AMPLE_MS 2200
#define BUDGET_BUFFER_MS                     2500
#define BUDGET_AMPLE_PCT                     50
#define BUDGET_OUTAGE_MS                     8000
#define BUDGET_MAX_HELD_PCT                  85

/* --- Events ------------------------------------------------------------------------------ */

/* Log lines on the regions of one configuration. */
#define MAX_REGION_LINES 8

typedef struct
{
  const Host *host;
  int n_unknown;
} RegionReport;

/* A region without a data centre has no servers: requests that may be served only there are refused. */
static void
report_unknown_region (void *data, const char *region)
{
  RegionReport *report = data;
  const Host *h = report->host;
  char word[64];

  for (size_t i = 0; i < h->settings->n_data_centres; i++)
    if (!strcmp (h->settings->data_centres[i].region, region))
      return;
  counter_add (counter_get ("pond_regions_unknown_total", "",
                            "Regions that configurations name and no data centre is in."),
               1);
  if (report->n_unknown++ < MAX_REGION_LINES)
    log_event (LOG_LEVEL_WARNING, "catalog", "region_unknown", "region=%s",
               log_word (word, sizeof word, region));
}

static void
report_regions (Host *h, const Catalog *catalog)
{
  size_t unreadable = catalog_n_unreadable_regions (catalog);
  RegionReport report = { .host = h };

  catalog_each_region (catalog, report_unknown_region, &report);
  if (unreadable == 0)
    return;
  counter_add (counter_get ("pond_regions_unreadable_total", "",
                            "Routes and client accounts whose regions could not be read."),
               (int64_t)unreadable);
  log_event (LOG_LEVEL_WARNING, "catalog", "regions_unreadable", "version=%" PRId64 " entries=%zu",
             catalog_version (catalog), unreadable);
}

static void
on_catalog (void *data, const Catalog *catalog)
{
  Host *h = data;
  const CatalogLimits *limits;

  if (!current_catalog_set (h->catalog, catalog))
    return;
  catalog = current_catalog_get (h->catalog);
  limits = catalog_limits (catalog);
  report_regions (h, catalog);
  budgets_configure (h->budgets, catalog);
  if (limits->idle_timeout_ms > 0)
    frontend_set_timeouts (h->frontend, limits->header_timeout_ms, limits->idle_timeout_ms);
  catalog_unref (catalog);
}

static void
on_data_centre_evacuated (void *data, const char *data_centre, bool evacuated)
{
  Host *h = data;

  dispatch_set_evacuated (h->dispatch, data_centre, evacuated, host_now_ms (h));
}

static const ConfigSourceEvents CONFIG_SOURCE_EVENTS
    = { .catalog = on_catalog,
        .server = host_on_server_changed,
        .server_removed = host_on_server_removed,
        .data_centre_evacuated = on_data_centre_evacuated };

const char *
host_region_of (void *data, const char *data_centre)
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

  timers_start (loop_timers (h->loop), h, TICK_MS, on_tick, h);
  dispatch_expire (h->dispatch, host_now_ms (h));
  quarantine_tick (h->quarantine, host_now_ms (h));
  host_update_rotation_and_gate (h);
  host_share_loads (h);
  if (h->drain_started_ms)
    host_advance_drain (h);
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
      = { .address = h->settings->platform_address, .call_timeout_ms = STORE_CALL_TIMEOUT_MS };

  h->store_client = http_client_new (h, h->loop);
  options.client = h->store_client;
  h->store = platform_store_new (h, &options);
}

static void
make_dispatch_and_budgets (Host *h)
{
  const Settings *s = h->settings;
  DispatchOptions dispatch = { .host = s->host_name,
                               .data_centre = s->data_centre,
                               .region = s->region,
                               .region_of = host_region_of,
                               .region_data = h,
                               .retries = { .ratio = s->retry_share,
                                            .window_ms = s->retry_window_ms,
                                            .allowance = s->retry_allowance },
                               .cold_overshoot = s->cold_overshoot,
                               .cold_slack = s->cold_slack,
                               .policy = s->balancing_policy,
                               .parts = s->placing,
                               .server_draining = host_on_server_draining,
                               .server_draining_data = h,
                               .server_limited = host_on_server_limited,
                               .server_limited_data = h,
                               .server_ended = host_on_server_ended,
                               .server_ended_data = h,
                               .seed = h->incarnation };
  BudgetsOptions budgets
      = { .host = s->host_name,
          .incarnation = h->incarnation,
          .store = h->store,
          .timers = loop_timers (h->loop),
          .step_executor = loop_executor (h->loop),
          .rng = &h->rng,
          .peers = h->peers ? peer_tcp_transport (h->peers) : NULL,
          .policy = { .horizon_ms = BUDGET_HORIZON_MS,
                      .ceiling_margin_ms = BUDGET_CEILING_MARGIN_MS,
                      .ceiling_margin_while_ample_ms = BUDGET_CEILING_MARGIN_WHILE_AMPLE_MS,
                      .buffer_ms = BUDGET_BUFFER_MS,
                      .ample_pct = BUDGET_AMPLE_PCT,
                      .covered_outage_ms = BUDGET_OUTAGE_MS,
                      .max_held_pct = BUDGET_MAX_HELD_PCT } };

  retry_limits_hold_back (&dispatch.retries, host_now_ms (h));
  h->catalog = current_catalog_new (h);
  host_make_quarantine (h);
  host_make_streams (h);
  h->dispatch = dispatch_new (h, &dispatch);
  host_make_load_sharing (h);
  h->overload = overload_new (h, h->incarnation);
  h->budgets = budgets_new (h, &budgets);
}

static bool
make_frontend (Host *h)
{
  const Settings *s = h->settings;
  FrontendOptions options = { .listen = s->listen_clients,
                              .workers = (unsigned)s->threads,
                              .max_connections = (unsigned)s->max_streams,
                              .memory_bytes = (size_t)s->memory_bytes,
                              .max_header_bytes = (size_t)s->max_header_bytes,
                              .max_body_bytes = (size_t)s->max_body_bytes,
                              .read_timeout_ms = s->request_read_timeout_ms,
                              .idle_timeout_ms = s->request_read_timeout_ms,
                              .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                              .max_response_bytes = MAX_RESPONSE_BYTES,
                              .charge_failed = s->charge_failed,
                              .control_loop = h->loop,
                              .catalog = h->catalog,
                              .dispatch = h->dispatch,
                              .overload = h->overload,
                              .quarantine = h->quarantine,
                              .streams = h->streams,
                              .budgets = h->budgets,
                              .reach = h->reach };

  options.dialect = s->platform_interface ? platform_dialect ()
                                          : native_dialect_new (h, s->host_name, h->incarnation);
  h->room.max_connections = (size_t)s->max_streams;
  h->frontend = frontend_new (h, &options);
  return h->frontend != NULL;
}

static bool
make_operator_and_readiness_servers (Host *h)
{
  const Settings *s = h->settings;
  OperatorServerOptions options = { .listen = s->listen_operators,
                                    .is_ready = host_is_ready,
                                    .state_json = host_state_json,
                                    .summary_json = host_summary_json,
                                    .start_drain = on_drain_request,
                                    .budget_json = host_budget_json,
                                    .data = h };

  h->operator_server = operator_server_new (h, h->loop, &options);
  if (!h->operator_server)
    {
      log_event (LOG_LEVEL_CRIT, "host", "cannot_listen", "address=%s", s->listen_operators);
      return false;
    }
  if (!s->listen_readiness[0])
    return true;
  h->readiness_server = readiness_server_new (h, h->loop, s->listen_readiness, host_is_ready, h);
  if (!h->readiness_server)
    log_event (LOG_LEVEL_CRIT, "host", "cannot_listen", "address=%s", s->listen_readiness);
  return h->readiness_server != NULL;
}

/* A dead connection is noticed only when a call on it times out. The long poll is short enough that this happens
 * within platform_unresponsive_ms, except for values too low for the minimum wait. */
static int64_t
config_wait_ms (const Settings *s)
{
  int64_t ms = s->platform_unresponsive_ms - STORE_CALL_TIMEOUT_MS - CONFIG_WAIT_MARGIN_MS;

  if (ms < STORE_WATCH_DEFAULT_LONG_POLL_MS)
    return STORE_WATCH_DEFAULT_LONG_POLL_MS;
  return ms < MAX_CONFIG_WAIT_MS ? ms : MAX_CONFIG_WAIT_MS;
}

static void
start_config_and_registry (Host *h)
{
  const Settings *s = h->settings;
  ConfigSourceOptions source = { .store = h->store,
                                 .timers = loop_timers (h->loop),
                                 .rng = &h->rng,
                                 .config_wait_ms = config_wait_ms (s),
                                 .events = &CONFIG_SOURCE_EVENTS,
                                 .data = h };
  RegistryOptions registry = { .store = h->store,
                               .timers = loop_timers (h->loop),
                               .rng = &h->rng,
                               .host = s->host_name,
                               .data_centre = s->data_centre,
                               .operator_address = s->listen_operators,
                               .peer_address = s->listen_peers,
                               .tunnel_address = s->listen_tunnels,
                               .incarnation = h->incarnation,
                               .changed = host_on_hosts_changed,
                               .data = h };

  host_keep_stream_rows (h);
  h->config_source = s->platform_interface ? platform_config_source_new (h, &source)
                                           : ticket_source_new (h, &source);
  h->registry = registry_new (h, &registry);
  host_watch_quarantine (h);
}

/* Components are freed before those that they use: the frontend's requests use the components after it, and their
 * store calls use the store client. */
static int
host_destroy (Host *h)
{
  TALLOC_FREE (h->frontend);
  TALLOC_FREE (h->tunnel_server);
  TALLOC_FREE (h->prober);
  TALLOC_FREE (h->reach);
  TALLOC_FREE (h->readiness_server);
  TALLOC_FREE (h->operator_server);
  TALLOC_FREE (h->config_source);
  TALLOC_FREE (h->registry);
  TALLOC_FREE (h->quarantine_rows);
  TALLOC_FREE (h->stream_rows);
  TALLOC_FREE (h->budgets);
  TALLOC_FREE (h->peers);
  TALLOC_FREE (h->store);
  TALLOC_FREE (h->store_client);
  return 0;
}

Host *
host_new (const void *ctx, Loop *loop, const Settings *settings)
{
  Host *h = talloc_zero (ctx, Host);

  talloc_set_destructor (h, host_destroy);
  h->loop = loop;
  h->settings = settings;
  /* The start time in wall-clock milliseconds: a restarted host has another incarnation. */
  h->incarnation = (uint64_t)timers_wall_ms (loop_timers (loop));
  rng_seed (&h->rng, h->incarnation);
  make_store (h);
  if (!host_make_peer_transport (h))
    {
      talloc_free (h);
      return NULL;
    }
  make_dispatch_and_budgets (h);
  if (!host_make_reach (h) || !make_frontend (h) || !make_operator_and_readiness_servers (h))
    {
      talloc_free (h);
      return NULL;
    }
  host_init_rotation_and_gate (h);
  start_config_and_registry (h);
  timers_start (loop_timers (loop), h, TICK_MS, on_tick, h);
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
