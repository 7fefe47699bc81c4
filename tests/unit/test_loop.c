/* The order in which a loop serves sockets, posted calls and timers after one of its callbacks has stalled it. */
#include "harness.h"

#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <talloc.h>

#include "core/loop.h"

#define N_SOCKETS 300
#define TIMER_MS  20
#define STALL_MS                                                                                   \
  80 /* from the start of the timers, so that they are late by more than the loop's limit */
#define SLOW_HANDLER_MS 15

typedef struct LoopFixture LoopFixture;

typedef struct
{
  LoopFixture *fixture;
  int fd;   /* watched by the loop */
  int peer; /* its other end */
  int n_served;
} TestSocket;

struct LoopFixture
{
  Loop *loop;
  TestSocket trigger; /* its handler stalls the loop */
  TestSocket sockets[N_SOCKETS];
  size_t n_sockets;
  bool always_ready; /* the handlers leave their sockets readable */
  int64_t handler_ms;
  int n_posted;
  /* When the last timer fired. */
  int timers[4];
  int n_timers;
  int min_served; /* of all sockets */
  int max_served;
  int posted_served;
};

static void
sleep_ms (int64_t ms)
{
  struct timespec ts = { 0, (long)ms * 1000000L };

  clock_nanosleep (CLOCK_MONOTONIC, 0, &ts, NULL);
}

static void
make_readable (const TestSocket *s)
{
  CU_ASSERT_EQUAL (write (s->peer, "x", 1), 1);
}

static void
consume (const TestSocket *s)
{
  char byte;

  CU_ASSERT_EQUAL (read (s->fd, &byte, 1), 1);
}

static void
on_socket (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  TestSocket *s = data;

  (void)ev;
  (void)fde;
  (void)flags;
  s->n_served++;
  sleep_ms (s->fixture->handler_ms);
  if (!s->fixture->always_ready)
    consume (s);
}

static void
on_posted (void *data)
{
  ((LoopFixture *)data)->n_posted++;
}

/* The timers expire first and the sockets become readable after them, all while the loop is stalled. */
static void
on_trigger (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  LoopFixture *f = ((TestSocket *)data)->fixture;

  (void)ev;
  (void)fde;
  (void)flags;
  consume (&f->trigger);
  sleep_ms (STALL_MS);
  for (size_t i = 0; i < f->n_sockets; i++)
    make_readable (&f->sockets[i]);
  loop_post (f->loop, on_posted, f);
}

static void
record_served (LoopFixture *f)
{
  f->min_served = f->n_sockets > 0 ? f->sockets[0].n_served : 0;
  f->max_served = 0;
  for (size_t i = 0; i < f->n_sockets; i++)
    {
      int n = f->sockets[i].n_served;

      if (n < f->min_served)
        f->min_served = n;
      if (n > f->max_served)
        f->max_served = n;
    }
  f->posted_served = f->n_posted;
}

static void
on_last_timer (void *data)
{
  LoopFixture *f = data;

  record_served (f);
  loop_stop (f->loop);
}

static void
watch (LoopFixture *f, TestSocket *s, tevent_fd_handler_t handler)
{
  int ends[2];

  CU_ASSERT_EQUAL (socketpair (AF_UNIX, SOCK_STREAM, 0, ends), 0);
  *s = (TestSocket){ .fixture = f, .fd = ends[0], .peer = ends[1] };
  CU_ASSERT_PTR_NOT_NULL (
      tevent_add_fd (loop_tevent (f->loop), f->loop, s->fd, TEVENT_FD_READ, handler, s));
}

static LoopFixture *
fixture_new (size_t n_sockets)
{
  LoopFixture *f = talloc_zero (NULL, LoopFixture);

  f->loop = loop_new (f);
  f->n_sockets = n_sockets;
  for (size_t i = 0; i < n_sockets; i++)
    watch (f, &f->sockets[i], on_socket);
  watch (f, &f->trigger, on_trigger);
  return f;
}

static void
run_with_stall (LoopFixture *f)
{
  make_readable (&f->trigger);
  loop_run (f->loop);
}

static void
close_socket (const TestSocket *s)
{
  close (s->fd);
  close (s->peer);
}

static void
fixture_free (LoopFixture *f)
{
  TALLOC_FREE (f->loop);
  for (size_t i = 0; i < f->n_sockets; i++)
    close_socket (&f->sockets[i]);
  close_socket (&f->trigger);
  talloc_free (f);
}

/* Guards against timers that judge a silence before the loop has read what arrived while it was stalled. */
static void
sockets_are_served_before_late_timers (void)
{
  LoopFixture *f = fixture_new (1);

  timers_start (loop_timers (f->loop), f->loop, TIMER_MS, on_last_timer, f);
  run_with_stall (f);
  CU_ASSERT_EQUAL (f->min_served, 1);
  CU_ASSERT_EQUAL (f->posted_served, 1);
  fixture_free (f);
}

/* Guards against a rule that reaches only some of the sockets. */
static void
each_of_many_sockets_is_served_before_late_timers (void)
{
  LoopFixture *f = fixture_new (N_SOCKETS);

  timers_start (loop_timers (f->loop), f->loop, TIMER_MS, on_last_timer, f);
  run_with_stall (f);
  CU_ASSERT_EQUAL (f->min_served, 1);
  CU_ASSERT_EQUAL (f->posted_served, 1);
  fixture_free (f);
}

/* Guards against sockets that are always readable and keep each other from being served, or the timers from firing: each
 * socket is served once before late timers, and none more than twice. */
static void
busy_sockets_do_not_starve_timers (void)
{
  LoopFixture *f = fixture_new (N_SOCKETS);

  f->always_ready = true;
  timers_start (loop_timers (f->loop), f->loop, TIMER_MS, on_last_timer, f);
  run_with_stall (f);
  CU_ASSERT (f->min_served >= 1);
  CU_ASSERT (f->max_served <= 2);
  fixture_free (f);
}

/* As above, with handlers that are so slow that the timers are late again in each iteration. */
static void
slow_sockets_do_not_starve_timers (void)
{
  LoopFixture *f = fixture_new (5);

  f->always_ready = true;
  f->handler_ms = SLOW_HANDLER_MS;
  timers_start (loop_timers (f->loop), f->loop, TIMER_MS, on_last_timer, f);
  run_with_stall (f);
  CU_ASSERT (f->min_served >= 1);
  CU_ASSERT (f->max_served <= 2);
  fixture_free (f);
}

typedef struct
{
  LoopFixture *fixture;
  int id;
} NumberedTimer;

static void
on_numbered_timer (void *data)
{
  NumberedTimer *t = data;

  t->fixture->timers[t->fixture->n_timers++] = t->id;
}

/* Guards against late timers that fire in another order than that of their times. */
static void
late_timers_fire_in_order (void)
{
  LoopFixture *f = fixture_new (1);
  Timers *t = loop_timers (f->loop);
  NumberedTimer numbered[] = { { f, 0 }, { f, 1 }, { f, 2 }, { f, 3 } };
  Timer *stopped = timers_start (t, f->loop, 5, on_numbered_timer, &numbered[3]);

  timers_start (t, f->loop, 15, on_numbered_timer, &numbered[1]);
  timers_start (t, f->loop, 15, on_numbered_timer, &numbered[2]);
  timers_start (t, f->loop, 10, on_numbered_timer, &numbered[0]);
  talloc_free (stopped);
  timers_start (t, f->loop, TIMER_MS, on_last_timer, f);
  run_with_stall (f);
  CU_ASSERT_EQUAL (f->n_timers, 3);
  for (int i = 0; i < f->n_timers; i++)
    CU_ASSERT_EQUAL (f->timers[i], i);
  CU_ASSERT_EQUAL (f->min_served, 1);
  fixture_free (f);
}

static void
stop_guard (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  TestSocket *s = data;
  LoopFixture *f = s->fixture;

  (void)ev;
  (void)fde;
  (void)flags;
  consume (s);
  s->n_served++;
  f->min_served = f->n_timers;
  loop_stop (f->loop);
}

/* Guards against the other order: what arrived before a timer was due is read before it too. */
static void
earlier_sockets_are_served_before_timers (void)
{
  LoopFixture *f = fixture_new (0);
  NumberedTimer timer = { f, 0 };

  watch (f, &f->sockets[0], stop_guard);
  f->n_sockets = 1;
  timers_start (loop_timers (f->loop), f->loop, TIMER_MS, on_numbered_timer, &timer);
  make_readable (&f->sockets[0]);
  sleep_ms (TIMER_MS + 2);
  loop_run (f->loop);
  CU_ASSERT_EQUAL (f->sockets[0].n_served, 1);
  CU_ASSERT_EQUAL (f->min_served, 0);
  fixture_free (f);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "sockets_are_served_before_late_timers", sockets_are_served_before_late_timers },
    { "each_of_many_sockets_is_served_before_late_timers",
      each_of_many_sockets_is_served_before_late_timers },
    { "busy_sockets_do_not_starve_timers", busy_sockets_do_not_starve_timers },
    { "slow_sockets_do_not_starve_timers", slow_sockets_do_not_starve_timers },
    { "late_timers_fire_in_order", late_timers_fire_in_order },
    { "earlier_sockets_are_served_before_timers", earlier_sockets_are_served_before_timers },
  };

  return harness_run ("loop", CASES, sizeof CASES / sizeof CASES[0]);
}
