#include "core/loop.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <talloc.h>

typedef struct Post Post;

struct Post
{
  LoopFn fn;
  void *data;
  Post *next;
};

struct Timer
{
  Loop *loop; /* NULL once the loop is gone */
  int64_t at_ms;
  uint64_t order; /* of starts, among timers of one time */
  size_t index;   /* place in the heap */
  TimerFn fn;
  void *data;
};

struct Loop
{
  Timers timers;
  struct tevent_context *tevent;
  int timer_fd;
  int64_t armed_ms; /* when timer_fd becomes readable; 0 if it is not set */
  Timer **heap;     /* by time */
  size_t n_timers;
  size_t heap_space;
  uint64_t next_order;
  int wake_fd;
  atomic_bool stopping;
  pthread_mutex_t lock; /* guards first and last */
  Post *first;
  Post *last;
};

/* --- Timers ------------------------------------------------------------------------------ */

static int64_t
clock_ms (clockid_t clock)
{
  struct timespec ts;

  clock_gettime (clock, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t
now_ms (Timers *timers)
{
  (void)timers;
  return clock_ms (CLOCK_BOOTTIME);
}

static int64_t
wall_ms (Timers *timers)
{
  (void)timers;
  return clock_ms (CLOCK_REALTIME);
}

static bool
earlier (const Timer *a, const Timer *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static void
heap_place (Loop *loop, size_t i, Timer *t)
{
  loop->heap[i] = t;
  t->index = i;
}

static void
sift_up (Loop *loop, size_t i, Timer *t)
{
  while (i > 0 && earlier (t, loop->heap[(i - 1) / 2]))
    {
      heap_place (loop, i, loop->heap[(i - 1) / 2]);
      i = (i - 1) / 2;
    }
  heap_place (loop, i, t);
}

static void
sift_down (Loop *loop, size_t i, Timer *t)
{
  for (;;)
    {
      size_t child = 2 * i + 1;

      if (child >= loop->n_timers)
        break;
      if (child + 1 < loop->n_timers && earlier (loop->heap[child + 1], loop->heap[child]))
        child++;
      if (!earlier (loop->heap[child], t))
        break;
      heap_place (loop, i, loop->heap[child]);
      i = child;
    }
  heap_place (loop, i, t);
}

/* Timers that are stopped leave the descriptor set: an early wake-up is cheaper than a system call for
 * each of them. */
static void
arm (Loop *loop)
{
  struct itimerspec spec = { 0 };
  int64_t at;

  if (loop->n_timers == 0)
    return;
  at = loop->heap[0]->at_ms;
  if (loop->armed_ms && loop->armed_ms <= at)
    return;
  loop->armed_ms = at;
  spec.it_value.tv_sec = at / 1000;
  spec.it_value.tv_nsec = (at % 1000) * 1000000;
  timerfd_settime (loop->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static int
timer_destroy (Timer *t)
{
  Loop *loop = t->loop;
  size_t i = t->index;
  Timer *last;

  if (!loop)
    return 0;
  t->loop = NULL;
  last = loop->heap[--loop->n_timers];
  if (last == t)
    return 0;
  if (i > 0 && earlier (last, loop->heap[(i - 1) / 2]))
    sift_up (loop, i, last);
  else
    sift_down (loop, i, last);
  return 0;
}

static Timer *
start (Timers *timers, const void *ctx, int64_t delay_ms, TimerFn fn, void *data)
{
  Loop *loop = (Loop *)timers;
  Timer *t = talloc (ctx, Timer);

  if (!t)
    return NULL;
  if (loop->n_timers == loop->heap_space)
    {
      loop->heap_space = loop->heap_space ? loop->heap_space * 2 : 64;
      loop->heap = talloc_realloc (loop, loop->heap, Timer *, loop->heap_space);
    }
  *t = (Timer){ .loop = loop,
                .at_ms = now_ms (timers) + (delay_ms > 0 ? delay_ms : 0),
                .order = loop->next_order++,
                .fn = fn,
                .data = data };
  talloc_set_destructor (t, timer_destroy);
  sift_up (loop, loop->n_timers++, t);
  arm (loop);
  return t;
}

/* Fires the timers that are due now; one that a callback starts with no delay waits for the next turn,
 * so that sockets are served in between. */
static void
on_timer_fd (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Loop *loop = data;
  uint64_t before = loop->next_order;
  int64_t now;
  uint64_t n;

  (void)ev;
  (void)fde;
  (void)flags;
  if (read (loop->timer_fd, &n, sizeof n) < 0)
    return;
  loop->armed_ms = 0;
  now = now_ms (&loop->timers);
  while (loop->n_timers > 0 && loop->heap[0]->at_ms <= now && loop->heap[0]->order < before)
    {
      Timer *t = loop->heap[0];
      TimerFn fn = t->fn;
      void *fn_data = t->data;

      talloc_free (t);
      fn (fn_data);
    }
  arm (loop);
}

static const TimersOps TIMERS_OPS = { now_ms, wall_ms, start };

/* --- Posts ------------------------------------------------------------------------------- */

static void
run_posts (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Loop *loop = data;
  uint64_t n;
  Post *p;

  (void)ev;
  (void)fde;
  (void)flags;
  if (read (loop->wake_fd, &n, sizeof n) < 0)
    return;
  pthread_mutex_lock (&loop->lock);
  p = loop->first;
  loop->first = NULL;
  loop->last = NULL;
  pthread_mutex_unlock (&loop->lock);
  while (p)
    {
      Post *next = p->next;

      p->fn (p->data);
      free (p);
      p = next;
    }
}

static int
loop_destroy (Loop *loop)
{
  while (loop->first)
    {
      Post *next = loop->first->next;

      free (loop->first);
      loop->first = next;
    }
  for (size_t i = 0; i < loop->n_timers; i++)
    loop->heap[i]->loop = NULL;
  close (loop->timer_fd);
  close (loop->wake_fd);
  pthread_mutex_destroy (&loop->lock);
  return 0;
}

Loop *
loop_new (const void *ctx)
{
  Loop *loop = talloc_zero (ctx, Loop);

  if (!loop)
    return NULL;
  loop->timers.ops = &TIMERS_OPS;
  pthread_mutex_init (&loop->lock, NULL);
  loop->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  loop->timer_fd = timerfd_create (CLOCK_BOOTTIME, TFD_CLOEXEC | TFD_NONBLOCK);
  talloc_set_destructor (loop, loop_destroy);
  loop->tevent = tevent_context_init (loop);
  if (loop->wake_fd < 0 || loop->timer_fd < 0 || !loop->tevent
      || !tevent_add_fd (loop->tevent, loop, loop->timer_fd, TEVENT_FD_READ, on_timer_fd, loop)
      || !tevent_add_fd (loop->tevent, loop, loop->wake_fd, TEVENT_FD_READ, run_posts, loop))
    {
      talloc_free (loop);
      return NULL;
    }
  return loop;
}

struct tevent_context *
loop_tevent (Loop *loop)
{
  return loop->tevent;
}

Timers *
loop_timers (Loop *loop)
{
  return &loop->timers;
}

static void
wake (Loop *loop)
{
  uint64_t one = 1;

  /* The counter cannot overflow; a full one has woken the loop already. */
  if (write (loop->wake_fd, &one, sizeof one) < 0)
    return;
}

void
loop_post (Loop *loop, LoopFn fn, void *data)
{
  Post *p = malloc (sizeof *p);

  if (!p)
    abort ();
  p->fn = fn;
  p->data = data;
  p->next = NULL;
  pthread_mutex_lock (&loop->lock);
  if (loop->last)
    loop->last->next = p;
  else
    loop->first = p;
  loop->last = p;
  pthread_mutex_unlock (&loop->lock);
  wake (loop);
}

static void
post_to_loop (void *target, LoopFn fn, void *data)
{
  loop_post (target, fn, data);
}

Poster
loop_poster (Loop *loop)
{
  return (Poster){ post_to_loop, loop };
}

void
loop_run (Loop *loop)
{
  while (!atomic_load (&loop->stopping))
    tevent_loop_once (loop->tevent);
}

void
loop_stop (Loop *loop)
{
  atomic_store (&loop->stopping, true);
  wake (loop);
}

int64_t
loop_monotonic_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}
