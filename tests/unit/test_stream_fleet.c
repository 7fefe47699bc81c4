/* Streams that are broken off and taken up at other hosts while servers of several versions serve. */
#include <stdio.h>

#include "harness.h"
#include "stream_fleet.h"

/* The rule ORDER: of the whole fleet, hosts that are out of touch included. */
#define MAX_JOINED 2

/* The rule LOST counts from this many on. */
#define MIN_TAKEN_UP 12

static StreamFleet *
fleet_new (int hosts, double streams_per_s, uint64_t seed, const char *version, int servers)
{
  StreamFleetOptions options = { .hosts = hosts, .streams_per_s = streams_per_s, .seed = seed };
  StreamFleet *f = stream_fleet_new (&options);

  stream_fleet_add_servers (f, version, servers);
  f->options.streams_per_s = 0;
  stream_fleet_run (f, 3000);
  f->options.streams_per_s = streams_per_s;
  return f;
}

static double
share (int n, int of)
{
  return of > 0 ? (double)n / of : 1;
}

static void
print_counts (const StreamFleet *f, const char *what)
{
  const StreamFleetCounts *c = &f->counts;

  printf ("%s, %d hosts: %d sent, %d begun, %d whole, %d taken up, %d went on, %d joined\n", what,
          f->options.hosts, c->sent, c->begun, c->whole, c->taken_up, c->went_on, c->joined);
}

/* Checks the rules for what has happened since the last check. */
static void
check (StreamFleet *f, const char *what)
{
  StreamFleetCounts *c = &f->counts;

  print_counts (f, what);
  CU_ASSERT (c->joined <= MAX_JOINED);
  CU_ASSERT (c->begun * 10 > c->sent * 8);
  if (c->taken_up >= MIN_TAKEN_UP)
    CU_ASSERT (share (c->went_on, c->taken_up) >= share (c->begun, c->sent) / 2);
  c->sent = c->begun = c->whole = c->taken_up = c->went_on = 0;
}

/* Replaces servers one by one. */
static void
release (StreamFleet *f, const char *from, const char *to, int n, int64_t gap_ms)
{
  for (int i = 0; i < n; i++)
    {
      stream_fleet_add_servers (f, to, 1);
      stream_fleet_run (f, gap_ms / 2);
      stream_fleet_remove_servers (f, from, 1);
      stream_fleet_run (f, gap_ms / 2);
    }
}

static const struct
{
  int hosts;
  double streams_per_s;
  int servers;
  uint64_t seeds; /* of cases that depend on a moment */
} SIZES[] = { { 9, 60, 18, 4 }, { 84, 100, 30, 1 } };

#define N_SIZES (sizeof SIZES / sizeof SIZES[0])

/* Guards against streams that go on at another version after the connections of clients broke during a release. */
static void
broken_connections_join_no_streams (void)
{
  for (size_t i = 0; i < N_SIZES; i++)
    {
      StreamFleet *f
          = fleet_new (SIZES[i].hosts, SIZES[i].streams_per_s, 81 + i, "v1", SIZES[i].servers);

      stream_fleet_run (f, 3000);
      stream_fleet_break_connections (f);
      release (f, "v1", "v2", SIZES[i].servers / 2, 400);
      for (int k = 0; k < 3; k++)
        {
          stream_fleet_break_connections (f);
          stream_fleet_run (f, 3000);
        }
      check (f, "connections broken");
      stream_fleet_free (f);
    }
}

/* Guards against streams that hosts which lost power together join from two versions, or refuse though they could know. */
static void
kill_of_all_hosts_joins_no_streams (void)
{
  for (size_t i = 0; i < N_SIZES; i++)
    {
      StreamFleet *f
          = fleet_new (SIZES[i].hosts, SIZES[i].streams_per_s, 91 + i, "v1", SIZES[i].servers);

      stream_fleet_run (f, 3000);
      release (f, "v1", "v2", SIZES[i].servers / 2, 200);
      stream_fleet_run (f, 2000);
      stream_fleet_kill_hosts (f, f->options.hosts, 30);
      stream_fleet_run (f, 5000);
      check (f, "all killed, two versions");
      stream_fleet_kill_hosts (f, f->options.hosts / 2, 1000);
      stream_fleet_run (f, 5000);
      check (f, "half killed, two versions");
      stream_fleet_free (f);
    }
}

/* Guards against hosts that conclude from the only version in the list of servers that every stream began there. */
static void
kill_when_the_old_servers_have_just_left_joins_no_streams (void)
{
  for (size_t i = 0; i < N_SIZES; i++)
    for (uint64_t seed = 0; seed < SIZES[i].seeds; seed++)
      {
        StreamFleet *f = fleet_new (SIZES[i].hosts, SIZES[i].streams_per_s, 101 + 10 * i + seed,
                                    "v1", SIZES[i].servers);

        stream_fleet_add_servers (f, "v2", SIZES[i].servers);
        stream_fleet_run (f, 500);
        stream_fleet_remove_servers (f, "v1", SIZES[i].servers);
        stream_fleet_run (f, 2300);
        stream_fleet_kill_hosts (f, f->options.hosts, 300);
        stream_fleet_run (f, 5000);
        print_counts (f, "old servers just left");
        CU_ASSERT (f->counts.joined <= MAX_JOINED);
        stream_fleet_free (f);
      }
}

/* Guards against streams that begin at a version of which the row says nothing yet when all hosts lose power. */
static void
kill_at_the_first_server_of_a_version_joins_no_streams (void)
{
  for (size_t i = 0; i < N_SIZES; i++)
    for (uint64_t seed = 0; seed < SIZES[i].seeds; seed++)
      {
        StreamFleet *f = fleet_new (SIZES[i].hosts, SIZES[i].streams_per_s, 201 + 10 * i + seed,
                                    "v1", SIZES[i].servers / 3);

        stream_fleet_run (f, 2000);
        stream_fleet_add_servers (f, "v2", SIZES[i].servers);
        stream_fleet_run (f, 100 + 100 * (int64_t)seed);
        stream_fleet_kill_hosts (f, f->options.hosts, 30);
        stream_fleet_run (f, 5000);
        check (f, "killed at the first server of v2");
        stream_fleet_free (f);
      }
}

/* Guards against a release inside a release, and a roll back, with kills between. */
static void
releases_inside_releases_join_no_streams (void)
{
  for (size_t i = 0; i < N_SIZES; i++)
    {
      int n = SIZES[i].servers / 3;
      StreamFleet *f
          = fleet_new (SIZES[i].hosts, SIZES[i].streams_per_s, 301 + i, "v1", SIZES[i].servers);

      release (f, "v1", "v2", n, 200);
      release (f, "v1", "v3", n, 200);
      stream_fleet_kill_hosts (f, f->options.hosts, 100);
      stream_fleet_run (f, 4000);
      check (f, "three versions");
      release (f, "v3", "v1", n, 200);
      stream_fleet_break_connections (f);
      stream_fleet_run (f, 3000);
      stream_fleet_kill_hosts (f, f->options.hosts, 100);
      stream_fleet_run (f, 4000);
      check (f, "rolled back");
      stream_fleet_free (f);
    }
}

/* Guards against hosts that place and take up streams by what they knew before they were cut off from the store. */
static void
hosts_cut_from_the_store_join_no_streams (void)
{
  for (size_t i = 0; i < N_SIZES; i++)
    {
      StreamFleet *f
          = fleet_new (SIZES[i].hosts, SIZES[i].streams_per_s, 401 + i, "v1", SIZES[i].servers);

      stream_fleet_cut (f, f->options.hosts / 3, true);
      stream_fleet_run (f, 1000);
      stream_fleet_add_servers (f, "v2", SIZES[i].servers / 2);
      stream_fleet_run (f, 2000);
      for (int k = 0; k < 4; k++)
        {
          stream_fleet_break_connections (f);
          stream_fleet_run (f, 1000);
        }
      print_counts (f, "a third is cut off");
      CU_ASSERT (f->counts.joined <= MAX_JOINED);
      CU_ASSERT (f->counts.begun * 10 > f->counts.sent * 9);
      stream_fleet_cut (f, f->options.hosts / 3, false);
      stream_fleet_run (f, 4000);
      f->counts = (StreamFleetCounts){ .joined = f->counts.joined };
      stream_fleet_break_connections (f);
      stream_fleet_run (f, 3000);
      check (f, "after the cut");
      stream_fleet_free (f);
    }
}

/* Guards against hosts that take up streams in the first moments after a cut, by what they knew before it: a second version has
 * joined meanwhile, and other hosts have begun streams there. */
static void
hosts_that_have_just_come_back_join_no_streams (void)
{
  for (size_t i = 0; i < N_SIZES; i++)
    for (uint64_t seed = 0; seed < SIZES[i].seeds; seed++)
      {
        StreamFleet *f = fleet_new (SIZES[i].hosts, SIZES[i].streams_per_s, 451 + 10 * i + seed,
                                    "v1", SIZES[i].servers);

        stream_fleet_run (f, 2000);
        stream_fleet_cut (f, f->options.hosts / 3, true);
        stream_fleet_run (f, 500);
        stream_fleet_add_servers (f, "v2", SIZES[i].servers);
        stream_fleet_run (f, 500);
        stream_fleet_remove_servers (f, "v1", SIZES[i].servers - 1);
        stream_fleet_run (f, 2000 + 500 * (int64_t)seed);
        stream_fleet_break_connections (f);
        stream_fleet_cut (f, f->options.hosts / 3, false);
        for (int k = 0; k < 8; k++)
          {
            stream_fleet_run (f, 40);
            stream_fleet_break_connections (f);
          }
        stream_fleet_run (f, 3000);
        print_counts (f, "just back");
        CU_ASSERT (f->counts.joined <= MAX_JOINED);
        CU_ASSERT (f->counts.taken_up > 0);
        stream_fleet_free (f);
      }
}

/* Guards against a small new version that gets no streams, or a last server of the old one that gets too many. */
static void
small_versions_are_neither_starved_nor_overloaded (void)
{
  StreamFleet *f = fleet_new (9, 80, 501, "v1", 17);

  stream_fleet_add_servers (f, "v2", 1);
  stream_fleet_run (f, 1000);
  f->counts = (StreamFleetCounts){ 0 };
  stream_fleet_run (f, 10000);
  print_counts (f, "one new server");
  CU_ASSERT (stream_fleet_begun_at (f, "v2") * 18 > f->counts.begun / 3);
  CU_ASSERT (stream_fleet_begun_at (f, "v2") * 18 < f->counts.begun * 3);
  stream_fleet_free (f);
}

/* Guards against a fleet of 350 hosts that writes or reads more than its store can take. */
static void
fleet_of_350_hosts_joins_no_streams (void)
{
  StreamFleet *f = fleet_new (350, 350, 601, "v1", 40);
  int calls = 0;

  stream_fleet_run (f, 2000);
  stream_fleet_add_servers (f, "v2", 40);
  stream_fleet_run (f, 6000);
  stream_fleet_kill_hosts (f, 350, 100);
  for (int i = 0; i < 350; i++)
    calls -= f->hosts[i].store->txns;
  stream_fleet_run (f, 4000);
  for (int i = 0; i < 350; i++)
    calls += f->hosts[i].store->txns;
  printf ("writes a second: %d\n", calls / 4);
  /* A tenth of what the store of such a fleet takes. */
  CU_ASSERT (calls / 4 <= 400);
  check (f, "all killed");
  stream_fleet_free (f);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "broken_connections_join_no_streams", broken_connections_join_no_streams },
    { "kill_of_all_hosts_joins_no_streams", kill_of_all_hosts_joins_no_streams },
    { "kill_when_the_old_servers_have_just_left_joins_no_streams",
      kill_when_the_old_servers_have_just_left_joins_no_streams },
    { "kill_at_the_first_server_of_a_version_joins_no_streams",
      kill_at_the_first_server_of_a_version_joins_no_streams },
    { "releases_inside_releases_join_no_streams", releases_inside_releases_join_no_streams },
    { "hosts_cut_from_the_store_join_no_streams", hosts_cut_from_the_store_join_no_streams },
    { "hosts_that_have_just_come_back_join_no_streams",
      hosts_that_have_just_come_back_join_no_streams },
    { "small_versions_are_neither_starved_nor_overloaded",
      small_versions_are_neither_starved_nor_overloaded },
    { "fleet_of_350_hosts_joins_no_streams", fleet_of_350_hosts_joins_no_streams },
  };

  return harness_run ("stream_fleet", CASES, sizeof CASES / sizeof CASES[0]);
}
