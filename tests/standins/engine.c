#include "engine.h"

#include <talloc.h>

static void schedule_step (Engine *engine);

void
engine_init (Engine *engine, Standin *standin)
{
  engine->standin = standin;
  list_init (&engine->waiting);
  list_init (&engine->running);
}

static void
update_load (Engine *engine)
{
  engine->standin->load.running = engine->n_running;
  engine->standin->load.waiting = engine->n_waiting;
  engine->standin->load.cache_usage = prefix_cache_usage (&engine->cache);
}

/* Moves waiting requests into the batch. @return the prefill time of the admitted requests in ms. */
static double
admit_waiting (Engine *engine)
{
  double ms = 0;

  while (engine->n_running < engine->max_batch && !list_is_empty (&engine->waiting))
    {
      EngineRequest *r = LIST_ENTRY (list_first (&engine->waiting), EngineRequest, node);

      list_remove (&r->node);
      engine->n_waiting--;
      list_append (&engine->running, &r->node);
      engine->n_running++;
      ms += (double)r->uncached_tokens * engine->prefill_us_per_token / 1000;
    }
  update_load (engine);
  return ms;
}

static void
finish_step (void *data)
{
  Engine *engine = data;
  ListNode *next;

  engine->step_pending = false;
  for (ListNode *n = list_first (&engine->running); n; n = next)
    {
      EngineRequest *r = LIST_ENTRY (n, EngineRequest, node);

      next = list_next (&engine->running, n);
      if (++r->steps_skipped < r->steps_per_token)
        continue;
      r->steps_skipped = 0;
      r->output_tokens++;
      engine->standin->tokens++;
      r->counts->tokens++;
      engine->on_token (r);
    }
  schedule_step (engine);
}

static void
schedule_step (Engine *engine)
{
  Timers *timers = loop_timers (engine->standin->loop);
  double ms;
  int64_t whole_ms;

  if (engine->step_pending)
    return;
  ms = admit_waiting (engine);
  if (engine->n_running == 0)
    return;
  ms += engine->token_ms * (1 + engine->batch_growth * (engine->n_running - 1))
        + engine->step_fraction_ms;
  whole_ms = (int64_t)ms;
  engine->step_fraction_ms = ms - (double)whole_ms;
  engine->step_pending = true;
  timers_start (timers, engine->standin, whole_ms, finish_step, engine);
}

void
engine_add (Engine *engine, EngineRequest *request)
{
  ListNode *next = list_first (&engine->waiting);

  while (next && LIST_ENTRY (next, EngineRequest, node)->priority >= request->priority)
    next = list_next (&engine->waiting, next);
  if (next)
    list_insert_before (next, &request->node);
  else
    list_append (&engine->waiting, &request->node);
  engine->n_waiting++;
  update_load (engine);
  schedule_step (engine);
}

void
engine_remove (Engine *engine, EngineRequest *request)
{
  if (!request->node.next)
    return;
  for (ListNode *n = list_first (&engine->waiting); n; n = list_next (&engine->waiting, n))
    if (n == &request->node)
      {
        engine->n_waiting--;
        engine->n_running++;
        break;
      }
  engine->n_running--;
  list_remove (&request->node);
  update_load (engine);
}
