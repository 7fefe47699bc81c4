/** @file
 * Continuous batching for the model engine stand-in. The engine runs in steps over a batch of limited size;
 * each step generates one token for every request in the batch. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "core/list.h"
#include "prefix_cache.h"
#include "standin.h"

typedef struct
{
  ListNode node;
  HttpCall *call;
  char *id;
  int priority;
  int64_t prompt_tokens;
  int64_t uncached_tokens;
  int64_t max_tokens;
  int64_t output_tokens;
  StandinRequestCounts *counts;
  bool stream;
  bool truncate_response;
  int steps_per_token; /* more than 1 simulates a slow server */
  int steps_skipped;   /* since the last token */
} EngineRequest;

typedef struct
{
  Standin *standin;
  int max_batch;
  double prefill_us_per_token;
  double token_ms;
  double batch_growth; /* relative increase of the step time per additional request in the batch */
  PrefixCache cache;
  List waiting; /* ordered by descending priority, then by arrival */
  List running;
  int n_waiting;
  int n_running;
  bool step_pending;
  double step_fraction_ms; /* below the timer's resolution; added to the next step */
  /** Called for each token generated for @p request. */
  void (*on_token) (EngineRequest *request);
} Engine;

void engine_init (Engine *engine, Standin *standin);
void engine_add (Engine *engine, EngineRequest *request);

/** Removes a running or waiting request; does nothing if it has been removed already. */
void engine_remove (Engine *engine, EngineRequest *request);
