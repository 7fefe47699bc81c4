/* What a host publishes of its grants, and what follows from it after a restart. */
#include <stdio.h>

#include <talloc.h>

#include "budget/ceilings.h"
#include "fakes/fake_store.h"
#include "fakes/virtual_timers.h"
#include "harness.h"

typedef struct
{
  VirtualTimers *vt;
  Timers *timers;
  FakeStore *store;
  FakePort *port;
  Ceilings *ceilings;
  Rng rng;
  bool has_grants;
} CeilingsWorld;

static void
collect (void *data, CeilingFn fn, void *fn_data)
{
  CeilingsWorld *f = data;

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

static const CeilingsEvents EVENTS
    = { .collect = collect, .ready = on_ready, .published = on_published };

static CeilingsWorld *
ceilings_world_new (void)
{
  CeilingsWorld *f = talloc_zero (NULL, CeilingsWorld);
  CeilingsOptions options = { .host = "host-0", .incarnation = 1, .events = &EVENTS, .data = f };

  rng_seed (&f->rng, 1);
  f->vt = virtual_timers_new (f, 1000);
  f->timers = virtual_timers_service (f->vt);
  f->store = fake_store_new (f, f->timers, &f->rng);
  f->port = fake_store_port (f->store);
  options.store = &f->port->store;
  options.timers = f->timers;
  options.rng = &f->rng;
  f->ceilings = ceilings_new (f, &options);
  return f;
}

static void
run (CeilingsWorld *f, int64_t ms)
{
  virtual_timers_run (f->vt, timers_now_ms (f->timers) + ms);
}

static bool
is_stalled (const CeilingsWorld *f)
{
  return ceilings_is_stalled (f->ceilings, timers_now_ms (f->timers));
}

/* Guards against a host that never hears of a silent store: it would keep requests waiting. */
static void
publication_without_an_answer_is_a_stall (void)
{
  CeilingsWorld *f = ceilings_world_new ();

  f->has_grants = true;
  run (f, 1000);
  CU_ASSERT_FALSE (is_stalled (f));
  f->port->silent = true;
  run (f, 2000);
  CU_ASSERT_TRUE (is_stalled (f));
  f->port->silent = false;
  run (f, 3000);
  CU_ASSERT_FALSE (is_stalled (f));
  talloc_free (f);
}

/* Guards against a host that takes the store for silent for ever, because its last ceilings got no answer
 * and it has had none to publish since: it refused the next request, and never ended a drain. */
static void
stall_ends_when_nothing_is_left_to_publish (void)
{
  CeilingsWorld *f = ceilings_world_new ();

  f->has_grants = true;
  run (f, 1000);
  f->port->silent = true;
  run (f, 2000);
  f->has_grants = false;
  f->port->silent = false;
  run (f, 3000);
  CU_ASSERT_FALSE (is_stalled (f));
  talloc_free (f);
}

/* Guards against a new incarnation that expects less growth than the old one had: both ask this function. */
static void
ceiling_holds_then_grows_to_its_most (void)
{
  Ceiling c = { 1000, 500, 4000 };

  CU_ASSERT_EQUAL (ceiling_at (&c, 0), 1000);
  CU_ASSERT_EQUAL (ceiling_at (&c, CEILING_LIFETIME_MS - 1), 1000);
  CU_ASSERT_EQUAL (ceiling_at (&c, CEILING_LIFETIME_MS + 2000), 2000);
  CU_ASSERT_EQUAL (ceiling_at (&c, 60000), 4000);
  CU_ASSERT_EQUAL (ceiling_at (&CEILING_NONE, 0), 0);
  CU_ASSERT_EQUAL (ceiling_at (&CEILING_NONE, CEILING_LIFETIME_MS), CEILING_UNLIMITED);
}

/* Guards against a ceiling that is too high while it is not known which of two publications is in force. */
static void
lower_of_two_ceilings_is_above_neither (void)
{
  static const Ceiling CEILINGS[]
      = { { 1000, 500, 4000 }, { 2000, 100, 9000 }, { 0, 5000, 3000 }, CEILING_NONE };

  for (size_t i = 0; i < 4; i++)
    for (size_t j = 0; j < 4; j++)
      for (int64_t age_ms = 0; age_ms < 30000; age_ms += 700)
        {
          Ceiling low = ceiling_lower (&CEILINGS[i], &CEILINGS[j]);

          CU_ASSERT (ceiling_at (&low, age_ms) <= ceiling_at (&CEILINGS[i], age_ms));
          CU_ASSERT (ceiling_at (&low, age_ms) <= ceiling_at (&CEILINGS[j], age_ms));
        }
}

/* Guards against tokens that are taken back although a host whose clock runs 4 % faster than the store's may have
 * used them: without the margin the old host's growth is ahead. */
static void
late_bound_allows_for_clocks_of_other_rates (void)
{
  Ceiling c = { 1000, 500, 900000 };
  CeilingsWorld *f = ceilings_world_new ();
  CeilingsOptions options = { .store = &f->port->store,
                              .timers = f->timers,
                              .rng = &f->rng,
                              .host = "host-1",
                              .incarnation = 8,
                              .events = &EVENTS,
                              .data = f };
  Ceilings *next;
  char row[160];

  snprintf (
      row, sizeof row,
      "{\"incarnation\":7,\"store_time_ms\":%d,\"ceilings\":{\"klubbarna\":[1000,500,900000]}}",
      2000 + FAKE_STORE_CLOCK_OFFSET_MS);
  fake_store_put (f->store, &(StoreKey){ "ceilings", "host-1", "bounds" }, row);
  run (f, 21000);
  next = ceilings_new (f, &options);
  run (f, 100);
  CU_ASSERT (ceilings_of_last (next, 7, "klubbarna") >= ceiling_at (&c, 20000 * 104 / 100));
  CU_ASSERT (ceilings_of_last (next, 7, "klubbarna") < ceiling_at (&c, 22000));
  CU_ASSERT_EQUAL (ceilings_of_last (next, 7, "another"), -1);
  CU_ASSERT_EQUAL (ceilings_of_last (next, 6, "klubbarna"), -1);
  talloc_free (next);
  talloc_free (f);
}

/* Guards against a row of another form that is taken for a low ceiling. */
static void
what_is_no_ceiling_is_not_read (void)
{
  static const char *const TEXTS[] = { "5", "[1,2]", "[1,2,3,4]", "[5,1,4]", "[-1,1,4]", "{}" };
  Ceiling c = { 1000, 500, 4000 };
  Ceiling copy = { 0 };
  json_t *json = ceiling_write (&c);

  CU_ASSERT_TRUE (ceiling_read (json, &copy));
  CU_ASSERT_TRUE (copy.tokens == 1000 && copy.per_s == 500 && copy.most == 4000);
  json_decref (json);
  CU_ASSERT_FALSE (ceiling_read (NULL, &copy));
  for (size_t i = 0; i < sizeof TEXTS / sizeof *TEXTS; i++)
    {
      json = json_loads (TEXTS[i], JSON_DECODE_ANY, NULL);
      CU_ASSERT_FALSE (ceiling_read (json, &copy));
      json_decref (json);
    }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "publication_without_an_answer_is_a_stall", publication_without_an_answer_is_a_stall },
    { "ceiling_holds_then_grows_to_its_most", ceiling_holds_then_grows_to_its_most },
    { "lower_of_two_ceilings_is_above_neither", lower_of_two_ceilings_is_above_neither },
    { "late_bound_allows_for_clocks_of_other_rates", late_bound_allows_for_clocks_of_other_rates },
    { "what_is_no_ceiling_is_not_read", what_is_no_ceiling_is_not_read },
    { "stall_ends_when_nothing_is_left_to_publish", stall_ends_when_nothing_is_left_to_publish },
  };

  return harness_run ("ceilings", CASES, sizeof CASES / sizeof *CASES);
}
