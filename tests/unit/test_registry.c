/* Which hosts there are, by the store's rows. */
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
  FakePort *port;
  Registry *registry;
  Rng rng;
} RegistryWorld;

static void
on_changed (void *data)
{
  (void)data;
}

static void
put_host (RegistryWorld *w, int i, int round)
{
  char name[32];
  char value[160];
  StoreKey key = { REGISTRY_TABLE, "", name };

  snprintf (name, sizeof name, "other-%d", i);
  snprintf (
      value, sizeof value,
      "{\"incarnation\":%d,\"operators\":\"10.0.0.1:1\",\"peers\":\"10.0.0.1:2\",\"round\":%d}",
      i + 1, round);
  fake_store_put (w->store, &key, value);
}

static RegistryWorld *
registry_world_new (int others)
{
  RegistryWorld *w = talloc_zero (NULL, RegistryWorld);
  RegistryOptions options = { .host = "host-0",
                              .incarnation = 1,
                              .data_centre = "uppsala-a",
                              .operators = "10.0.0.1:1",
                              .peers = "10.0.0.1:2",
                              .changed = on_changed,
                              .data = w };

  rng_seed (&w->rng, 1);
  w->vt = virtual_timers_new (w, 1000);
  w->timers = virtual_timers_service (w->vt);
  w->store = fake_store_new (w, w->timers, &w->rng);
  w->port = fake_store_port (w->store);
  for (int i = 0; i < others; i++)
    put_host (w, i, 0);
  options.store = &w->port->store;
  options.timers = w->timers;
  options.rng = &w->rng;
  w->registry = registry_new (w, &options);
  return w;
}

static void
run (RegistryWorld *w, int64_t ms)
{
  virtual_timers_run (w->vt, timers_now_ms (w->timers) + ms);
}

static size_t
hosts_of (const RegistryWorld *w)
{
  size_t n;

  registry_hosts (w->registry, &n);
  return n;
}

/* Guards against reads of all rows by all hosts in a fixed rhythm: at 300 hosts they cost more than anything
 * else that the store does. */
static void
rounds_stretch_with_the_fleet (void)
{
  RegistryWorld *few = registry_world_new (9);
  RegistryWorld *many = registry_world_new (299);

  run (few, 60000);
  run (many, 60000);
  CU_ASSERT_EQUAL (hosts_of (few), 1);
  CU_ASSERT (few->port->reads >= 8);
  CU_ASSERT (many->port->reads <= 6);
  talloc_free (few);
  talloc_free (many);
}

/* Guards against a host that is gone and still counts, and against one that is forgotten while it writes. */
static void
hosts_that_do_not_write_are_forgotten (void)
{
  RegistryWorld *w = registry_world_new (2);

  run (w, 2000);
  CU_ASSERT_EQUAL (hosts_of (w), 3);
  for (int round = 1; round < 8; round++)
    {
      put_host (w, 0, round);
      run (w, 8000);
    }
  CU_ASSERT_EQUAL (hosts_of (w), 2);
  put_host (w, 1, 9);
  run (w, 12000);
  CU_ASSERT_EQUAL (hosts_of (w), 3);
  run (w, 13000);
  put_host (w, 0, 9);
  run (w, 12000);
  CU_ASSERT_EQUAL (hosts_of (w), 2);
  fake_store_put (w->store, &(StoreKey){ REGISTRY_TABLE, "", "other-0" }, NULL);
  run (w, 12000);
  CU_ASSERT_EQUAL (hosts_of (w), 1);
  talloc_free (w);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "rounds_stretch_with_the_fleet", rounds_stretch_with_the_fleet },
    { "hosts_that_do_not_write_are_forgotten", hosts_that_do_not_write_are_forgotten },
  };

  return harness_run ("registry", CASES, sizeof CASES / sizeof *CASES);
}
