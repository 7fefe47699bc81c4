#include "fakes/virtual_timers.h"

#include <stdint.h>

#include <talloc.h>

struct Timer
{
  VirtualTimers *owner;
  TimersView *view;
  int64_t at_ms;
  uint64_t order;
  size_t index; /* place in the heap */
  TimerFn fn;
  void *data;
};

struct VirtualTimers
{
  Timers timers;
  int64_t now;
  uint64_t next_order;
  Timer **heap;
  size_t n;
  size_t space;
};

struct TimersView
{
  Timers timers;
  VirtualTimers *owner;
  int64_t frozen_until;
};

static bool
earlier (const Timer *a, const Timer *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static void
place (VirtualTimers *vt, size_t i, Timer *t)
{
  vt->heap[i] = t;
  t->index = i;
}

static void
sift_up (VirtualTimers *vt, size_t i, Timer *t)
{
  while (i > 0 && earlier (t, vt->heap[(i - 1) / 2]))
    {
      place (vt, i, vt->heap[(i - 1) / 2]);
      i = (i - 1) / 2;
    }
  place (vt, i, t);
}

static void
sift_down (VirtualTimers *vt, size_t i, Timer *t)
{
  for (;;)
    {
      size_t c = 2 * i + 1;

      if (c >= vt->n)
        break;
      if (c + 1 < vt->n && earlier (vt->heap[c + 1], vt->heap[c]))
        c++;
      if (!earlier (vt->heap[c], t))
        break;
      place (vt, i, vt->heap[c]);
      i = c;
    }
  place (vt, i, t);
}

static void
unlink_timer (Timer *t)
{
  VirtualTimers *vt = t->owner;
  Timer *last = vt->heap[--vt->n];
  size_t i = t->index;

  if (last == t)
    return;
  if (i > 0 && earlier (last, vt->heap[(i - 1) / 2]))
    sift_up (vt, i, last);
  else
    sift_down (vt, i, last);
}

static int
timer_destroy (Timer *t)
{
  if (t->owner)
    unlink_timer (t);
  return 0;
}

static Timer *
add (VirtualTimers *vt, TimersView *view, const void *ctx, int64_t delay_ms, TimerFn fn, void *data)
{
  Timer *t = talloc_zero (ctx, Timer);

  if (vt->n == vt->space)
    {
      vt->space = vt->space ? vt->space * 2 : 64;
      vt->heap = talloc_realloc (vt, vt->heap, Timer *, vt->space);
    }
  *t = (Timer){ .owner = vt,
                .view = view,
                .at_ms = vt->now + (delay_ms > 0 ? delay_ms : 0),
                .order = vt->next_order++,
                .fn = fn,
                .data = data };
  talloc_set_destructor (t, timer_destroy);
  sift_up (vt, vt->n++, t);
  return t;
}

static int64_t
now_ms (Timers *timers)
{
  return ((VirtualTimers *)timers)->now;
}

static Timer *
start (Timers *timers, const void *ctx, int64_t delay_ms, TimerFn fn, void *data)
{
  return add ((VirtualTimers *)timers, NULL, ctx, delay_ms, fn, data);
}

static const TimersOps OPS = { now_ms, now_ms, start };

static int
destroy (VirtualTimers *vt)
{
  for (size_t i = 0; i < vt->n; i++)
    vt->heap[i]->owner = NULL;
  return 0;
}

VirtualTimers *
virtual_timers_new (const void *ctx, int64_t now)
{
  VirtualTimers *vt = talloc_zero (ctx, VirtualTimers);

  vt->timers.ops = &OPS;
  vt->now = now;
  talloc_set_destructor (vt, destroy);
  return vt;
}

Timers *
virtual_timers_service (VirtualTimers *timers)
{
  return &timers->timers;
}

bool
virtual_timers_step (VirtualTimers *vt)
{
  Timer *t;
  TimerFn fn;
  void *data;

  if (vt->n == 0)
    return false;
  t = vt->heap[0];
  if (t->at_ms > vt->now)
    vt->now = t->at_ms;
  if (t->view && t->view->frozen_until > vt->now)
    {
      t->at_ms = t->view->frozen_until;
      t->order = vt->next_order++;
      sift_down (vt, 0, t);
      return true;
    }
  fn = t->fn;
  data = t->data;
  talloc_free (t);
  fn (data);
  return true;
}

int64_t
virtual_timers_run (VirtualTimers *vt, int64_t until_ms)
{
  int64_t fired = 0;

  while (vt->n > 0 && vt->heap[0]->at_ms <= until_ms)
    {
      virtual_timers_step (vt);
      fired++;
    }
  if (vt->now < until_ms)
    vt->now = until_ms;
  return fired;
}

int64_t
virtual_timers_next_ms (const VirtualTimers *vt)
{
  return vt->n ? vt->heap[0]->at_ms : INT64_MAX;
}

static int64_t
view_now_ms (Timers *timers)
{
  return ((TimersView *)timers)->owner->now;
}

static Timer *
view_start (Timers *timers, const void *ctx, int64_t delay_ms, TimerFn fn, void *data)
{
  TimersView *view = (TimersView *)timers;

  return add (view->owner, view, ctx, delay_ms, fn, data);
}

static const TimersOps VIEW_OPS = { view_now_ms, view_now_ms, view_start };

TimersView *
timers_view_new (const void *ctx, VirtualTimers *timers)
{
  TimersView *view = talloc_zero (ctx, TimersView);

  view->timers.ops = &VIEW_OPS;
  view->owner = timers;
  return view;
}

Timers *
timers_view_service (TimersView *view)
{
  return &view->timers;
}

void
timers_view_freeze (TimersView *view, int64_t until_ms)
{
  view->frozen_until = until_ms;
}
