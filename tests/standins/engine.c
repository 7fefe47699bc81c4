#include "engine.h"

#include <talloc.h>

static void schedule (Engine *engine);

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
  engine->standin->load.cache_used = prefix_cache_used (&engine->cache);
}

/* @return milliseconds of prefill for the requests that join. */
static double
admit (Engine *engine)
{
  double ms = 0;

  while (engine->n_running < engine->batch && !list_is_empty (&engine->waiting))
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

  engine->stepping = false;
  for (ListNode *n = list_first (&engine->running); n; n = next)
    {
      EngineRequest *r = LIST_ENTRY (n, EngineRequest, node);

      next = list_next (&engine->running, n);
      if (++r->skipped < r->slow)
        continue;
      r->skipped = 0;
      r->produced++;
      engine->standin->tokens++;
      engine->token (r);
    }
  schedule (engine);
}

static void
schedule (Engine *engine)
{
  Timers *timers = loop_timers (engine->standin->loop);
  double ms;
  int64_t whole;

  if (engine->stepping)
    return;
  ms = admit (engine);
  if (engine->n_running == 0)
    return;
  ms += engine->token_ms * (1 + engine->batch_growth * (engine->n_running - 1)) + engine->debt_ms;
  whole = (int64_t)ms;
  engine->debt_ms = ms - (double)whole;
  engine->stepping = true;
  timers_start (timers, engine->standin, whole, finish_step, engine);
}

void
engine_add (Engine *engine, EngineRequest *request)
{
  ListNode *at = list_first (&engine->waiting);

  while (at && LIST_ENTRY (at, EngineRequest, node)->priority >= request->priority)
    at = list_next (&engine->waiting, at);
  if (at)
    list_insert_before (at, &request->node);
  else
    list_append (&engine->waiting, &request->node);
  engine->n_waiting++;
  update_load (engine);
  schedule (engine);
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
