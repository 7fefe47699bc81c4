#include "fakes/virtual_timers.h"

#include <stdint.h>

#include <talloc.h>

struct Timer
{
  VirtualTimers *owner;
  FreezableTimers *freezable;
  int64_t due_ms;
  uint64_t seq;
  size_t heap_index;
  TimerFn fn;
  void *data;
};

struct VirtualTimers
{
  Timers timers;
  int64_t now;
  uint64_t next_seq;
  Timer **heap;
  size_t n;
  size_t capacity;
};

struct FreezableTimers
{
  Timers timers;
  VirtualTimers *owner;
  int64_t frozen_until_ms;
};

static bool
fires_before (const Timer *a, const Timer *b)
{
  return a->due_ms != b->due_ms ? a->due_ms < b->due_ms : a->seq < b->seq;
}

static void
set_slot (VirtualTimers *vt, size_t i, Timer *t)
{
  vt->heap[i] = t;
  t->heap_index = i;
}

static void
sift_up (VirtualTimers *vt, size_t i, Timer *t)
{
  while (i > 0 && fires_before (t, vt->heap[(i - 1) / 2]))
    {
      set_slot (vt, i, vt->heap[(i - 1) / 2]);
      i = (i - 1) / 2;
    }
  set_slot (vt, i, t);
}

static void
sift_down (VirtualTimers *vt, size_t i, Timer *t)
{
  for (;;)
    {
      size_t c = 2 * i + 1;

      if (c >= vt->n)
        break;
      if (c + 1 < vt->n && fires_before (vt->heap[c + 1], vt->heap[c]))
        c++;
      if (!fires_before (vt->heap[c], t))
        break;
      set_slot (vt, i, vt->heap[c]);
      i = c;
    }
  set_slot (vt, i, t);
}

static void
heap_remove (Timer *t)
{
  VirtualTimers *vt = t->owner;
  Timer *last = vt->heap[--vt->n];
  size_t i = t->heap_index;

  if (last == t)
    return;
  if (i > 0 && fires_before (last, vt->heap[(i - 1) / 2]))
    sift_up (vt, i, last);
  else
    sift_down (vt, i, last);
}

static int
timer_destroy (Timer *t)
{
  if (t->owner)
    heap_remove (t);
  return 0;
}

static Timer *
add_timer (VirtualTimers *vt, FreezableTimers *freezable, const void *ctx, int64_t delay_ms,
           TimerFn fn, void *data)
{
  Timer *t = talloc_zero (ctx, Timer);

  if (vt->n == vt->capacity)
    {
      vt->capacity = vt->capacity ? vt->capacity * 2 : 64;
      vt->heap = talloc_realloc (vt, vt->heap, Timer *, vt->capacity);
    }
  *t = (Timer){ .owner = vt,
                .freezable = freezable,
                .due_ms = vt->now + (delay_ms > 0 ? delay_ms : 0),
                .seq = vt->next_seq++,
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
  return add_timer ((VirtualTimers *)timers, NULL, ctx, delay_ms, fn, data);
}

static const TimersOps OPS = { now_ms, now_ms, start };

static int
virtual_timers_destroy (VirtualTimers *vt)
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
  talloc_set_destructor (vt, virtual_timers_destroy);
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
  if (t->due_ms > vt->now)
    vt->now = t->due_ms;
  if (t->freezable && t->freezable->frozen_until_ms > vt->now)
    {
      t->due_ms = t->freezable->frozen_until_ms;
      t->seq = vt->next_seq++;
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

  while (vt->n > 0 && vt->heap[0]->due_ms <= until_ms)
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
  return vt->n ? vt->heap[0]->due_ms : INT64_MAX;
}

static int64_t
freezable_now_ms (Timers *timers)
{
  return ((FreezableTimers *)timers)->owner->now;
}

static Timer *
freezable_start (Timers *timers, const void *ctx, int64_t delay_ms, TimerFn fn, void *data)
{
  FreezableTimers *freezable = (FreezableTimers *)timers;

  return add_timer (freezable->owner, freezable, ctx, delay_ms, fn, data);
}

static const TimersOps FREEZABLE_OPS = { freezable_now_ms, freezable_now_ms, freezable_start };

FreezableTimers *
freezable_timers_new (const void *ctx, VirtualTimers *timers)
{
  FreezableTimers *freezable = talloc_zero (ctx, FreezableTimers);

  freezable->timers.ops = &FREEZABLE_OPS;
  freezable->owner = timers;
  return freezable;
}

Timers *
freezable_timers_service (FreezableTimers *freezable)
{
  return &freezable->timers;
}

void
freezable_timers_freeze (FreezableTimers *freezable, int64_t until_ms)
{
  freezable->frozen_until_ms = until_ms;
}
