/* Fleet membership by the heartbeat rows in the store. */
#include <stdio.h>

#include <talloc.h>

#include "fakes/fake_store.h"
#include "fakes/virtual_timers.h"
#include "fleet/registry.h"
#include "harness.h"

typedef struct
{
  VirtualTimers *vt;
  Timers *timers;
  FakeStore *store;
  FakeStoreClient *store_client;
  Registry *registry;
  Rng rng;
} RegistryFixture;

static void
on_changed (void *data)
{
  (void)data;
}

static void
put_host (RegistryFixture *f, int i, int round)
{
  char name[32];
  char value[160];
  StoreKey key = { REGISTRY_TABLE, "", name };

  snprintf (name, sizeof name, "other-%d", i);
  snprintf (
      value, sizeof value,
      "{\"incarnation\":%d,\"operators\":\"10.0.0.1:1\",\"peers\":\"10.0.0.1:2\",\"round\":%d}",
      i + 1, round);
  fake_store_put (f->store, &key, value);
}

static RegistryFixture *
registry_fixture_new (int others)
{
  RegistryFixture *f = talloc_zero (NULL, RegistryFixture);
  RegistryOptions options = { .host = "host-0",
                              .incarnation = 1,
                              .data_centre = "uppsala-a",
                              .operator_address = "10.0.0.1:1",
                              .peer_address = "10.0.0.1:2",
                              .changed = on_changed,
                              .data = f };

  rng_seed (&f->rng, 1);
  f->vt = virtual_timers_new (f, 1000);
  f->timers = virtual_timers_service (f->vt);
  f->store = fake_store_new (f, f->timers, &f->rng);
  f->store_client = fake_store_client_new (f->store);
  for (int i = 0; i < others; i++)
    put_host (f, i, 0);
  options.store = &f->store_client->store;
  options.timers = f->timers;
  options.rng = &f->rng;
  f->registry = registry_new (f, &options);
  return f;
}

static void
run_ms (RegistryFixture *f, int64_t ms)
{
  virtual_timers_run (f->vt, timers_now_ms (f->timers) + ms);
}

static size_t
host_count (const RegistryFixture *f)
{
  size_t n;

  registry_hosts (f->registry, &n);
  return n;
}

/* Guards against a fixed heartbeat interval: every host reads the rows of all hosts, which with 300 hosts costs the
 * store more than all its other work. */
static void
heartbeat_interval_grows_with_the_fleet (void)
{
  RegistryFixture *few = registry_fixture_new (9);
  RegistryFixture *many = registry_fixture_new (299);

  run_ms (few, 60000);
  run_ms (many, 60000);
  CU_ASSERT_EQUAL (host_count (few), 1);
  CU_ASSERT (few->store_client->reads >= 8);
  CU_ASSERT (many->store_client->reads <= 6);
  talloc_free (few);
  talloc_free (many);
}

static void
put_row (RegistryFixture *f, const char *name, const char *value)
{
  fake_store_put (f->store, &(StoreKey){ REGISTRY_TABLE, "", name }, value);
}

/* Guards against hosts that are not found, or found for ever, because there are more rows before theirs than one reply
 * has: of a large fleet, or left by another program. */
static void
hosts_behind_the_first_page_are_found_and_forgotten (void)
{
  static const char *const ODD[] = { "{", "[1]", "{\"operators\":7}", "" };
  RegistryFixture *f = registry_fixture_new (2);

  for (int i = 0; i < 1200; i++)
    {
      char name[24];

      snprintf (name, sizeof name, "a-%d", i);
      put_row (f, name, ODD[i % 4]);
    }
  run_ms (f, 12000);
  put_host (f, 0, 1);
  put_host (f, 1, 1);
  run_ms (f, 12000);
  CU_ASSERT_EQUAL (host_count (f), 3);
  put_row (f, "other-0", NULL);
  put_host (f, 1, 2);
  run_ms (f, 12000);
  CU_ASSERT_EQUAL (host_count (f), 2);
  talloc_free (f);
}

/* Guards against a stopped host that still counts as a member, and against a host that expires while its heartbeats
 * continue. */
static void
hosts_without_heartbeats_expire (void)
{
  RegistryFixture *f = registry_fixture_new (2);

  run_ms (f, 2000);
  CU_ASSERT_EQUAL (host_count (f), 3);
  for (int round = 1; round < 8; round++)
    {
      put_host (f, 0, round);
      run_ms (f, 8000);
    }
  CU_ASSERT_EQUAL (host_count (f), 2);
  put_host (f, 1, 9);
  run_ms (f, 12000);
  CU_ASSERT_EQUAL (host_count (f), 3);
  run_ms (f, 13000);
  put_host (f, 0, 9);
  run_ms (f, 12000);
  CU_ASSERT_EQUAL (host_count (f), 2);
  fake_store_put (f->store, &(StoreKey){ REGISTRY_TABLE, "", "other-0" }, NULL);
  run_ms (f, 12000);
  CU_ASSERT_EQUAL (host_count (f), 1);
  talloc_free (f);
}

/* Guards against hosts that are only cut off from the store and whose parts of shared limits the others take over, and
 * against rows of hosts long gone that take parts for ever. */
static void
silent_hosts_count_for_an_hour (void)
{
  RegistryFixture *f = registry_fixture_new (2);

  run_ms (f, 2000);
  CU_ASSERT_EQUAL (registry_silent_hosts (f->registry), 0);
  put_host (f, 0, 1);
  run_ms (f, 60000);
  CU_ASSERT_EQUAL (host_count (f), 1);
  CU_ASSERT_EQUAL (registry_silent_hosts (f->registry), 1);
  put_host (f, 0, 2);
  run_ms (f, 12000);
  CU_ASSERT_EQUAL (host_count (f), 2);
  CU_ASSERT_EQUAL (registry_silent_hosts (f->registry), 0);
  run_ms (f, 60000);
  CU_ASSERT_EQUAL (registry_silent_hosts (f->registry), 1);
  run_ms (f, 60 * 60 * 1000);
  CU_ASSERT_EQUAL (registry_silent_hosts (f->registry), 0);
  talloc_free (f);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "heartbeat_interval_grows_with_the_fleet", heartbeat_interval_grows_with_the_fleet },
    { "silent_hosts_count_for_an_hour", silent_hosts_count_for_an_hour },
    { "hosts_behind_the_first_page_are_found_and_forgotten",
      hosts_behind_the_first_page_are_found_and_forgotten },
    { "hosts_without_heartbeats_expire", hosts_without_heartbeats_expire },
  };

  return harness_run ("registry", CASES, sizeof CASES / sizeof *CASES);
}
