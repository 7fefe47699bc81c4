#include "cli/load_impl.h"

static const char *const KIND_NAMES[LOAD_N_KINDS] = { "model", "stream", "booking", "look_up" };

static json_t *
errors_json (const LoadStats *stats)
{
  json_t *json = json_object ();
  GHashTableIter it;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&it, stats->errors);
  while (g_hash_table_iter_next (&it, &key, &value))
    json_object_set_new (json, key, json_integer (*(gint64 *)value));
  return json;
}

static json_t *
stats_json (LoadStats *s)
{
  return json_pack ("{s:I,s:I,s:I,s:I,s:o,s:o,s:o,s:o,s:o}", "sent", (json_int_t)s->sent, "good",
                    (json_int_t)s->succeeded, "truncated", (json_int_t)s->truncated, "tokens",
                    (json_int_t)s->tokens, "latency_us", load_samples_json (&s->latency),
                    "first_token_us", load_samples_json (&s->first_token), "between_tokens_us",
                    load_samples_json (&s->between_tokens), "token_delay_us",
                    load_samples_json (&s->token_delay), "errors", errors_json (s));
}

static json_t *
route_json (LoadRun *run, LoadRoute route)
{
  json_t *json = json_object ();

  for (int k = 0; k < LOAD_N_KINDS; k++)
    if (run->stats[route][k].sent > 0)
      json_object_set_new (json, KIND_NAMES[k], stats_json (&run->stats[route][k]));
  return json;
}

json_t *
load_results_json (LoadRun *run)
{
  return json_pack ("{s:I,s:f,s:f,s:I,s:I,s:o,s:o}", "seed", (json_int_t)run->options->seed, "rate",
                    run->options->rate, "seconds", run->options->seconds, "most_open",
                    (json_int_t)run->peak_open_requests, "skipped", (json_int_t)run->skipped,
                    "host", route_json (run, LOAD_VIA_HOST), "direct",
                    route_json (run, LOAD_DIRECT));
}
