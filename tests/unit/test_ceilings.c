/* What a host publishes of its grants, on a store that loses answers. */
#include <talloc.h>

#include "budget/ceilings.h"
#include "fakes/fake_store.h"
#include "fakes/virtual_timers.h"
#include "harness.h"

typedef struct
{
  VirtualTimers *vt;
  Timers *timers;
  FakePort *port;
  Ceilings *ceilings;
  Rng rng;
  bool has_grants;
} CeilingsWorld;

static void
collect (void *data, CeilingFn fn, void *fn_data)
{
  CeilingsWorld *w = data;

  if (w->has_grants)
    fn (fn_data, "klubbarna", 1000);
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
  CeilingsWorld *w = talloc_zero (NULL, CeilingsWorld);
  CeilingsOptions options = { .host = "host-0", .incarnation = 1, .events = &EVENTS, .data = w };

  rng_seed (&w->rng, 1);
  w->vt = virtual_timers_new (w, 1000);
  w->timers = virtual_timers_service (w->vt);
  w->port = fake_store_port (fake_store_new (w, w->timers, &w->rng));
  options.store = &w->port->store;
  options.timers = w->timers;
  options.rng = &w->rng;
  w->ceilings = ceilings_new (w, &options);
  return w;
}

static void
run (CeilingsWorld *w, int64_t ms)
{
  virtual_timers_run (w->vt, timers_now_ms (w->timers) + ms);
}

static bool
is_stalled (const CeilingsWorld *w)
{
  return ceilings_is_stalled (w->ceilings, timers_now_ms (w->timers));
}

/* Guards against a host that never hears of a silent store: it would keep requests waiting. */
static void
publication_without_an_answer_is_a_stall (void)
{
  CeilingsWorld *w = ceilings_world_new ();

  w->has_grants = true;
  run (w, 1000);
  CU_ASSERT_FALSE (is_stalled (w));
  w->port->silent = true;
  run (w, 2000);
  CU_ASSERT_TRUE (is_stalled (w));
  w->port->silent = false;
  run (w, 3000);
  CU_ASSERT_FALSE (is_stalled (w));
  talloc_free (w);
}

/* Guards against a host that takes the store for silent for ever, because its last ceilings got no answer
 * and it has had none to publish since: it refused the next request, and never ended a drain. */
static void
stall_ends_when_nothing_is_left_to_publish (void)
{
  CeilingsWorld *w = ceilings_world_new ();

  w->has_grants = true;
  run (w, 1000);
  w->port->silent = true;
  run (w, 2000);
  w->has_grants = false;
  w->port->silent = false;
  run (w, 3000);
  CU_ASSERT_FALSE (is_stalled (w));
  talloc_free (w);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "publication_without_an_answer_is_a_stall", publication_without_an_answer_is_a_stall },
    { "stall_ends_when_nothing_is_left_to_publish", stall_ends_when_nothing_is_left_to_publish },
  };

  return harness_run ("ceilings", CASES, sizeof CASES / sizeof *CASES);
}
