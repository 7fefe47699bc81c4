/* Ceilings: bounds that a host publishes for what it uses of its grants, and by which its next incarnation reclaims
 * the rest. */
#include <stdio.h>

#include <talloc.h>

#include "budget/ceiling_publisher.h"
#include "fakes/fake_store.h"
#include "fakes/virtual_timers.h"
#include "harness.h"

typedef struct
{
  VirtualTimers *vt;
  Timers *timers;
  FakeStore *store;
  FakeStoreClient *store_client;
  CeilingPublisher *publisher;
  Rng rng;
  bool has_grants;
} CeilingFixture;

static void
collect (void *data, CeilingFn fn, void *fn_data)
{
  CeilingFixture *f = data;

  if (f->has_grants)
    fn (fn_data, "klubbarna", &(Ceiling){ 1000, 100, 2000 });
}

static void
on_ready (void *data)
{
  (void)data;
}

static void
on_published (void *data, bool done)
{
  (void)data;
  (void)done;
}

static const WitnessId *
no_witness (void *data)
{
  (void)data;
  return NULL;
}

static const CeilingPublisherEvents EVENTS
    = { .collect = collect, .ready = on_ready, .published = on_published, .witness = no_witness };

static CeilingFixture *
ceiling_fixture_new (void)
{
  CeilingFixture *f = talloc_zero (NULL, CeilingFixture);
  CeilingPublisherOptions options
      = { .host = "host-0", .incarnation = 1, .events = &EVENTS, .data = f };

  rng_seed (&f->rng, 1);
  f->vt = virtual_timers_new (f, 1000);
  f->timers = virtual_timers_service (f->vt);
  f->store = fake_store_new (f, f->timers, &f->rng);
  f->store_client = fake_store_client_new (f->store);
  options.store = &f->store_client->store;
  options.timers = f->timers;
  options.rng = &f->rng;
  f->publisher = ceiling_publisher_new (f, &options);
  return f;
}

static void
run (CeilingFixture *f, int64_t ms)
{
  virtual_timers_run (f->vt, timers_now_ms (f->timers) + ms);
}

static bool
is_stalled (const CeilingFixture *f)
{
  return ceiling_publisher_is_stalled (f->publisher, timers_now_ms (f->timers));
}

/* Guards against a host that does not notice that the store has stopped answering, and lets requests wait. */
static void
unanswered_publication_counts_as_stalled (void)
{
  CeilingFixture *f = ceiling_fixture_new ();

  f->has_grants = true;
  run (f, 1000);
  CU_ASSERT_FALSE (is_stalled (f));
  f->store_client->drop_calls = true;
  run (f, 2000);
  CU_ASSERT_TRUE (is_stalled (f));
  f->store_client->drop_calls = false;
  run (f, 3000);
  CU_ASSERT_FALSE (is_stalled (f));
  talloc_free (f);
}

/* Guards against a host that considers the store unreachable for ever because its last publication got no response
 * and it has had no ceilings to publish since: it refused the next request, and its drain never ended. */
static void
stall_ends_when_there_is_nothing_to_publish (void)
{
  CeilingFixture *f = ceiling_fixture_new ();

  f->has_grants = true;
  run (f, 1000);
  f->store_client->drop_calls = true;
  run (f, 2000);
  f->has_grants = false;
  f->store_client->drop_calls = false;
  run (f, 3000);
  CU_ASSERT_FALSE (is_stalled (f));
  talloc_free (f);
}

/* Guards against a ceiling_at() that lets a ceiling grow too early or beyond its maximum. A host and its next
 * incarnation both use it, so that the latter assumes as much growth as the former was allowed. */
static void
ceiling_holds_then_grows_to_its_maximum (void)
{
  Ceiling c = { 1000, 500, 4000 };

  CU_ASSERT_EQUAL (ceiling_at (&c, 0), 1000);
  CU_ASSERT_EQUAL (ceiling_at (&c, CEILING_GROWTH_DELAY_MS - 1), 1000);
  CU_ASSERT_EQUAL (ceiling_at (&c, CEILING_GROWTH_DELAY_MS + 2000), 2000);
  CU_ASSERT_EQUAL (ceiling_at (&c, 60000), 4000);
  CU_ASSERT_EQUAL (ceiling_at (&CEILING_NONE, 0), 0);
  CU_ASSERT_EQUAL (ceiling_at (&CEILING_NONE, CEILING_GROWTH_DELAY_MS), CEILING_UNLIMITED);
}

/* Guards against a ceiling that is too high while it is unknown which of two publications the store has applied. */
static void
minimum_of_two_ceilings_exceeds_neither (void)
{
  static const Ceiling CEILINGS[]
      = { { 1000, 500, 4000 }, { 2000, 100, 9000 }, { 0, 5000, 3000 }, CEILING_NONE };

  for (size_t i = 0; i < 4; i++)
    for (size_t j = 0; j < 4; j++)
      for (int64_t age_ms = 0; age_ms < 30000; age_ms += 700)
        {
          Ceiling minimum = ceiling_min (&CEILINGS[i], &CEILINGS[j]);

          CU_ASSERT (ceiling_at (&minimum, age_ms) <= ceiling_at (&CEILINGS[i], age_ms));
          CU_ASSERT (ceiling_at (&minimum, age_ms) <= ceiling_at (&CEILINGS[j], age_ms));
        }
}

/* Guards against reclaiming tokens that the previous incarnation may have used because its clock ran 4 % faster than
 * the store's: without a margin, that incarnation's ceiling had grown further than the new one calculates. */
static void
bound_after_a_late_restart_allows_for_clock_drift (void)
{
  Ceiling c = { 1000, 500, 900000 };
  CeilingFixture *f = ceiling_fixture_new ();
  CeilingPublisherOptions options = { .store = &f->store_client->store,
                                      .timers = f->timers,
                                      .rng = &f->rng,
                                      .host = "host-1",
                                      .incarnation = 8,
                                      .events = &EVENTS,
                                      .data = f };
  CeilingPublisher *restarted;
  char row[160];

  snprintf (
      row, sizeof row,
      "{\"incarnation\":7,\"store_time_ms\":%d,\"ceilings\":{\"klubbarna\":[1000,500,900000]}}",
      2000 + FAKE_STORE_CLOCK_OFFSET_MS);
  fake_store_put (f->store, &(StoreKey){ "ceilings", "host-1", "bounds" }, row);
  run (f, 21000);
  restarted = ceiling_publisher_new (f, &options);
  run (f, 100);
  CU_ASSERT (ceiling_publisher_previous_max (restarted, 7, "klubbarna")
             >= ceiling_at (&c, 20000 * 104 / 100));
  CU_ASSERT (ceiling_publisher_previous_max (restarted, 7, "klubbarna") < ceiling_at (&c, 22000));
  CU_ASSERT_EQUAL (ceiling_publisher_previous_max (restarted, 7, "another"), -1);
  CU_ASSERT_EQUAL (ceiling_publisher_previous_max (restarted, 6, "klubbarna"), -1);
  talloc_free (restarted);
  talloc_free (f);
}

/* Guards against reading a row of another format as a low ceiling. */
static void
malformed_ceiling_is_rejected (void)
{
  static const char *const TEXTS[]
      = { "5", "[1,2]", "[1,2,3,4]", "[5,1,4]", "[-1,1,-2]", "[-1,-1,4]", "{}" };
  Ceiling c = { 1000, 500, 4000 };
  Ceiling parsed = { 0 };
  json_t *json = ceiling_to_json (&c);

  CU_ASSERT_TRUE (ceiling_from_json (json, &parsed));
  CU_ASSERT_TRUE (parsed.base == 1000 && parsed.growth_per_s == 500 && parsed.max == 4000);
  json_decref (json);
  CU_ASSERT_FALSE (ceiling_from_json (NULL, &parsed));
  for (size_t i = 0; i < sizeof TEXTS / sizeof *TEXTS; i++)
    {
      json = json_loads (TEXTS[i], JSON_DECODE_ANY, NULL);
      CU_ASSERT_FALSE (ceiling_from_json (json, &parsed));
      json_decref (json);
    }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "unanswered_publication_counts_as_stalled", unanswered_publication_counts_as_stalled },
    { "ceiling_holds_then_grows_to_its_maximum", ceiling_holds_then_grows_to_its_maximum },
    { "minimum_of_two_ceilings_exceeds_neither", minimum_of_two_ceilings_exceeds_neither },
    { "bound_after_a_late_restart_allows_for_clock_drift",
      bound_after_a_late_restart_allows_for_clock_drift },
    { "malformed_ceiling_is_rejected", malformed_ceiling_is_rejected },
    { "stall_ends_when_there_is_nothing_to_publish", stall_ends_when_there_is_nothing_to_publish },
  };

  return harness_run ("ceilings", CASES, sizeof CASES / sizeof *CASES);
}
