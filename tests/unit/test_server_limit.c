/* Servers that name a limit: the rate of requests that they accept from all hosts together. */
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "dispatch/host_list.h"
#include "dispatch/server_limit.h"
#include "harness.h"
#include "limit_fleet.h"

/* Time after the first statement of a limit in which it must come into force. */
#define CONTACT_MS 3000

#define N_LIMITED 4

static const LimitFleetOptions FLEETS[] = {
  { .hosts = 9, .servers = 18, .requests_per_s = 150, .data_centres = 3, .seed = 1 },
  { .hosts = 84, .servers = 60, .requests_per_s = 440, .data_centres = 6, .seed = 2 },
  { .hosts = 350, .servers = 150, .requests_per_s = 650, .data_centres = 5, .seed = 3 },
};

static const double LIMITS[N_LIMITED] = { 0.2, 1.2, 1.6, 4 };

/* Starts a fleet in which servers 0 to 3 name LIMITS after 3 s. */
static LimitFleet *
start_fleet (size_t i)
{
  LimitFleet *f = limit_fleet_new (&FLEETS[i]);

  limit_fleet_run (f, 3000);
  for (int s = 0; s < N_LIMITED; s++)
    limit_fleet_set_limit (f, s, LIMITS[s]);
  return f;
}

static void
check_limits (const LimitFleet *f, int64_t from_ms)
{
  for (int s = 0; s < N_LIMITED; s++)
    {
      int worst = limit_fleet_worst_window (f, s, from_ms);

      if (worst > limit_fleet_allowed (LIMITS[s]))
        fprintf (stderr, "%d hosts, limit %.1f: %d requests in 4 s, allowed %.1f\n",
                 f->options.hosts, LIMITS[s], worst, limit_fleet_allowed (LIMITS[s]));
      CU_ASSERT (worst <= limit_fleet_allowed (LIMITS[s]));
    }
}

/* Guards against a server that gets far more than the limit that it has named, summed over all hosts. */
static void
hosts_together_stay_within_a_server_limit (void)
{
  for (size_t i = 0; i < sizeof FLEETS / sizeof FLEETS[0]; i++)
    {
      LimitFleet *f = start_fleet (i);
      int64_t from_ms = f->now_ms + CONTACT_MS;

      limit_fleet_run (f, 15000);
      check_limits (f, from_ms);
      CU_ASSERT_EQUAL (f->refused, 0);
      limit_fleet_free (f);
    }
}

/* Guards against two halves of the fleet that do not know each other and each use the whole limit. */
static void
halves_of_a_fleet_stay_within_a_server_limit (void)
{
  for (size_t i = 0; i < sizeof FLEETS / sizeof FLEETS[0]; i++)
    {
      LimitFleet *f = limit_fleet_new (&FLEETS[i]);
      int64_t from_ms = f->now_ms + 3000 + CONTACT_MS;

      limit_fleet_split (f, 2);
      limit_fleet_run (f, 3000);
      for (int s = 0; s < N_LIMITED; s++)
        limit_fleet_set_limit (f, s, LIMITS[s]);
      limit_fleet_run (f, 15000);
      limit_fleet_split (f, 1);
      limit_fleet_run (f, 10000);
      check_limits (f, from_ms);
      limit_fleet_free (f);
    }
}

/* As before, but with requests enough to use all of every limit: all servers have one. */
static void
halves_of_a_fleet_that_use_all_limits_stay_within_them (void)
{
  static const LimitFleetOptions SCARCE[] = {
    { .hosts = 9, .servers = 4, .requests_per_s = 60, .data_centres = 3, .seed = 1 },
    { .hosts = 84, .servers = 8, .requests_per_s = 200, .data_centres = 6, .seed = 2 },
    { .hosts = 350, .servers = 12, .requests_per_s = 800, .data_centres = 5, .seed = 3 },
  };

  for (size_t i = 0; i < sizeof SCARCE / sizeof SCARCE[0]; i++)
    {
      LimitFleet *f = limit_fleet_new (&SCARCE[i]);
      int64_t from_ms = f->now_ms + CONTACT_MS;

      limit_fleet_split (f, 2);
      for (int s = 0; s < SCARCE[i].servers; s++)
        limit_fleet_set_limit (f, s, LIMITS[s % N_LIMITED]);
      limit_fleet_run (f, 20000);
      limit_fleet_split (f, 1);
      limit_fleet_run (f, 10000);
      check_limits (f, from_ms);
      limit_fleet_free (f);
    }
}

/* Guards against a limit that holds only while messages between hosts arrive. */
static void
limit_holds_if_messages_between_hosts_are_lost (void)
{
  for (size_t i = 0; i < sizeof FLEETS / sizeof FLEETS[0]; i++)
    {
      LimitFleet *f = limit_fleet_new (&FLEETS[i]);
      int64_t from_ms = f->now_ms + 3000 + CONTACT_MS;

      f->messages_lost = true;
      f->only_told = true;
      limit_fleet_run (f, 3000);
      for (int s = 0; s < N_LIMITED; s++)
        limit_fleet_set_limit (f, s, LIMITS[s]);
      limit_fleet_run (f, 40000);
      check_limits (f, from_ms);
      limit_fleet_free (f);
    }
}

/* Guards against hosts that restart, take their part of the limit again or lose it to another host, and so add
 * to what the server gets. */
static void
restarting_hosts_stay_within_a_server_limit (void)
{
  for (size_t i = 0; i < 2; i++)
    {
      LimitFleet *f = start_fleet (i);
      int64_t from_ms = f->now_ms + CONTACT_MS;

      f->only_told = true;
      limit_fleet_run (f, CONTACT_MS);
      for (int host = 0; host < 9; host++)
        {
          limit_fleet_stop_host (f, host);
          limit_fleet_run (f, 500);
          limit_fleet_start_host (f, host);
          limit_fleet_run (f, 1500);
        }
      limit_fleet_run (f, 5000);
      check_limits (f, from_ms);
      limit_fleet_free (f);
    }
}

/* Guards against a server that is avoided long after its limit has ended. */
static void
end_of_a_limit_reaches_all_hosts (void)
{
  for (size_t i = 0; i < sizeof FLEETS / sizeof FLEETS[0]; i++)
    {
      LimitFleet *f = start_fleet (i);

      limit_fleet_run (f, 15000);
      CU_ASSERT_EQUAL (limit_fleet_known_limits (f), FLEETS[i].hosts * N_LIMITED);
      for (int s = 1; s < N_LIMITED; s++)
        limit_fleet_set_limit (f, s, 0);
      limit_fleet_run (f, 15000);
      CU_ASSERT_EQUAL (limit_fleet_known_limits (f), FLEETS[i].hosts);
      limit_fleet_set_limit (f, 0, 0);
      limit_fleet_run (f, 30000);
      CU_ASSERT_EQUAL (limit_fleet_known_limits (f), 0);
      limit_fleet_free (f);
    }
}

/* Guards against the use of an old limit after the server has named a lower or a higher one. */
static void
new_limit_replaces_the_old_one (void)
{
  LimitFleet *f = start_fleet (0);
  int64_t from_ms;

  limit_fleet_run (f, 10000);
  limit_fleet_set_limit (f, 3, 0.5);
  from_ms = f->now_ms + CONTACT_MS;
  limit_fleet_run (f, 15000);
  CU_ASSERT (limit_fleet_worst_window (f, 3, from_ms) <= limit_fleet_allowed (0.5));
  limit_fleet_free (f);
}

/* Guards against waiting, and against requests beyond the limits, if all servers have named one. */
static void
requests_are_refused_at_once_if_all_servers_are_limited (void)
{
  static const double RATES[] = { 0.5, 1.6, 4, 12 };

  for (size_t i = 0; i < sizeof RATES / sizeof RATES[0]; i++)
    {
      static const LimitFleetOptions OPTIONS
          = { .hosts = 9, .servers = 3, .requests_per_s = 50, .data_centres = 3, .seed = 5 };
      LimitFleet *f = limit_fleet_new (&OPTIONS);
      int64_t from_ms = f->now_ms + CONTACT_MS;
      int served;

      for (int s = 0; s < 3; s++)
        limit_fleet_set_limit (f, s, RATES[i]);
      limit_fleet_run (f, 33000);
      for (int s = 0; s < 3; s++)
        CU_ASSERT (limit_fleet_worst_window (f, s, from_ms) <= limit_fleet_allowed (RATES[i]));
      served = limit_fleet_count (f, 0, from_ms) + limit_fleet_count (f, 1, from_ms)
               + limit_fleet_count (f, 2, from_ms);
      CU_ASSERT (served >= RATES[i] * 3 * 30 / 2);
      CU_ASSERT (f->max_retry_after_ms > 0 && f->max_retry_after_ms < 2000);
      limit_fleet_free (f);
    }
}

/* Guards against more and more requests to a server that has named a limit and then is silent. */
static void
silent_server_gets_no_more_than_its_limit (void)
{
  for (size_t i = 0; i < sizeof FLEETS / sizeof FLEETS[0]; i++)
    {
      LimitFleet *f = start_fleet (i);
      int64_t from_ms = f->now_ms + CONTACT_MS;

      limit_fleet_run (f, CONTACT_MS);
      for (int s = 0; s < N_LIMITED; s++)
        f->servers[s].mute = true;
      limit_fleet_run (f, 60000);
      check_limits (f, from_ms);
      limit_fleet_free (f);
    }
}

/* --- One server's limit ------------------------------------------------------------------ */

static const LimitStatement NONE = { .kind = LIMIT_NONE };

static LimitStatement
named (double requests_per_s)
{
  return (LimitStatement){ .kind = LIMIT_NAMED, .requests_per_s = requests_per_s };
}

/* @return the requests that one host may send in @p ms, trying each millisecond. */
static int
count_allowed (ServerLimit *l, int64_t from_ms, int64_t ms)
{
  int n = 0;

  for (int64_t now = from_ms; now < from_ms + ms; now++)
    if (server_limit_check (l, now) != LIMIT_REACHED)
      {
        server_limit_take (l, now);
        n++;
      }
  return n;
}

/* Guards against a division by a tiny limit, and against a limit so low that nothing ever shows its end. */
static void
tiny_and_large_limits_let_some_requests_pass (void)
{
  ServerLimit l = { 0 };

  server_limit_apply (&l, named (1e-9), 1000, 1000);
  server_limit_set_rank (&l, 9, 0, 1, 1000);
  CU_ASSERT (count_allowed (&l, 1000, 60000) >= 2);
  l = (ServerLimit){ 0 };
  server_limit_apply (&l, named (100000), 1000, 1000);
  server_limit_set_rank (&l, 9, 8, 1, 1000);
  CU_ASSERT (count_allowed (&l, 1000, 1000) >= 900);
}

/* Guards against a host that uses a limit although it does not know the hosts that share it. */
static void
host_without_a_list_of_hosts_has_no_share (void)
{
  ServerLimit l = { 0 };

  server_limit_apply (&l, named (10), 1000, 1000);
  CU_ASSERT_EQUAL (count_allowed (&l, 1000, 10000), 0);
  server_limit_set_rank (&l, 9, -1, 2, 1000);
  CU_ASSERT_EQUAL (count_allowed (&l, 11000, 10000), 0);
}

/* Guards against a report of another host that is older than what this host knows. */
static void
older_statements_are_ignored (void)
{
  ServerLimit l = { 0 };

  CU_ASSERT_TRUE (server_limit_apply (&l, named (3), 2000, 2000));
  CU_ASSERT_FALSE (server_limit_apply (&l, NONE, 1500, 2100));
  CU_ASSERT_FALSE (server_limit_apply (&l, named (5), 1500, 2100));
  CU_ASSERT_EQUAL (l.requests_per_s, 3);
  CU_ASSERT_TRUE (server_limit_apply (&l, NONE, 2200, 2200));
  CU_ASSERT_FALSE (server_limit_apply (&l, named (3), 2100, 2300));
  CU_ASSERT_EQUAL (server_limit_check (&l, 2300), LIMIT_FREE);
}

/* Guards against requests that add up over changes of the hosts, each of which starts a new share. */
static void
changes_of_hosts_do_not_add_requests (void)
{
  ServerLimit l = { 0 };
  int n = 0;

  server_limit_apply (&l, named (1.6), 1000, 1000);
  for (int i = 0; i < 1000; i++)
    {
      server_limit_set_rank (&l, 9, i % 2, (uint32_t)i + 1, 1000 + i * 10);
      n += count_allowed (&l, 1000 + i * 10, 10);
    }
  CU_ASSERT (n <= 10 * 1.6);
}

static void
count_report (void *data, const ServerInstance *instance, LimitStatement statement,
              int64_t stated_ms)
{
  (void)instance;
  (void)statement;
  (void)stated_ms;
  ++*(int *)data;
}

/* Guards against a message to all hosts with each response of a server whose limit changes with each of them. */
static void
changing_limit_is_reported_at_most_once_a_second (void)
{
  static const ListedHost HOST = { "host", "d", "d" };
  ServerRecord record
      = { .id = "server", .service = "engine", .address = "a", .data_centre = "d", .version = "v" };
  CatalogService service = { .name = "engine" };
  int n_reports = 0;
  DispatchOptions options = { .host = HOST.name,
                              .data_centre = "d",
                              .region = "d",
                              .retries = { 0.2, 10000, 40 },
                              .server_limited = count_report,
                              .server_limited_data = &n_reports };
  Dispatch *d = dispatch_new (NULL, &options);
  Err err = ERR_INIT;

  dispatch_set_hosts (d, &HOST, 1, 0);
  dispatch_server_changed (d, &record, 100000);
  for (int64_t now = 100000; now < 105000; now += 20)
    {
      DispatchQuery query = { .service = &service, .now_ms = now };
      Assignment *a = dispatch_pick (d, NULL, &query, &err);

      if (!a)
        continue;
      assignment_report_limit (a, named (100 + (double)(now % 7)), now);
      assignment_end (a, ASSIGNMENT_COMPLETED, now);
    }
  CU_ASSERT (n_reports >= 4 && n_reports <= 6);
  talloc_free (d);
}

static void
report (Dispatch *d, int64_t started_ms, LimitStatement statement, int64_t age_ms)
{
  ServerInstance instance = { "server", "a", started_ms };

  dispatch_server_limited (d, &instance, statement, age_ms, 100000);
}

static bool
is_limited (Dispatch *d)
{
  char *text = dispatch_describe (d, NULL, 100000);
  bool limited = !strstr (text, "\"limit_per_s\":0.0");

  talloc_free (text);
  return limited;
}

/* Guards against a limit of an earlier start of the server that applies to the next one, whoever reports it. */
static void
limit_belongs_to_one_start_of_its_server (void)
{
  ServerRecord record = { .id = "server",
                          .service = "engine",
                          .address = "a",
                          .data_centre = "d",
                          .version = "v",
                          .started_ms = 1 };
  DispatchOptions options = { .host = "host", .data_centre = "d", .region = "d" };
  Dispatch *d = dispatch_new (NULL, &options);

  dispatch_server_changed (d, &record, 100000);
  report (d, 1, named (3), 10);
  CU_ASSERT_TRUE (is_limited (d));
  record.started_ms = 2;
  dispatch_server_changed (d, &record, 100000);
  CU_ASSERT_FALSE (is_limited (d));
  report (d, 1, named (3), 0);
  CU_ASSERT_FALSE (is_limited (d));
  report (d, 2, named (3), 0);
  CU_ASSERT_TRUE (is_limited (d));
  talloc_free (d);
}

/* --- The order of hosts ------------------------------------------------------------------ */

static int
rank_of (const char *self, const ListedHost *hosts, size_t n, uint64_t server)
{
  HostList *l = host_list_new (NULL, self);
  HostListServer s = { server, "a1", "a" };
  int rank;

  host_list_set (l, hosts, n);
  rank = host_list_rank (l, &s);
  talloc_free (l);
  return rank;
}

/* Guards against two hosts with the same rank, against hosts far from the server that come first, and against an order
 * that changes for all if one host is missing. */
static void
hosts_agree_on_their_order (void)
{
  static const ListedHost HOSTS[]
      = { { "h0", "b1", "b" }, { "h1", "a1", "a" }, { "h2", "a2", "a" },
          { "h3", "a1", "a" }, { "h4", "b1", "b" }, { "h5", "a2", "a" } };
  static const char *const DATA_CENTRES[] = { "a1", "a1", "a2", "a2", "b1", "b1" };
  size_t n = sizeof HOSTS / sizeof HOSTS[0];

  for (uint64_t server = 1; server <= 20; server++)
    {
      unsigned seen = 0;

      for (size_t i = 0; i < n; i++)
        {
          int rank = rank_of (HOSTS[i].name, HOSTS, n, server);
          int without_last = rank_of (HOSTS[i].name, HOSTS, n - 1, server);

          seen |= 1U << rank;
          CU_ASSERT_STRING_EQUAL (HOSTS[i].data_centre, DATA_CENTRES[rank]);
          CU_ASSERT (without_last == (i == n - 1 ? -1 : rank) || without_last == rank - 1);
        }
      CU_ASSERT_EQUAL (seen, 63);
    }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "hosts_together_stay_within_a_server_limit", hosts_together_stay_within_a_server_limit },
    { "halves_of_a_fleet_stay_within_a_server_limit",
      halves_of_a_fleet_stay_within_a_server_limit },
    { "halves_of_a_fleet_that_use_all_limits_stay_within_them",
      halves_of_a_fleet_that_use_all_limits_stay_within_them },
    { "limit_holds_if_messages_between_hosts_are_lost",
      limit_holds_if_messages_between_hosts_are_lost },
    { "restarting_hosts_stay_within_a_server_limit", restarting_hosts_stay_within_a_server_limit },
    { "end_of_a_limit_reaches_all_hosts", end_of_a_limit_reaches_all_hosts },
    { "new_limit_replaces_the_old_one", new_limit_replaces_the_old_one },
    { "requests_are_refused_at_once_if_all_servers_are_limited",
      requests_are_refused_at_once_if_all_servers_are_limited },
    { "silent_server_gets_no_more_than_its_limit", silent_server_gets_no_more_than_its_limit },
    { "tiny_and_large_limits_let_some_requests_pass",
      tiny_and_large_limits_let_some_requests_pass },
    { "host_without_a_list_of_hosts_has_no_share", host_without_a_list_of_hosts_has_no_share },
    { "older_statements_are_ignored", older_statements_are_ignored },
    { "changes_of_hosts_do_not_add_requests", changes_of_hosts_do_not_add_requests },
    { "changing_limit_is_reported_at_most_once_a_second",
      changing_limit_is_reported_at_most_once_a_second },
    { "limit_belongs_to_one_start_of_its_server", limit_belongs_to_one_start_of_its_server },
    { "hosts_agree_on_their_order", hosts_agree_on_their_order },
  };

  return harness_run ("server_limit", CASES, sizeof CASES / sizeof CASES[0]);
}
