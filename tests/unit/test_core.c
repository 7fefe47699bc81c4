#include "harness.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/err.h"
#include "core/histogram.h"
#include "core/invariant.h"
#include "core/loop.h"
#include "core/rng.h"
#include "core/tokens.h"
#include "fakes/virtual_timers.h"

/* Guards against a kind without a table entry: callers would get an empty reason. */
static void
every_error_kind_has_an_answer (void)
{
  for (int k = 0; k < ERR_KINDS; k++)
    {
      const ErrInfo *info = err_info ((ErrKind)k);

      CU_ASSERT_PTR_NOT_NULL (info->name);
      CU_ASSERT (info->http_status >= 200 && info->http_status < 600);
      for (int j = 0; j < k && info->name; j++)
        CU_ASSERT (strcmp (info->name, err_info ((ErrKind)j)->name) != 0);
    }
}

/* Guards against wrap-around, which would turn a huge spend into a negative one. */
static void
token_addition_detects_overflow (void)
{
  Tokens sum = 7;

  CU_ASSERT_FALSE (tokens_add (INT64_MAX, 1, &sum));
  CU_ASSERT_EQUAL (sum, 7);
  CU_ASSERT_TRUE (tokens_add (40, 2, &sum));
  CU_ASSERT_EQUAL (sum, 42);
  CU_ASSERT_EQUAL (tokens_add_saturated (INT64_MAX, 5), INT64_MAX);
}

/* Guards against buckets that are out of order or too coarse. */
static void
histogram_quantile_is_within_a_bucket (void)
{
  Histogram *h = talloc_zero (NULL, Histogram);

  for (int64_t v = 1; v <= 100000; v++)
    histogram_add (h, v);
  for (int p = 1; p < 100; p++)
    {
      int64_t q = histogram_quantile (h, p / 100.0);

      CU_ASSERT (q >= p * 1000 && q <= p * 1000 * 114 / 100);
    }
  talloc_free (h);
}

static int fired[4];
static int n_fired;

static void
record (void *data)
{
  fired[n_fired++] = *(int *)data;
}

/* Guards against timers that fire out of order or after they were stopped. */
static void
virtual_timers_fire_in_order (void)
{
  VirtualTimers *vt = virtual_timers_new (NULL, 0);
  Timers *t = virtual_timers_service (vt);
  int ids[] = { 0, 1, 2, 3 };
  Timer *stopped;

  n_fired = 0;
  timers_start (t, vt, 20, record, &ids[2]);
  timers_start (t, vt, 10, record, &ids[0]);
  stopped = timers_start (t, vt, 15, record, &ids[3]);
  timers_start (t, vt, 10, record, &ids[1]);
  talloc_free (stopped);
  virtual_timers_run (vt, 100);
  CU_ASSERT_EQUAL (n_fired, 3);
  CU_ASSERT (fired[0] == 0 && fired[1] == 1 && fired[2] == 2);
  CU_ASSERT_EQUAL (timers_now_ms (t), 100);
  talloc_free (vt);
}

/* Guards against a paused host that acts during its pause. */
static void
frozen_view_fires_after_the_thaw (void)
{
  VirtualTimers *vt = virtual_timers_new (NULL, 0);
  FreezableTimers *view = freezable_timers_new (vt, vt);
  int id = 1;

  n_fired = 0;
  timers_start (freezable_timers_service (view), vt, 10, record, &id);
  freezable_timers_freeze (view, 50);
  virtual_timers_run (vt, 49);
  CU_ASSERT_EQUAL (n_fired, 0);
  virtual_timers_run (vt, 51);
  CU_ASSERT_EQUAL (n_fired, 1);
  talloc_free (vt);
}

typedef struct
{
  Loop *loop;
  int64_t started_us;
  int64_t fired_us;
} Wait;

static void
note_and_stop (void *data)
{
  Wait *w = data;

  w->fired_us = loop_monotonic_us ();
  loop_stop (w->loop);
}

static void *
sleep_60_ms (void *data)
{
  struct timespec ts = { 0, 60000000 };

  clock_nanosleep (CLOCK_MONOTONIC, 0, &ts, NULL);
  *(int64_t *)data = loop_monotonic_us ();
  return NULL;
}

/* Guards against timers that follow the time of day, which may be stepped: the service's clock and its
 * timers agree with the steady clock, and later timers do not overtake earlier ones. A thread that sleeps
 * for the same time tells a late timer from a machine that stands still. */
static void
loop_timers_follow_the_steady_clock (void)
{
  Wait w = { .loop = loop_new (NULL) };
  Timers *t = loop_timers (w.loop);
  int64_t before = timers_now_ms (t);
  int late = 7;
  Timer *stopped = timers_start (t, w.loop, 5, record, &late);
  int64_t awake_us = 0;
  pthread_t sleeper;

  n_fired = 0;
  CU_ASSERT_EQUAL (pthread_create (&sleeper, NULL, sleep_60_ms, &awake_us), 0);
  w.started_us = loop_monotonic_us ();
  timers_start (t, w.loop, 60, note_and_stop, &w);
  timers_start (t, w.loop, 10000, record, &late);
  talloc_free (stopped);
  loop_run (w.loop);
  pthread_join (sleeper, NULL);
  CU_ASSERT_EQUAL (n_fired, 0);
  CU_ASSERT (w.fired_us - w.started_us >= 59000);
  CU_ASSERT (w.fired_us - awake_us < 500000);
  CU_ASSERT (timers_now_ms (t) - before >= 59);
  CU_ASSERT (llabs (timers_now_ms (t) - loop_monotonic_us () / 1000) < 1000
             || timers_now_ms (t) > loop_monotonic_us () / 1000);
  CU_ASSERT (timers_wall_ms (t) > 1600000000000);
  talloc_free (w.loop);
}

/* Guards against an invariant macro that cannot fire. */
static void
violated_invariant_reaches_the_hook (void)
{
  harness_expect_violation ("test_invariant");
  INVARIANT ("test_invariant", 1 + 1 == 3, "sum is %d", 2);
  CU_ASSERT_EQUAL (harness_violations (), 1);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "every_error_kind_has_an_answer", every_error_kind_has_an_answer },
    { "token_addition_detects_overflow", token_addition_detects_overflow },
    { "histogram_quantile_is_within_a_bucket", histogram_quantile_is_within_a_bucket },
    { "virtual_timers_fire_in_order", virtual_timers_fire_in_order },
    { "frozen_view_fires_after_the_thaw", frozen_view_fires_after_the_thaw },
    { "loop_timers_follow_the_steady_clock", loop_timers_follow_the_steady_clock },
    { "violated_invariant_reaches_the_hook", violated_invariant_reaches_the_hook },
  };

  return harness_run ("core", CASES, sizeof CASES / sizeof CASES[0]);
}
