/* Taking over configurations of the users' platform: large ones in steps, newer ones that come meanwhile. */
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "fakes/virtual_timers.h"
#include "harness.h"
#include "platform/platform_catalog.h"
#include "platform/platform_config_source.h"
#include "platform/platform_servers.h"

#define N_ROUTES 6000

/* The shortest latency objective of the users' sites is 120 ms. A step may take a tenth of it on a host with 0.12
 * cores, where a route costs some 0.09 ms (docs/CAPACITY.md). */
#define MAX_ROUTES_PER_STEP 128

/* A busy host: the loop comes back to a timer that is due only after this time, and each look at the clock, of which each step
 * of the parser needs one, takes a moment. */
#define BUSY_TURN_MS 300
#define STEP_MS      8

/* Longer than the delay before the first retry of a watch. */
#define RETRY_MS 500

/* From the store's reply; a third of the time in which the users want a change in force. */
#define MAX_TAKEOVER_MS 800

/* The service that the source gets; passes everything on, with the delays of a busy host while @p busy is set. */
typedef struct
{
  Timers timers;
  VirtualTimers *vt;
  bool busy;
} BusyTimers;

/* A store with one open call of each watch, to which the test replies. */
typedef struct
{
  StoreCall *call;
  StoreFn fn;
  void *data;
} OpenCall;

typedef struct
{
  Store store;
  VirtualTimers *vt;
  BusyTimers busy;
  Rng rng;
  OpenCall config_call;
  OpenCall servers_call;
  ConfigSource *source;
  int64_t store_version;
  char in_force[128];  /* versions in the order in which they were reported */
  size_t n_routes;     /* of the last one */
  int64_t in_force_ms; /* when it was reported */
  char servers
      [128]; /* starts of the records of servers that were reported, "?" behind those of an unknown order */
  char evacuated[128]; /* changes in the order in which they were reported */
} Fixture;

static int64_t
busy_now_ms (Timers *timers)
{
  BusyTimers *b = (BusyTimers *)timers;

  if (b->busy)
    virtual_timers_run (b->vt, timers_now_ms (virtual_timers_service (b->vt)) + STEP_MS);
  return timers_now_ms (virtual_timers_service (b->vt));
}

static Timer *
busy_start (Timers *timers, const void *ctx, int64_t delay_ms, TimerFn fn, void *data)
{
  BusyTimers *b = (BusyTimers *)timers;

  return timers_start (virtual_timers_service (b->vt), ctx,
                       b->busy && delay_ms < BUSY_TURN_MS ? BUSY_TURN_MS : delay_ms, fn, data);
}

static const TimersOps BUSY_TIMERS_OPS = { busy_now_ms, busy_now_ms, busy_start };

struct StoreCall
{
  int unused;
};

static StoreCall *
start_call (Fixture *fx, const void *ctx, const char *table, StoreFn fn, void *data)
{
  OpenCall *c = strcmp (table, PLATFORM_CONFIG_TABLE) == 0 ? &fx->config_call : &fx->servers_call;

  *c = (OpenCall){ talloc_zero (ctx, StoreCall), fn, data };
  return c->call;
}

static StoreCall *
range (Store *store, const void *ctx, const StoreRange *r, StoreFn fn, void *data)
{
  return start_call ((Fixture *)store, ctx, r->table, fn, data);
}

static StoreCall *
feed (Store *store, const void *ctx, const StoreFeed *f, StoreFn fn, void *data)
{
  return start_call ((Fixture *)store, ctx, f->table, fn, data);
}

static const StoreOps OPS = { NULL, range, feed };

static void
on_catalog (void *data, const Catalog *catalog)
{
  Fixture *fx = data;
  size_t len = strlen (fx->in_force);

  snprintf (fx->in_force + len, sizeof fx->in_force - len, "%d ", (int)catalog_version (catalog));
  fx->n_routes = catalog_n_routes (catalog);
  fx->in_force_ms = timers_now_ms (virtual_timers_service (fx->vt));
  catalog_unref (catalog);
}

static void
on_evacuated (void *data, const char *data_centre, bool evacuated)
{
  Fixture *fx = data;
  size_t len = strlen (fx->evacuated);

  snprintf (fx->evacuated + len, sizeof fx->evacuated - len, "%s%s ", evacuated ? "+" : "-",
            data_centre);
}

static void
on_server (void *data, const ServerRecord *record)
{
  Fixture *fx = data;
  size_t len = strlen (fx->servers);

  snprintf (fx->servers + len, sizeof fx->servers - len, "%d%s ", (int)record->started_ms,
            record->order_unknown ? "?" : "");
}

static const ConfigSourceEvents EVENTS
    = { .catalog = on_catalog, .server = on_server, .data_centre_evacuated = on_evacuated };

static Fixture *
fixture_new (void)
{
  Fixture *fx = talloc_zero (NULL, Fixture);
  ConfigSourceOptions options
      = { .store = &fx->store, .rng = &fx->rng, .events = &EVENTS, .data = fx };

  fx->store.ops = &OPS;
  fx->vt = virtual_timers_new (fx, 1000);
  rng_seed (&fx->rng, 1);
  fx->busy = (BusyTimers){ .timers.ops = &BUSY_TIMERS_OPS, .vt = fx->vt };
  options.timers = &fx->busy.timers;
  fx->source = platform_config_source_new (fx, &options);
  return fx;
}

/* @return the text of a configuration whose last member is @p end. */
static char *
config_text (const void *ctx, int version, int n_routes, const char *end)
{
  char *text = talloc_asprintf (ctx, "{\"version\":%d,\"services\":[{\"name\":\"s\"}],\"routes\":[",
                                version);

  for (int i = 0; i < n_routes; i++)
    text = talloc_asprintf_append_buffer (
        text,
        "%s{\"name\":\"route-%d\",\"host\":\"host%d.example\",\"path_prefix\":\"/prefix%d/\","
        "\"kind\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":400,\"priority\":0,"
        "\"service\":\"s\",\"max_attempts\":2,\"allow_anonymous\":false,\"sticky\":true}",
        i ? "," : "", i, i % 3, i);
  return talloc_asprintf_append_buffer (text, "]%s}", end);
}

static void
reply_to (OpenCall *call, Fixture *fx, const StoreRow *rows, size_t n, StoreResult result)
{
  OpenCall c = *call;
  StoreReply reply = { .result = result, .rows = rows, .n_rows = n, .version = fx->store_version };

  talloc_steal (fx, c.call);
  c.fn (c.data, &reply);
  talloc_free (c.call);
}

/* The open call of the configuration's watch ends with these rows. */
static void
send_rows (Fixture *fx, const StoreRow *rows, size_t n, StoreResult result)
{
  reply_to (&fx->config_call, fx, rows, n, result);
}

static StoreRow
row_of (Fixture *fx, const char *name, const char *text)
{
  return (StoreRow){ .key = { PLATFORM_CONFIG_TABLE, "", name },
                     .version = ++fx->store_version,
                     .value = text,
                     .len = text ? strlen (text) : 0,
                     .removed = !text };
}

static void
send_row (Fixture *fx, const char *text)
{
  StoreRow row = row_of (fx, PLATFORM_CONFIG_ROW, text);

  send_rows (fx, &row, 1, STORE_DONE);
}

static void
send_config (Fixture *fx, int version, int n_routes)
{
  char *text = config_text (fx, version, n_routes, "");

  send_row (fx, text);
  talloc_free (text);
}

/* @return the number of steps of the loop until nothing is left to do. */
static int
run_until_idle (Fixture *fx)
{
  int n = 0;

  while (virtual_timers_step (fx->vt))
    n++;
  return n;
}

/* Guards against a loop that stands still, so that all clients of a small host wait, while a configuration of
 * thousands of routes is taken over. */
static void
large_configuration_is_taken_over_in_steps (void)
{
  Fixture *fx = fixture_new ();
  int steps;

  send_config (fx, 5, N_ROUTES);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "");
  steps = run_until_idle (fx);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "5 ");
  CU_ASSERT_EQUAL (fx->n_routes, N_ROUTES);
  CU_ASSERT (steps >= N_ROUTES / MAX_ROUTES_PER_STEP);
  talloc_free (fx);
}

/* Guards against a host that is slow to take over a change because it is busy: one step in each of its long turns. */
static void
large_configuration_is_in_force_in_time_on_a_busy_host (void)
{
  Fixture *fx = fixture_new ();
  int64_t received_ms = timers_now_ms (virtual_timers_service (fx->vt));

  fx->busy.busy = true;
  send_config (fx, 5, 1400);
  run_until_idle (fx);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "5 ");
  CU_ASSERT (fx->in_force_ms - received_ms <= MAX_TAKEOVER_MS);
  talloc_free (fx);
}

/* Guards against a host that serves nobody while it takes over a change: parsing takes no more time than the rest. */
static void
parsing_on_a_busy_host_takes_no_more_time_than_the_rest (void)
{
  Fixture *fx = fixture_new ();
  int64_t longest_ms = 0;
  bool more = true;

  fx->busy.busy = true;
  send_config (fx, 5, N_ROUTES);
  while (more)
    {
      int64_t due_ms = virtual_timers_next_ms (fx->vt);
      int64_t turn_ms;

      more = virtual_timers_step (fx->vt);
      turn_ms = more ? timers_now_ms (virtual_timers_service (fx->vt)) - due_ms : 0;
      longest_ms = turn_ms > longest_ms ? turn_ms : longest_ms;
    }
  CU_ASSERT_STRING_EQUAL (fx->in_force, "5 ");
  CU_ASSERT (longest_ms <= BUSY_TURN_MS + 2 * STEP_MS);
  talloc_free (fx);
}

/* Guards against one step that does the work of many, whatever the number of steps. */
static void
no_step_adds_many_routes (void)
{
  char *text = config_text (NULL, 5, N_ROUTES, "");
  PlatformCatalogParser *p = platform_catalog_parser_new (text, text, strlen (text));
  size_t before = 0;
  size_t most = 0;
  Err err = ERR_INIT;
  const Catalog *catalog;
  bool more;

  do
    {
      size_t n;

      more = platform_catalog_parser_step (p);
      n = platform_catalog_parser_n_entries (p);
      most = n - before > most ? n - before : most;
      before = n;
  } while (more);
  catalog = platform_catalog_parser_finish (p, &err);
  CU_ASSERT_PTR_NOT_NULL (catalog);
  if (!catalog)
    return;
  CU_ASSERT_EQUAL (catalog_n_routes (catalog), N_ROUTES);
  CU_ASSERT (most > 0 && most <= MAX_ROUTES_PER_STEP);
  catalog_unref (catalog);
  talloc_free (text);
}

/* Guards against a withdrawn key that stays in force for longer than it has to: a small configuration needs no
 * further step. */
static void
small_configuration_is_in_force_at_once (void)
{
  Fixture *fx = fixture_new ();

  send_config (fx, 5, 40);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "5 ");
  talloc_free (fx);
}

/* Guards against an older configuration that comes into force after a newer one, and against configurations that never
 * come into force because each is followed by the next one too soon. */
static void
newer_configuration_follows_the_one_that_is_parsed (void)
{
  Fixture *fx = fixture_new ();

  send_config (fx, 5, N_ROUTES);
  virtual_timers_step (fx->vt);
  send_config (fx, 6, N_ROUTES + 1);
  virtual_timers_step (fx->vt);
  send_config (fx, 8, 3);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "");
  run_until_idle (fx);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "5 8 ");
  CU_ASSERT_EQUAL (fx->n_routes, 3);
  send_config (fx, 9, 4);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "5 8 9 ");
  talloc_free (fx);
}

/* Guards against a part of an unreadable configuration that comes into force, and against readable ones that don't
 * because an unreadable one came before them. */
static void
unreadable_configuration_changes_nothing (void)
{
  Fixture *fx = fixture_new ();
  char *text = config_text (fx, 6, N_ROUTES, ",\"tenants\":[{\"prepaid\":1}]");

  send_config (fx, 5, N_ROUTES);
  send_row (fx, text);
  run_until_idle (fx);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "5 ");
  send_row (fx, text);
  send_config (fx, 7, N_ROUTES);
  run_until_idle (fx);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "5 7 ");
  text[strlen (text) - 1] = '\0';
  send_row (fx, text);
  run_until_idle (fx);
  send_row (fx, "");
  CU_ASSERT_STRING_EQUAL (fx->in_force, "5 7 ");
  send_config (fx, 8, 1);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "5 7 8 ");
  talloc_free (fx);
}

/* Guards against an evacuation that is missed: by a host that starts later, because its row is odd, or because a large
 * configuration is parsed meanwhile; and against one that is not taken back. */
static void
evacuations_are_reported (void)
{
  Fixture *fx = fixture_new ();
  char *text = config_text (fx, 5, N_ROUTES, "");
  StoreRow rows[] = { row_of (fx, PLATFORM_CONFIG_ROW, text), row_of (fx, "evacuate/east", "{}"),
                      row_of (fx, "evacuate/west", "no json"), row_of (fx, "evacuation", "{}") };

  send_rows (fx, rows, 4, STORE_DONE);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "");
  CU_ASSERT_STRING_EQUAL (fx->evacuated, "+east +west ");
  rows[0] = row_of (fx, "evacuate/east", NULL);
  send_rows (fx, rows, 1, STORE_DONE);
  CU_ASSERT_STRING_EQUAL (fx->evacuated, "+east +west -east ");
  run_until_idle (fx);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "5 ");
  talloc_free (fx);
}

/* Guards against an evacuation that stays for ever because it was taken back while the store lost its history. */
static void
evacuation_taken_back_in_a_gap_ends (void)
{
  Fixture *fx = fixture_new ();
  StoreRow rows[] = { row_of (fx, "evacuate/east", "{}"), row_of (fx, "evacuate/west", "{}") };

  send_rows (fx, rows, 2, STORE_DONE);
  send_rows (fx, NULL, 0, STORE_HISTORY_GONE);
  run_until_idle (fx);
  send_rows (fx, &rows[1], 1, STORE_DONE);
  CU_ASSERT_PTR_NOT_NULL (strstr (fx->evacuated, "-east "));
  CU_ASSERT_PTR_NULL (strstr (fx->evacuated, "-west "));
  talloc_free (fx);
}

/* Guards against a host that ends while it parses, and then parses on in memory that it has freed. */
static void
source_may_be_freed_while_it_parses (void)
{
  Fixture *fx = fixture_new ();

  send_config (fx, 5, N_ROUTES);
  send_config (fx, 6, N_ROUTES);
  for (int i = 0; i < 40; i++)
    virtual_timers_step (fx->vt);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "");
  talloc_free (fx->source);
  run_until_idle (fx);
  CU_ASSERT_STRING_EQUAL (fx->in_force, "");
  talloc_free (fx);
}

/* The open call of the servers' watch ends with a row of a server. */
static void
send_server (Fixture *fx, int64_t version, int started_ms)
{
  char *text = talloc_asprintf (fx,
                                "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"d\","
                                "\"slots\":4,\"state\":\"ready\",\"sequence\":1,\"born\":%d}",
                                started_ms);
  StoreRow row = { .key = { PLATFORM_SERVERS_TABLE, "", "server-1" },
                   .version = version,
                   .value = text,
                   .len = strlen (text) };

  fx->store_version = version;
  reply_to (&fx->servers_call, fx, &row, 1, STORE_DONE);
}

/* Guards against a host that goes by the clocks of servers where the store says which row is newer, or that takes the store's word right
 * after it was restored. */
static void
order_of_servers_rows_is_unknown_once_after_a_restore (void)
{
  Fixture *fx = fixture_new ();

  store_era_observe (&fx->store.era, 4, 0);
  send_server (fx, 90, 9000);
  send_server (fx, 95, 7000);
  CU_ASSERT_STRING_EQUAL (fx->servers, "9000 7000 ");
  store_era_observe (&fx->store.era, 5, 0);
  reply_to (&fx->servers_call, fx, NULL, 0, STORE_UNKNOWN);
  virtual_timers_run (fx->vt, timers_now_ms (virtual_timers_service (fx->vt)) + RETRY_MS);
  fx->store_version = 60;
  reply_to (&fx->servers_call, fx, NULL, 0, STORE_DONE);
  send_server (fx, 61, 6000);
  send_server (fx, 62, 6000);
  CU_ASSERT_STRING_EQUAL (fx->servers, "9000 7000 6000? 6000 ");
  talloc_free (fx);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "order_of_servers_rows_is_unknown_once_after_a_restore",
      order_of_servers_rows_is_unknown_once_after_a_restore },
    { "large_configuration_is_taken_over_in_steps", large_configuration_is_taken_over_in_steps },
    { "large_configuration_is_in_force_in_time_on_a_busy_host",
      large_configuration_is_in_force_in_time_on_a_busy_host },
    { "parsing_on_a_busy_host_takes_no_more_time_than_the_rest",
      parsing_on_a_busy_host_takes_no_more_time_than_the_rest },
    { "no_step_adds_many_routes", no_step_adds_many_routes },
    { "small_configuration_is_in_force_at_once", small_configuration_is_in_force_at_once },
    { "newer_configuration_follows_the_one_that_is_parsed",
      newer_configuration_follows_the_one_that_is_parsed },
    { "unreadable_configuration_changes_nothing", unreadable_configuration_changes_nothing },
    { "evacuations_are_reported", evacuations_are_reported },
    { "evacuation_taken_back_in_a_gap_ends", evacuation_taken_back_in_a_gap_ends },
    { "source_may_be_freed_while_it_parses", source_may_be_freed_while_it_parses },
  };

  return harness_run ("config_source", CASES, sizeof CASES / sizeof CASES[0]);
}
