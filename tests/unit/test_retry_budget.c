/* Retries of a service, summed over all hosts of a fleet in every sliding window, while hosts join, stop or are cut off
 * from the list of hosts. Virtual time. */
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "core/rng.h"
#include "dispatch/dispatch.h"
#include "harness.h"
#include "relay_fixture.h"

#define MAX_HOSTS 350
#define WINDOW_MS 10000
#define SLICE_MS  100
#define RATIO     0.2
#define ALLOWANCE 58

/* Slices of the run. */
#define RUN_SLICES    600
#define WINDOW_SLICES (WINDOW_MS / SLICE_MS)

typedef struct
{
  int n;
  Dispatch *hosts[MAX_HOSTS];
  bool running[MAX_HOSTS];
  int starts[MAX_HOSTS]; /* slice of the next start; 0: none */
  int told[MAX_HOSTS];   /* slice in which it is told the hosts after that */
  ListedHost list[MAX_HOSTS];
  CatalogService service;
  Rng rng;
  int requests[RUN_SLICES];
  int retries[RUN_SLICES];
} Fleet;

static Dispatch *
start_host (Fleet *f, int i, int slice)
{
  DispatchOptions options = { .host = f->list[i].name,
                              .data_centre = "d",
                              .region = "d",
                              .retries = { RATIO, WINDOW_MS, ALLOWANCE },
                              .policy = "least" };
  static const char *const SERVERS[] = { "server-0", "server-1", "server-2" };
  Dispatch *d;

  retry_limits_hold_back (&options.retries, (int64_t)slice * SLICE_MS);
  d = dispatch_new (f, &options);

  for (size_t k = 0; k < sizeof SERVERS / sizeof SERVERS[0]; k++)
    {
      ServerRecord record = {
        .id = SERVERS[k], .service = "s", .address = SERVERS[k], .data_centre = "d", .version = "v"
      };

      dispatch_server_changed (d, &record, (int64_t)slice * SLICE_MS);
    }
  return d;
}

static Fleet *
fleet_new (int n)
{
  Fleet *f = talloc_zero (NULL, Fleet);

  f->n = n;
  f->service = (CatalogService){ .name = "s" };
  rng_seed (&f->rng, 1);
  for (int i = 0; i < n; i++)
    f->list[i] = (ListedHost){ talloc_asprintf (f, "host-%d", i), "d", "d" };
  return f;
}

static void
start_hosts (Fleet *f, int from, int to)
{
  for (int i = from; i < to; i++)
    {
      f->hosts[i] = start_host (f, i, 0);
      f->running[i] = true;
    }
}

/* Hosts @p from to @p to are told the hosts up to @p known. */
static void
tell_hosts (Fleet *f, int from, int to, int known, int n_silent)
{
  for (int i = from; i < to; i++)
    dispatch_set_hosts (f->hosts[i], f->list, (size_t)known, n_silent);
}

/* A request that fails on every server and is retried as often as the host allows. */
static void
send_failing_request (Fleet *f, int host, int slice)
{
  DispatchQuery query = { .service = &f->service, .now_ms = (int64_t)slice * SLICE_MS };
  Err err = ERR_INIT;

  f->requests[slice]++;
  for (int attempt = 0; attempt < 3; attempt++)
    {
      Assignment *a = dispatch_pick (f->hosts[host], f, &query, &err);

      if (!a)
        return;
      f->retries[slice] += attempt > 0;
      assignment_end (a, ASSIGNMENT_CANCELLED, query.now_ms);
      query.is_retry = true;
    }
}

/* @return the requests of one slice; the mean is that of the rate. */
static int
draw_requests (Fleet *f, double requests_per_s)
{
  double expected = requests_per_s * SLICE_MS / 1000;
  int whole = (int)expected;

  return whole + rng_chance (&f->rng, expected - whole);
}

static void
run (Fleet *f, int from, int to, double requests_per_s)
{
  for (int slice = from; slice < to; slice++)
    for (int n = draw_requests (f, requests_per_s); n > 0; n--)
      {
        int host = (int)rng_below (&f->rng, (uint64_t)f->n);

        if (f->running[host])
          send_failing_request (f, host, slice);
      }
}

static int
sum (const int *slices, int from)
{
  int n = 0;

  for (int i = from < 0 ? 0 : from; i < from + WINDOW_SLICES; i++)
    n += i < RUN_SLICES ? slices[i] : 0;
  return n;
}

/* The requests are those of the window, of the one before it or of the one half a window before it. */
static void
check_windows (const Fleet *f)
{
  int worst = 0;

  for (int from = 0; from + WINDOW_SLICES <= RUN_SLICES; from++)
    {
      int requests = sum (f->requests, from);
      int excess;

      requests = MAX (requests, sum (f->requests, from - WINDOW_SLICES));
      requests = MAX (requests, sum (f->requests, from - WINDOW_SLICES / 2));
      excess = sum (f->retries, from) - (int)(RATIO * requests + ALLOWANCE);
      worst = MAX (worst, excess);
    }
  if (worst > 0)
    fprintf (stderr, "%d hosts: %d retries too many in a window\n", f->n, worst);
  CU_ASSERT (worst <= 0);
}

static const double RATES[] = { 2, 20, 200, 1000 };

static const int SIZES[] = { 5, 8, 20, 100, MAX_HOSTS };

/* Runs a case for fleets of several sizes, at several rates. */
static void
for_each_fleet (void (*run_case) (Fleet *f, double requests_per_s))
{
  for (size_t i = 0; i < sizeof SIZES / sizeof SIZES[0]; i++)
    for (size_t k = 0; k < sizeof RATES / sizeof RATES[0]; k++)
      {
        Fleet *f = fleet_new (SIZES[i]);

        run_case (f, RATES[k]);
        check_windows (f);
        talloc_free (f);
      }
}

static void
keep_steady (Fleet *f, double rate)
{
  start_hosts (f, 0, f->n);
  tell_hosts (f, 0, f->n, f->n, 0);
  run (f, 0, RUN_SLICES, rate);
}

/* Guards against parts of the allowance that add up to more than it. */
static void
retries_of_a_steady_fleet_stay_within_the_limit (void)
{
  for_each_fleet (keep_steady);
}

static void
let_hosts_join (Fleet *f, double rate)
{
  int before = f->n * 4 / 5;

  start_hosts (f, 0, before);
  tell_hosts (f, 0, before, before, 0);
  run (f, 0, 200, rate);
  start_hosts (f, before, f->n);
  run (f, 200, 205, rate);
  tell_hosts (f, before, f->n, f->n, 0);
  run (f, 205, 400, rate);
  tell_hosts (f, 0, before, f->n, 0);
  run (f, 400, RUN_SLICES, rate);
}

/* Guards against hosts that join and use their parts before the others know of them. */
static void
retries_stay_within_the_limit_while_hosts_join (void)
{
  for_each_fleet (let_hosts_join);
}

/* The second half of the hosts goes on with the list that it had; the first half learns that these are gone. */
static void
cut_hosts_off (Fleet *f, double rate)
{
  int half = f->n / 2;

  start_hosts (f, 0, f->n);
  tell_hosts (f, 0, f->n, f->n, 0);
  run (f, 0, 200, rate);
  tell_hosts (f, 0, half, half, f->n - half);
  run (f, 200, 500, rate);
  tell_hosts (f, 0, half, f->n, 0);
  run (f, 500, RUN_SLICES, rate);
}

/* Guards against hosts that take over the parts of others which are only cut off from the store, and go on sending. */
static void
retries_stay_within_the_limit_while_hosts_are_cut_off (void)
{
  for_each_fleet (cut_hosts_off);
}

static void
restart_all (Fleet *f, double rate)
{
  start_hosts (f, 0, f->n);
  run (f, 0, 50, rate);
  tell_hosts (f, 0, f->n, f->n, 0);
  run (f, 50, RUN_SLICES, rate);
}

/* Guards against a rush of retries after all hosts have restarted together, before they know each other. */
static void
retries_stay_within_the_limit_after_a_common_restart (void)
{
  for_each_fleet (restart_all);
}

/* --- Lives --------------------------------------------------------------------------------- */

/* Kills a host's process. The next one starts after some slices and is told the hosts after some more; @p alone: after the
 * rest of the run, as it is cut off from the list of hosts. */
static void
kill_host (Fleet *f, int i, int slice, bool alone)
{
  TALLOC_FREE (f->hosts[i]);
  f->running[i] = false;
  f->starts[i] = slice + 1 + (int)rng_below (&f->rng, 12);
  f->told[i] = alone ? RUN_SLICES : f->starts[i] + (int)rng_below (&f->rng, 20);
}

static void
advance_lives (Fleet *f, int slice)
{
  for (int i = 0; i < f->n; i++)
    {
      if (f->starts[i] == slice)
        {
          f->hosts[i] = start_host (f, i, slice);
          f->running[i] = true;
        }
      if (f->told[i] == slice && f->running[i])
        tell_hosts (f, i, i + 1, f->n, 0);
    }
}

static void
kill_some (Fleet *f, int slice, double share, bool alone)
{
  for (int i = 0; i < f->n; i++)
    if (f->running[i] && rng_chance (&f->rng, share))
      kill_host (f, i, slice, alone);
}

/* All hosts are killed together, as often as @p kills says, at random moments of one window. */
static void
run_kills_of_all (Fleet *f, double rate, int kills, bool alone)
{
  start_hosts (f, 0, f->n);
  tell_hosts (f, 0, f->n, f->n, 0);
  run (f, 0, 200, rate);
  for (int slice = 200, left = kills; slice < RUN_SLICES; slice++)
    {
      advance_lives (f, slice);
      if (left > 0 && rng_chance (&f->rng, 0.04 * kills))
        {
          kill_some (f, slice, 1, alone);
          left--;
        }
      run (f, slice, slice + 1, rate);
    }
}

static void
kill_all_once (Fleet *f, double rate)
{
  run_kills_of_all (f, rate, 1, false);
}

static void
kill_all_thrice (Fleet *f, double rate)
{
  run_kills_of_all (f, rate, 3, false);
}

static void
kill_all_in_a_cut (Fleet *f, double rate)
{
  run_kills_of_all (f, rate, 3, true);
}

/* Single hosts are killed all along, some of them several times in a window. */
static void
kill_single_hosts (Fleet *f, double rate)
{
  start_hosts (f, 0, f->n);
  tell_hosts (f, 0, f->n, f->n, 0);
  for (int slice = 0; slice < RUN_SLICES; slice++)
    {
      advance_lives (f, slice);
      if (rng_chance (&f->rng, 0.3))
        kill_some (f, slice, 0.2, false);
      run (f, slice, slice + 1, rate);
    }
}

/* Guards against processes that count from zero although their predecessors have sent requests again in the same window. */
static void
retries_of_all_lives_in_a_window_stay_within_the_limit (void)
{
  for_each_fleet (kill_all_once);
  for_each_fleet (kill_all_thrice);
  for_each_fleet (kill_all_in_a_cut);
  for_each_fleet (kill_single_hosts);
}

/* Guards against hosts that send nothing again for good after a start, and against ones that do within the window. */
static void
new_process_sends_again_once_a_window_has_passed (void)
{
  Fleet *f = fleet_new (5);
  int first = 0;

  start_hosts (f, 0, f->n);
  tell_hosts (f, 0, f->n, f->n, 0);
  for (; first < RUN_SLICES && f->retries[first > 0 ? first - 1 : 0] == 0; first++)
    run (f, first, first + 1, 200);
  CU_ASSERT (first > WINDOW_SLICES);
  CU_ASSERT (first < WINDOW_SLICES + 10);
  talloc_free (f);
}

/* @return how many requests the host may send again to the fixture's service; uses them up. */
static int
take_retries (RelayFixture *f)
{
  DispatchQuery query
      = { .service = f->service, .now_ms = timers_now_ms (f->deps.timers), .is_retry = true };
  Assignment *a;
  Err err = ERR_INIT;
  int n = 0;

  for (; (a = dispatch_pick (f->dispatch, f, &query, &err)); n++)
    assignment_end (a, ASSIGNMENT_CANCELLED, query.now_ms);
  CU_ASSERT_EQUAL (err.kind, ERR_RETRIES_EXHAUSTED);
  return n;
}

/* Guards against a host that refuses what it could still serve because nothing has answered it before: the limits are about
 * requests that reach servers. A connection that is refused is an answer: its server has ended, perhaps under such requests. */
static void
attempt_that_nothing_has_answered_takes_no_retry (void)
{
  static const FailurePoint POINTS[] = { FAIL_CONNECT, FAIL_REJECTED, FAIL_NO_RESPONSE };

  for (int i = 0; i < 4; i++)
    {
      RelayFixture *f = relay_fixture_new (CALL_IDEMPOTENT);
      bool answered = i < 3;

      take_retries (f);
      relay_fixture_start (f);
      if (answered)
        fake_backend_fail (relay_fixture_last_call (f), POINTS[i]);
      else
        fake_backend_time_out_connecting (relay_fixture_last_call (f));
      CU_ASSERT_EQUAL (f->backend->n_calls, answered ? 1 : 2);
      CU_ASSERT_EQUAL (f->n_responses, answered ? 1 : 0);
      if (!answered)
        {
          fake_backend_fail (relay_fixture_last_call (f), FAIL_NO_RESPONSE);
          CU_ASSERT_EQUAL (f->backend->n_calls, 2);
          CU_ASSERT_EQUAL (f->status, 502);
        }
      relay_fixture_free (f);
    }
}

/* Guards against a share of retries that grows with each failed connect. */
static void
request_that_is_tried_again_counts_once_for_the_share (void)
{
  int taken[2];

  for (int tries = 1; tries <= 3; tries += 2)
    {
      RelayFixture *f = relay_fixture_new (CALL_IDEMPOTENT);

      for (int i = 0; i < 100 * tries; i++)
        {
          DispatchQuery query = { .service = f->service,
                                  .now_ms = timers_now_ms (f->deps.timers),
                                  .is_counted = i % tries > 0 };
          Err err = ERR_INIT;

          assignment_end (dispatch_pick (f->dispatch, f, &query, &err), ASSIGNMENT_UNREACHABLE,
                          query.now_ms);
        }
      taken[tries / 2] = take_retries (f);
      relay_fixture_free (f);
    }
  CU_ASSERT (taken[0] > 40);
  CU_ASSERT_EQUAL (taken[1], taken[0]);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "attempt_that_nothing_has_answered_takes_no_retry",
      attempt_that_nothing_has_answered_takes_no_retry },
    { "request_that_is_tried_again_counts_once_for_the_share",
      request_that_is_tried_again_counts_once_for_the_share },
    { "retries_of_a_steady_fleet_stay_within_the_limit",
      retries_of_a_steady_fleet_stay_within_the_limit },
    { "retries_stay_within_the_limit_while_hosts_join",
      retries_stay_within_the_limit_while_hosts_join },
    { "retries_stay_within_the_limit_while_hosts_are_cut_off",
      retries_stay_within_the_limit_while_hosts_are_cut_off },
    { "retries_stay_within_the_limit_after_a_common_restart",
      retries_stay_within_the_limit_after_a_common_restart },
    { "retries_of_all_lives_in_a_window_stay_within_the_limit",
      retries_of_all_lives_in_a_window_stay_within_the_limit },
    { "new_process_sends_again_once_a_window_has_passed",
      new_process_sends_again_once_a_window_has_passed },
  };

  return harness_run ("retry_budget", CASES, sizeof CASES / sizeof CASES[0]);
}
