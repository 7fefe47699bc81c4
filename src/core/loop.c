#include "core/loop.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <talloc.h>

#include "core/log.h"

typedef struct PostedCall PostedCall;

struct PostedCall
{
  LoopFn fn;
  void *data;
  PostedCall *next;
};

struct Timer
{
  Loop *loop; /* NULL after the loop was freed */
  int64_t due_ms;
  uint64_t seq; /* order of starts; timers due at the same time fire in this order */
  size_t heap_index;
  TimerFn fn;
  void *data;
};

struct Loop
{
  Timers timers;
  struct tevent_context *tevent;
  int timer_fd;
  int64_t armed_ms; /* when timer_fd becomes readable; 0 if it is not set */
  bool
      serves_others; /* timers are late and wait until all other ready descriptors have been served */
  Timer **heap;      /* binary heap ordered by fires_before() */
  size_t n_timers;
  size_t heap_capacity;
  uint64_t next_seq;
  int wake_fd;
  atomic_bool stopping;
  pthread_mutex_t lock; /* protects first_posted and last_posted */
  PostedCall *first_posted;
  PostedCall *last_posted;
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
fires_before (const Timer *a, const Timer *b)
{
  return a->due_ms != b->due_ms ? a->due_ms < b->due_ms : a->seq < b->seq;
}

static void
heap_set (Loop *loop, size_t i, Timer *t)
{
  loop->heap[i] = t;
  t->heap_index = i;
}

static void
sift_up (Loop *loop, size_t i, Timer *t)
{
  while (i > 0 && fires_before (t, loop->heap[(i - 1) / 2]))
    {
      heap_set (loop, i, loop->heap[(i - 1) / 2]);
      i = (i - 1) / 2;
    }
  heap_set (loop, i, t);
}

static void
sift_down (Loop *loop, size_t i, Timer *t)
{
  for (;;)
    {
      size_t child = 2 * i + 1;

      if (child >= loop->n_timers)
        break;
      if (child + 1 < loop->n_timers && fires_before (loop->heap[child + 1], loop->heap[child]))
        child++;
      if (!fires_before (loop->heap[child], t))
        break;
      heap_set (loop, i, loop->heap[child]);
      i = child;
    }
  heap_set (loop, i, t);
}

/* Sets timer_fd if the first timer is due before timer_fd would fire. timer_fd is not set later when a timer
 * is stopped: a premature wake-up is cheaper than a system call for each stopped timer. */
static void
arm_timer_fd (Loop *loop)
{
  struct itimerspec spec = { 0 };
  int64_t due_ms;

  if (loop->n_timers == 0)
    return;
  due_ms = loop->heap[0]->due_ms;
  if (loop->armed_ms && loop->armed_ms <= due_ms)
    return;
  loop->armed_ms = due_ms;
  spec.it_value.tv_sec = due_ms / 1000;
  spec.it_value.tv_nsec = (due_ms % 1000) * 1000000;
  timerfd_settime (loop->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static int
timer_destroy (Timer *t)
{
  Loop *loop = t->loop;
  size_t i = t->heap_index;
  Timer *last;

  if (!loop)
    return 0;
  t->loop = NULL;
  last = loop->heap[--loop->n_timers];
  if (last == t)
    return 0;
  if (i > 0 && fires_before (last, loop->heap[(i - 1) / 2]))
    sift_up (loop, i, last);
  else
    sift_down (loop, i, last);
  return 0;
}

static Timer *
start_timer (Timers *timers, const void *ctx, int64_t delay_ms, TimerFn fn, void *data)
{
  Loop *loop = (Loop *)timers;
  Timer *t = talloc (ctx, Timer);

  if (!t)
    return NULL;
  if (loop->n_timers == loop->heap_capacity)
    {
      loop->heap_capacity = loop->heap_capacity ? loop->heap_capacity * 2 : 64;
      loop->heap = talloc_realloc (loop, loop->heap, Timer *, loop->heap_capacity);
    }
  *t = (Timer){ .loop = loop,
                .due_ms = now_ms (timers) + (delay_ms > 0 ? delay_ms : 0),
                .seq = loop->next_seq++,
                .fn = fn,
                .data = data };
  talloc_set_destructor (t, timer_destroy);
  sift_up (loop, loop->n_timers++, t);
  arm_timer_fd (loop);
  return t;
}

/* A loop that is this late was stalled: by one of its own callbacks, or because the host gave it no processor
 * time or was suspended. */
#define STALL_LOG_MS 200

/* Timers that are later than this wait until what arrived in the meantime has been read. */
#define LATE_MS 10

/* Many timers judge how long something has been silent, and must not do so before what has already arrived is read. A
 * descriptor that is ready earlier than timer_fd is handed out before it. Those that became ready after it, while the
 * loop was stalled, are handed out if timer_fd is left readable once: epoll_wait() takes turns among the descriptors
 * that are ready. So late timers wait for each of these to be served once, and no longer.
 * @return true if the timers have to wait. */
static bool
must_serve_others (Loop *loop, int64_t now)
{
  int64_t late_ms = loop->n_timers > 0 ? now - loop->heap[0]->due_ms : 0;

  if (loop->serves_others || late_ms < LATE_MS)
    {
      loop->serves_others = false;
      return false;
    }
  if (late_ms >= STALL_LOG_MS)
    log_event (LOG_LEVEL_NOTICE, "loop", "stalled", "late_ms=%" PRId64, late_ms);
  loop->serves_others = true;
  return true;
}

/* Fires the timers that are due. A timer that a callback starts without delay fires in the next
 * iteration of the loop, so that sockets are served in between. */
static void
on_timer_fd (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Loop *loop = data;
  uint64_t end_seq = loop->next_seq;
  int64_t now;
  uint64_t n;

  (void)ev;
  (void)fde;
  (void)flags;
  now = now_ms (&loop->timers);
  if (must_serve_others (loop, now) || read (loop->timer_fd, &n, sizeof n) < 0)
    return;
  loop->armed_ms = 0;
  while (loop->n_timers > 0 && loop->heap[0]->due_ms <= now && loop->heap[0]->seq < end_seq)
    {
      Timer *t = loop->heap[0];
      TimerFn fn = t->fn;
      void *fn_data = t->data;

      talloc_free (t);
      fn (fn_data);
    }
  arm_timer_fd (loop);
}

static const TimersOps TIMERS_OPS = { now_ms, wall_ms, start_timer };

/* --- Posted calls ------------------------------------------------------------------------ */

static void
run_posted_calls (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Loop *loop = data;
  uint64_t n;
  PostedCall *p;

  (void)ev;
  (void)fde;
  (void)flags;
  if (read (loop->wake_fd, &n, sizeof n) < 0)
    return;
  pthread_mutex_lock (&loop->lock);
  p = loop->first_posted;
  loop->first_posted = NULL;
  loop->last_posted = NULL;
  pthread_mutex_unlock (&loop->lock);
  while (p)
    {
      PostedCall *next = p->next;

      p->fn (p->data);
      free (p);
      p = next;
    }
}

static int
loop_destroy (Loop *loop)
{
  while (loop->first_posted)
    {
      PostedCall *next = loop->first_posted->next;

      free (loop->first_posted);
      loop->first_posted = next;
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
      || !tevent_add_fd (loop->tevent, loop, loop->wake_fd, TEVENT_FD_READ, run_posted_calls, loop))
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
wake_loop (Loop *loop)
{
  uint64_t one = 1;

  /* The write can only fail if the counter is at its maximum, and then the loop has been woken
   * already. */
  if (write (loop->wake_fd, &one, sizeof one) < 0)
    return;
}

void
loop_post (Loop *loop, LoopFn fn, void *data)
{
  PostedCall *p = malloc (sizeof *p);

  if (!p)
    abort ();
  p->fn = fn;
  p->data = data;
  p->next = NULL;
  pthread_mutex_lock (&loop->lock);
  if (loop->last_posted)
    loop->last_posted->next = p;
  else
    loop->first_posted = p;
  loop->last_posted = p;
  pthread_mutex_unlock (&loop->lock);
  wake_loop (loop);
}

static void
post_to_loop (void *target, LoopFn fn, void *data)
{
  loop_post (target, fn, data);
}

Executor
loop_executor (Loop *loop)
{
  return (Executor){ post_to_loop, loop };
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
  wake_loop (loop);
}

int64_t
loop_monotonic_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}
