#include "harness.h"

#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "route/placement.h"
#include "route/prefix_history.h"
#include "route/routes.h"

#define NOW       INT64_C (1700000000000)
#define N_SERVERS 12

static const RouteResult OK = { .first_token_ms = 50, .total_ms = 500, .tokens_out = 20 };

typedef struct
{
  char names[N_SERVERS][16];
  ConfigServer servers[N_SERVERS];
} Setup;

/* Servers s0 to s11, in turn in the data centres a (own), b and c, each a region of its own. */
static Routes *
setup (Setup *s, const char *variant, uint64_t seed, int sites)
{
  static const char *const SITES[] = { "a", "b", "c" };
  RoutesOptions host = { "a", "a", seed };
  ConfigPool pool = {
    .name = "llm", .kind = POOL_MODEL, .model = "", .servers = s->servers, .n_servers = N_SERVERS
  };
  ConfigPolicy policy = { .name = "default", .route_variant = variant };
  Config config = { .pools = &pool, .n_pools = 1, .policies = &policy, .n_policies = 1 };
  Routes *routes = routes_new (NULL, &host);

  for (int i = 0; i < N_SERVERS; i++)
    {
      snprintf (s->names[i], sizeof s->names[i], "s%d", i);
      s->servers[i] = (ConfigServer){ .name = s->names[i],
                                      .address = "127.0.0.1:9000",
                                      .data_centre = SITES[i % sites],
                                      .region = SITES[i % sites] };
    }
  routes_configure (routes, &config);
  return routes;
}

/* A prompt of n blocks that shares its first blocks with those of the same template. */
static RouteQuery
prompt (uint64_t template, size_t shared, size_t n, uint64_t own)
{
  RouteQuery q = { .pool = "llm",
                   .priority = 5,
                   .now_ms = NOW,
                   .deadline_ms = NOW + 30000,
                   .prompt_tokens = 100,
                   .max_tokens = 100,
                   .n_prefixes = n };

  for (size_t i = 0; i < n; i++)
    q.prefixes[i] = (i < shared ? template : own) * 0x9e3779b97f4a7c15u + i * 0x94d049bb133111ebu;
  return q;
}

static void
pick (Routes *routes, const RouteQuery *query, RouteChoice *choice)
{
  CU_ASSERT_TRUE_FATAL (route_pick (routes, query, choice, NULL));
}

static bool
same_server (const RouteChoice *a, const RouteChoice *b)
{
  return !strcmp (a->server, b->server);
}

/* Guards against prompts with a known prefix that go to a server without it. */
static void
known_prefixes_return_to_their_server (void)
{
  Setup s;
  Routes *r = setup (&s, "cost", 1, 1);

  for (uint64_t template = 1; template <= 20; template ++)
    {
      RouteQuery q = prompt (template, 10, 12, 1000 + template);
      RouteChoice first;
      RouteChoice second;

      pick (r, &q, &first);
      route_end (r, &first, &OK, NOW);
      q = prompt (template, 10, 12, 2000 + template);
      pick (r, &q, &second);
      route_end (r, &second, &OK, NOW);
      CU_ASSERT (same_server (&first, &second));
    }
  talloc_free (r);
}

/* Guards against hosts that place the same prefix on different servers: each would fill the caches
 * with a copy of its own. */
static void
hosts_agree_where_a_prefix_is_placed (void)
{
  int agreed = 0;

  for (uint64_t template = 1; template <= 40; template ++)
    {
      Setup s;
      RouteChoice c[2];

      for (uint64_t host = 0; host < 2; host++)
        {
          Routes *r = setup (&s, "cost", 100 * template + host, 1);
          RouteQuery q = prompt (template, 10, 12, 7000 + 100 * template + host);

          pick (r, &q, &c[host]);
          route_end (r, &c[host], &OK, NOW);
          talloc_free (r);
        }
      agreed += same_server (&c[0], &c[1]);
    }
  /* Two equal servers per prefix: half of the pairs agree by chance, against one in 12 without. */
  CU_ASSERT (agreed >= 12);
}

/* Guards against a popular prefix that fills one server while others are idle. */
static void
load_spreads_a_popular_prefix (void)
{
  Setup s;
  Routes *r = setup (&s, "cost", 1, 1);
  size_t most = 0;

  for (uint64_t i = 0; i < 10 * N_SERVERS; i++)
    {
      RouteQuery q = prompt (1, 10, 12, 1000 + i);
      RouteChoice c;

      q.now_ms = NOW + (int64_t)i;
      pick (r, &q, &c);
    }
  for (int i = 0; i < N_SERVERS; i++)
    {
      size_t n = routes_in_flight (r, s.names[i]);

      CU_ASSERT (n >= 1);
      most = n > most ? n : most;
    }
  CU_ASSERT (most <= 20);
  talloc_free (r);
}

/* Guards against paid traffic between regions while a near server will do, and against an overload
 * of the near ones to avoid it. */
static void
far_servers_are_used_only_under_load (void)
{
  Setup s;
  Routes *r = setup (&s, "cost", 1, 3);
  int far = 0;

  for (int i = 0; i < 8; i++)
    {
      RouteQuery q = prompt (0, 0, 0, 0);
      RouteChoice c;

      pick (r, &q, &c);
      CU_ASSERT_FALSE (c.cross_region);
    }
  for (int i = 0; i < 60; i++)
    {
      RouteQuery q = prompt (0, 0, 0, 0);
      RouteChoice c;

      pick (r, &q, &c);
      far += c.cross_region;
    }
  CU_ASSERT (far >= 30);
  talloc_free (r);
}

/* Guards against a retry in the data centre that has just failed. */
static void
retries_go_to_another_data_centre (void)
{
  Setup s;
  Routes *r = setup (&s, "cost", 1, 3);

  for (int i = 0; i < 20; i++)
    {
      RouteQuery q = prompt (0, 0, 0, 0);
      RouteChoice c;

      strcpy (q.tried[q.n_tried++], "s0");
      pick (r, &q, &c);
      CU_ASSERT_TRUE (c.cross_region);
      route_end (r, &c, &OK, NOW);
    }
  talloc_free (r);
}

/* Guards against all work on one server because an old report called it idle. */
static void
old_reports_do_not_decide (void)
{
  Setup s;
  Routes *r = setup (&s, "cost", 1, 1);
  int on_s0 = 0;

  for (int i = 0; i < N_SERVERS; i++)
    {
      LoadReport report = { .running = i ? 8 : 0, .age_ms = 5000 };

      route_report_load (r, s.names[i], &report, NOW);
    }
  for (int i = 0; i < 120; i++)
    {
      RouteQuery q = prompt (0, 0, 0, 0);
      RouteChoice c;

      pick (r, &q, &c);
      on_s0 += !strcmp (c.server, "s0");
    }
  CU_ASSERT (on_s0 >= 5 && on_s0 <= 15);
  talloc_free (r);
}

/* Guards against a history that returns freed servers or forgets what is in use. */
static void
history_keeps_latest_holders_and_forgets_servers (void)
{
  PrefixHistory *h = prefix_history_new (NULL);
  static const ConfigServer CONFIG = { .name = "x", .address = "127.0.0.1:1" };
  RouteServer *servers[6];
  PrefixHolders holders;
  uint64_t prefixes[3] = { 11, 22, 33 };

  for (int i = 0; i < 6; i++)
    {
      servers[i] = route_server_new (h, &CONFIG);
      prefix_history_add (h, prefixes, i < 3 ? 3 : 2, servers[i], NOW + i);
    }
  prefix_history_holders (h, prefixes, 3, &holders);
  CU_ASSERT_EQUAL (holders.n, 6);
  CU_ASSERT_EQUAL (holders.servers[0], servers[2]);
  CU_ASSERT_EQUAL (holders.blocks[0], 3);
  CU_ASSERT_EQUAL (holders.blocks[5], 2);
  CU_ASSERT_EQUAL (prefix_history_known (h, prefixes, 3), 3);
  prefixes[1] = 99;
  CU_ASSERT_EQUAL (prefix_history_known (h, prefixes, 3), 1);
  for (int i = 0; i < 6; i++)
    prefix_history_forget (h, servers[i]);
  prefix_history_holders (h, prefixes, 3, &holders);
  CU_ASSERT_EQUAL (holders.n, 0);
  talloc_free (h);
}

/* Guards against a key that many prompts share: it would collect them all on two servers. */
static void
placement_key_is_the_first_prefix_that_is_not_popular (void)
{
  PrefixHistory *h = prefix_history_new (NULL);
  static const ConfigServer CONFIG = { .name = "x", .address = "127.0.0.1:1" };
  RouteServer *servers[N_SERVERS];
  Placement common = { .n = 0 };
  int differing = 0;

  for (int i = 0; i < N_SERVERS; i++)
    {
      servers[i] = route_server_new (h, &CONFIG);
      servers[i]->place_key = (uint64_t)i * 0x2545f4914f6cdd1du;
    }
  for (uint64_t i = 0; i < 200; i++)
    {
      RouteQuery q = prompt (1, 2, 8, 100 + i);

      prefix_history_add (h, q.prefixes, q.n_prefixes, servers[0], NOW + (int64_t)i * 10);
    }
  for (uint64_t i = 0; i < 20; i++)
    {
      RouteQuery q = prompt (1, 2, 8, 500 + i);
      Placement p;

      q.now_ms = NOW + 2000;
      placement_find (&p, h, &q, servers, N_SERVERS);
      CU_ASSERT_EQUAL (p.n, 2);
      CU_ASSERT (p.blocks >= 2 && p.blocks <= 8);
      differing += i > 0 && p.servers[0] != common.servers[0];
      common = p;
    }
  CU_ASSERT (differing >= 10);
  talloc_free (h);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "known_prefixes_return_to_their_server", known_prefixes_return_to_their_server },
    { "hosts_agree_where_a_prefix_is_placed", hosts_agree_where_a_prefix_is_placed },
    { "load_spreads_a_popular_prefix", load_spreads_a_popular_prefix },
    { "far_servers_are_used_only_under_load", far_servers_are_used_only_under_load },
    { "retries_go_to_another_data_centre", retries_go_to_another_data_centre },
    { "old_reports_do_not_decide", old_reports_do_not_decide },
    { "history_keeps_latest_holders_and_forgets_servers",
      history_keeps_latest_holders_and_forgets_servers },
    { "placement_key_is_the_first_prefix_that_is_not_popular",
      placement_key_is_the_first_prefix_that_is_not_popular },
  };

  return harness_run ("route_cost", CASES, sizeof CASES / sizeof CASES[0]);
}
