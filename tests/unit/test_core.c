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
#include "core/log.h"
#include "core/loop.h"
#include "core/rng.h"
#include "core/tokens.h"
#include "fakes/virtual_timers.h"

/* Guards against an error kind without an entry in the table, for which clients would get a response
 * without a reason. */
static void
every_error_kind_has_a_response (void)
{
  for (int k = 0; k < ERR_N_KINDS; k++)
    {
      const ErrInfo *info = err_info ((ErrKind)k);

      CU_ASSERT_PTR_NOT_NULL (info->name);
      CU_ASSERT (info->http_status >= 200 && info->http_status < 600);
      for (int j = 0; j < k && info->name; j++)
        CU_ASSERT (strcmp (info->name, err_info ((ErrKind)j)->name) != 0);
    }
}

/* Guards against integer overflow, which would turn a very large amount into a negative one. */
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

/* Guards against histogram buckets that are out of order or too wide. */
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
record_id (void *data)
{
  fired[n_fired++] = *(int *)data;
}

/* Guards against timers that fire out of order or after they have been stopped. */
static void
virtual_timers_fire_in_order (void)
{
  VirtualTimers *vt = virtual_timers_new (NULL, 0);
  Timers *t = virtual_timers_service (vt);
  int ids[] = { 0, 1, 2, 3 };
  Timer *stopped;

  n_fired = 0;
  timers_start (t, vt, 20, record_id, &ids[2]);
  timers_start (t, vt, 10, record_id, &ids[0]);
  stopped = timers_start (t, vt, 15, record_id, &ids[3]);
  timers_start (t, vt, 10, record_id, &ids[1]);
  talloc_free (stopped);
  virtual_timers_run (vt, 100);
  CU_ASSERT_EQUAL (n_fired, 3);
  CU_ASSERT (fired[0] == 0 && fired[1] == 1 && fired[2] == 2);
  CU_ASSERT_EQUAL (timers_now_ms (t), 100);
  talloc_free (vt);
}

/* Guards against a simulated host that runs timers while it is frozen. */
static void
frozen_timers_fire_after_the_freeze (void)
{
  VirtualTimers *vt = virtual_timers_new (NULL, 0);
  FreezableTimers *freezable = freezable_timers_new (vt, vt);
  int id = 1;

  n_fired = 0;
  timers_start (freezable_timers_service (freezable), vt, 10, record_id, &id);
  freezable_timers_freeze (freezable, 50);
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
} TimerResult;

static void
record_time_and_stop (void *data)
{
  TimerResult *r = data;

  r->fired_us = loop_monotonic_us ();
  loop_stop (r->loop);
}

static void *
sleep_60_ms (void *data)
{
  struct timespec ts = { 0, 60000000 };

  clock_nanosleep (CLOCK_MONOTONIC, 0, &ts, NULL);
  *(int64_t *)data = loop_monotonic_us ();
  return NULL;
}

/* Guards against timers based on the wall clock, which may be stepped, and against timers that fire
 * early, out of order or after they were stopped. A thread that sleeps for the same time distinguishes
 * a late timer from a stalled machine. */
static void
loop_timers_follow_the_monotonic_clock (void)
{
  TimerResult r = { .loop = loop_new (NULL) };
  Timers *t = loop_timers (r.loop);
  int64_t before = timers_now_ms (t);
  int must_not_fire = 7;
  Timer *stopped = timers_start (t, r.loop, 5, record_id, &must_not_fire);
  int64_t awake_us = 0;
  pthread_t sleeper;

  n_fired = 0;
  CU_ASSERT_EQUAL (pthread_create (&sleeper, NULL, sleep_60_ms, &awake_us), 0);
  r.started_us = loop_monotonic_us ();
  timers_start (t, r.loop, 60, record_time_and_stop, &r);
  timers_start (t, r.loop, 10000, record_id, &must_not_fire);
  talloc_free (stopped);
  loop_run (r.loop);
  pthread_join (sleeper, NULL);
  CU_ASSERT_EQUAL (n_fired, 0);
  CU_ASSERT (r.fired_us - r.started_us >= 59000);
  CU_ASSERT (r.fired_us - awake_us < 500000);
  CU_ASSERT (timers_now_ms (t) - before >= 59);
  CU_ASSERT (llabs (timers_now_ms (t) - loop_monotonic_us () / 1000) < 1000
             || timers_now_ms (t) > loop_monotonic_us () / 1000);
  CU_ASSERT (timers_wall_ms (t) > 1600000000000);
  talloc_free (r.loop);
}

/* Guards against a name from outside that looks like further fields of its log line. */
static void
word_in_the_log_forges_no_field (void)
{
  char word[12];

  CU_ASSERT_STRING_EQUAL (log_word (word, sizeof word, "v1.1-rc_2"), "v1.1-rc_2");
  CU_ASSERT_STRING_EQUAL (log_word (word, sizeof word, "a b=\"\n\xc3"), "a?b????");
  CU_ASSERT_STRING_EQUAL (log_word (word, sizeof word, "0123456789abc"), "0123456789a");
  CU_ASSERT_STRING_EQUAL (log_word (word, sizeof word, NULL), "-");
  CU_ASSERT_STRING_EQUAL (log_word (word, sizeof word, ""), "");
}

/* Guards against an INVARIANT macro that does not report violations. */
static void
violated_invariant_calls_the_hook (void)
{
  harness_expect_violation ("test_invariant");
  INVARIANT ("test_invariant", 1 + 1 == 3, "sum is %d", 2);
  CU_ASSERT_EQUAL (harness_violations (), 1);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "every_error_kind_has_a_response", every_error_kind_has_a_response },
    { "token_addition_detects_overflow", token_addition_detects_overflow },
    { "histogram_quantile_is_within_a_bucket", histogram_quantile_is_within_a_bucket },
    { "virtual_timers_fire_in_order", virtual_timers_fire_in_order },
    { "frozen_timers_fire_after_the_freeze", frozen_timers_fire_after_the_freeze },
    { "loop_timers_follow_the_monotonic_clock", loop_timers_follow_the_monotonic_clock },
    { "word_in_the_log_forges_no_field", word_in_the_log_forges_no_field },
    { "violated_invariant_calls_the_hook", violated_invariant_calls_the_hook },
  };

  return harness_run ("core", CASES, sizeof CASES / sizeof CASES[0]);
}
