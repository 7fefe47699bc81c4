/* A model engine for tests: OpenAI-style chat completions with made-up text. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

#include "engine.h"

#define DEFAULT_MAX_TOKENS 16
#define SLOW_FACTOR        10

static Engine engine;
static Standin *standin;
static int64_t fencing;
static json_t *desired;
static gboolean ignore_fencing;

static char *
prompt_text (const void *ctx, const json_t *body)
{
  char *text = talloc_strdup (ctx, "");
  size_t i;
  json_t *message;

  json_array_foreach (json_object_get (body, "messages"), i, message)
  {
    const char *content = json_string_value (json_object_get (message, "content"));

    text = talloc_strdup_append_buffer (text, content ? content : "");
  }
  return text;
}

static int64_t
tokens_of (size_t bytes)
{
  return (int64_t)((bytes + 3) / 4);
}

static void
finished (EngineRequest *r)
{
  engine_remove (&engine, r);
  standin->finished++;
  standin_count (standin, r->id)->finished++;
}

static void
stream_token (EngineRequest *r)
{
  char event[512];
  bool last = r->produced >= r->max_tokens;
  int n = snprintf (event, sizeof event,
                    "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\",\"choices\":["
                    "{\"index\":0,\"delta\":{\"content\":\"t%" PRId64 " \"},"
                    "\"finish_reason\":%s}],\"sent_us\":%" PRId64 "}\n\n",
                    r->id, r->produced, last ? "\"length\"" : "null", loop_monotonic_us ());

  if (r->close_mid && r->produced > 1)
    {
      engine_remove (&engine, r);
      http_call_abort (r->call);
      return;
    }
  http_call_write (r->call, event, (size_t)n);
  if (!last)
    return;
  n = snprintf (event, sizeof event,
                "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\",\"choices\":[],"
                "\"usage\":{\"prompt_tokens\":%" PRId64 ",\"completion_tokens\":%" PRId64
                ",\"total_tokens\":%" PRId64 "}}\n\ndata: [DONE]\n\n",
                r->id, r->prompt_tokens, r->produced, r->prompt_tokens + r->produced);
  http_call_write (r->call, event, (size_t)n);
  http_call_end_response (r->call);
  finished (r);
}

/* A whole answer that breaks off: its length is announced by nothing but the missing last chunk. */
static void
break_off (EngineRequest *r)
{
  HttpHeader header = { "X-Request-Id", r->id };

  http_call_begin_response (r->call, 200, &header, 1);
  http_call_write (r->call, "{\"id\":", 6);
  http_call_abort (r->call);
  engine_remove (&engine, r);
}

static void
whole_answer (EngineRequest *r)
{
  json_t *json;
  char *text = talloc_strdup (r, "");
  char *dump;

  if (r->close_mid)
    {
      break_off (r);
      return;
    }
  for (int64_t i = 1; i <= r->produced; i++)
    text = talloc_asprintf_append_buffer (text, "t%" PRId64 " ", i);
  json = json_pack ("{s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:{s:I,s:I,s:I}}", "id", r->id, "object",
                    "chat.completion", "choices", "index", 0, "message", "role", "assistant",
                    "content", text, "finish_reason", "length", "usage", "prompt_tokens",
                    (json_int_t)r->prompt_tokens, "completion_tokens", (json_int_t)r->produced,
                    "total_tokens", (json_int_t)r->prompt_tokens + (json_int_t)r->produced);
  dump = json_dumps (json, JSON_COMPACT);
  standin_answer (standin, r->call, 200, r->id, dump);
  free (dump);
  json_decref (json);
  finished (r);
}

static void
on_token (EngineRequest *r)
{
  if (r->stream)
    stream_token (r);
  else if (r->produced >= r->max_tokens)
    whole_answer (r);
}

static void
begin_stream (EngineRequest *r)
{
  char load[128];
  HttpHeader headers[] = { { "Content-Type", "text/event-stream" },
                           { "X-Pond-Load", load },
                           { "X-Request-Id", r->id } };

  standin_load_text (standin, load, sizeof load);
  http_call_begin_response (r->call, 200, headers, 3);
}

static void
complete (HttpCall *call)
{
  size_t len;
  const char *text = http_call_body (call, &len);
  json_t *body = json_loadb (text, len, 0, NULL);
  json_t *max = json_object_get (body, "max_tokens");
  EngineRequest *r;
  char *prompt;
  size_t cached;

  if (!body)
    {
      standin_answer (standin, call, 400, "", "{\"error\":\"bad JSON\"}");
      return;
    }
  r = talloc_zero (call, EngineRequest);
  prompt = prompt_text (r, body);
  cached = prefix_cache_use (&engine.cache, prompt, strlen (prompt));
  r->call = call;
  r->id = standin_id (standin, r, call);
  r->prompt_tokens = tokens_of (strlen (prompt));
  r->uncached_tokens = tokens_of (strlen (prompt) - cached);
  r->max_tokens = max ? json_integer_value (max) : DEFAULT_MAX_TOKENS;
  r->stream = json_is_true (json_object_get (body, "stream"));
  r->priority = (int)json_integer_value (json_object_get (body, "priority"));
  r->close_mid = standin_fault (standin, FAULT_CLOSE_MID);
  r->slow = standin_fault (standin, FAULT_SLOW) ? SLOW_FACTOR : 1;
  talloc_free (prompt);
  json_decref (body);
  http_call_set_data (call, r);
  standin->started++;
  standin->tokens += r->prompt_tokens;
  standin_count (standin, r->id)->started++;
  if (r->stream)
    begin_stream (r);
  engine_add (&engine, r);
}

static void
take_order (HttpCall *call)
{
  size_t len;
  const char *text = http_call_body (call, &len);
  json_t *body = json_loadb (text, len, 0, NULL);
  int64_t number = json_integer_value (json_object_get (body, "fencing"));
  json_t *state = json_object_get (body, "state");
  char answer[64];

  snprintf (answer, sizeof answer, "{\"fencing\":%" PRId64 "}", fencing);
  if (!body || !state)
    standin_answer (standin, call, 400, "", "{}");
  else if (number < fencing && !ignore_fencing)
    standin_answer (standin, call, 409, "", answer);
  else
    {
      fencing = number;
      json_decref (desired);
      desired = json_incref (state);
      snprintf (answer, sizeof answer, "{\"fencing\":%" PRId64 "}", fencing);
      standin_answer (standin, call, 200, "", answer);
    }
  json_decref (body);
}

static void
show_state (HttpCall *call)
{
  json_t *json = json_pack ("{s:I,s:O}", "fencing", (json_int_t)fencing, "state", desired);
  char *dump = json_dumps (json, JSON_COMPACT);

  standin_answer (standin, call, 200, "", dump);
  free (dump);
  json_decref (json);
}

static void
on_request (void *data, HttpCall *call, HttpFault fault)
{
  const char *target = http_call_target (call);
  const char *method = http_call_method (call);

  (void)data;
  if (fault)
    standin_answer (standin, call, 413, "", "{}");
  else if (!strcmp (method, "POST") && !strcmp (target, "/orders"))
    take_order (call);
  else if (!strcmp (target, "/state"))
    show_state (call);
  else if (standin_common (standin, call))
    return;
  else if (!strcmp (method, "POST") && !strcmp (target, "/v1/chat/completions"))
    complete (call);
  else
    standin_answer (standin, call, 404, "", "{}");
}

static void
on_drained (void *data, HttpCall *call)
{
  (void)data;
  (void)call;
}

static void
on_gone (void *data, HttpCall *call)
{
  EngineRequest *r = data;

  (void)call;
  if (!r || !r->node.next)
    return;
  engine_remove (&engine, r);
  standin->cancelled++;
  standin_count (standin, r->id)->cancelled++;
}

static void
on_closed (void *data, HttpCall *call)
{
  (void)call;
  if (data)
    engine_remove (&engine, data);
}

static const HttpServerEvents EVENTS = { on_request, on_drained, on_gone, on_closed };

int
main (int argc, char **argv)
{
  int batch = 16;
  int cache_blocks = 4096;
  double prefill_us = 50;
  double token_ms = 10;
  double growth = 0.02;
  const GOptionEntry entries[]
      = { { "batch", 0, 0, G_OPTION_ARG_INT, &batch, "Requests per step", "N" },
          { "prefill-us-per-token", 0, 0, G_OPTION_ARG_DOUBLE, &prefill_us, "Prefill time", "US" },
          { "token-ms", 0, 0, G_OPTION_ARG_DOUBLE, &token_ms, "Step of a batch of one", "MS" },
          { "batch-growth", 0, 0, G_OPTION_ARG_DOUBLE, &growth, "Growth per further request", "F" },
          { "cache-blocks", 0, 0, G_OPTION_ARG_INT, &cache_blocks, "Prefix cache size", "N" },
          { "ignore-fencing", 0, 0, G_OPTION_ARG_NONE, &ignore_fencing, "Take stale orders", NULL },
          { 0 } };

  standin = standin_new (argc, argv, entries, &EVENTS, NULL);
  if (!standin)
    return 1;
  desired = json_object ();
  engine_init (&engine, standin);
  engine.batch = batch;
  engine.prefill_us_per_token = prefill_us;
  engine.token_ms = token_ms;
  engine.batch_growth = growth;
  engine.token = on_token;
  prefix_cache_init (&engine.cache, (size_t)cache_blocks);
  return standin_run (standin);
}
