/* Test stand-in of a model engine: an HTTP server for OpenAI-style chat completions with synthetic text. */

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
static int64_t last_fencing_token;
static json_t *desired_state;
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
estimate_tokens (size_t bytes)
{
  return (int64_t)((bytes + 3) / 4);
}

static void
finish_request (EngineRequest *r)
{
  engine_remove (&engine, r);
  standin->finished++;
  standin_request_counts (standin, r->id)->finished++;
}

static void
stream_token (EngineRequest *r)
{
  char event[512];
  bool last = r->output_tokens >= r->max_tokens;
  int n = snprintf (event, sizeof event,
                    "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\",\"choices\":["
                    "{\"index\":0,\"delta\":{\"content\":\"t%" PRId64 " \"},"
                    "\"finish_reason\":%s}],\"sent_us\":%" PRId64 "}\n\n",
                    r->id, r->output_tokens, last ? "\"length\"" : "null", loop_monotonic_us ());

  if (r->truncate_response && r->output_tokens > 1)
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
                r->id, r->prompt_tokens, r->output_tokens, r->prompt_tokens + r->output_tokens);
  http_call_write (r->call, event, (size_t)n);
  http_call_end_response (r->call);
  finish_request (r);
}

/* Sends the start of a response that is not streamed and closes the connection. There is no Content-Length, so
 * the client can detect the truncation only by the missing last chunk. */
static void
send_truncated_response (EngineRequest *r)
{
  HttpHeader header = { "X-Request-Id", r->id };

  http_call_begin_response (r->call, 200, &header, 1);
  http_call_write (r->call, "{\"id\":", 6);
  http_call_abort (r->call);
  engine_remove (&engine, r);
}

static void
send_response (EngineRequest *r)
{
  json_t *json;
  char *text = talloc_strdup (r, "");
  char *dump;

  if (r->truncate_response)
    {
      send_truncated_response (r);
      return;
    }
  for (int64_t i = 1; i <= r->output_tokens; i++)
    text = talloc_asprintf_append_buffer (text, "t%" PRId64 " ", i);
  json = json_pack ("{s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:{s:I,s:I,s:I}}", "id", r->id, "object",
                    "chat.completion", "choices", "index", 0, "message", "role", "assistant",
                    "content", text, "finish_reason", "length", "usage", "prompt_tokens",
                    (json_int_t)r->prompt_tokens, "completion_tokens", (json_int_t)r->output_tokens,
                    "total_tokens", (json_int_t)r->prompt_tokens + (json_int_t)r->output_tokens);
  dump = json_dumps (json, JSON_COMPACT);
  standin_respond (standin, r->call, 200, r->id, dump);
  free (dump);
  json_decref (json);
  finish_request (r);
}

static void
on_token (EngineRequest *r)
{
  if (r->stream)
    stream_token (r);
  else if (r->output_tokens >= r->max_tokens)
    send_response (r);
}

static void
begin_stream (EngineRequest *r)
{
  char load[128];
  HttpHeader headers[] = { { "Content-Type", "text/event-stream" },
                           { "X-Pond-Load", load },
                           { "X-Request-Id", r->id } };

  standin_format_load (standin, load, sizeof load);
  http_call_begin_response (r->call, 200, headers, 3);
}

static void
handle_completion (HttpCall *call)
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
      standin_respond (standin, call, 400, "", "{\"error\":\"bad JSON\"}");
      return;
    }
  r = talloc_zero (call, EngineRequest);
  prompt = prompt_text (r, body);
  cached = prefix_cache_access (&engine.cache, prompt, strlen (prompt));
  r->call = call;
  r->id = standin_response_id (standin, r, call);
  r->prompt_tokens = estimate_tokens (strlen (prompt));
  r->uncached_tokens = estimate_tokens (strlen (prompt) - cached);
  r->max_tokens = max ? json_integer_value (max) : DEFAULT_MAX_TOKENS;
  r->stream = json_is_true (json_object_get (body, "stream"));
  r->priority = (int)json_integer_value (json_object_get (body, "priority"));
  r->truncate_response = standin_take_fault (standin, FAULT_CLOSE_MID_RESPONSE);
  r->steps_per_token = standin_take_fault (standin, FAULT_SLOW) ? SLOW_FACTOR : 1;
  talloc_free (prompt);
  json_decref (body);
  http_call_set_data (call, r);
  standin->started++;
  standin->tokens += r->prompt_tokens;
  r->counts = standin_request_counts (standin, r->id);
  r->counts->started++;
  r->counts->tokens += r->prompt_tokens;
  if (r->stream)
    begin_stream (r);
  engine_add (&engine, r);
}

/* Stores the desired state that the order contains, unless its fencing token is older than the last accepted one. */
static void
handle_order (HttpCall *call)
{
  size_t len;
  const char *text = http_call_body (call, &len);
  json_t *body = json_loadb (text, len, 0, NULL);
  int64_t fencing_token = json_integer_value (json_object_get (body, "fencing"));
  json_t *state = json_object_get (body, "state");
  char response[64];

  snprintf (response, sizeof response, "{\"fencing\":%" PRId64 "}", last_fencing_token);
  if (!body || !state)
    standin_respond (standin, call, 400, "", "{}");
  else if (fencing_token < last_fencing_token && !ignore_fencing)
    standin_respond (standin, call, 409, "", response);
  else
    {
      last_fencing_token = fencing_token;
      json_decref (desired_state);
      desired_state = json_incref (state);
      snprintf (response, sizeof response, "{\"fencing\":%" PRId64 "}", last_fencing_token);
      standin_respond (standin, call, 200, "", response);
    }
  json_decref (body);
}

static void
respond_state (HttpCall *call)
{
  json_t *json
      = json_pack ("{s:I,s:O}", "fencing", (json_int_t)last_fencing_token, "state", desired_state);
  char *dump = json_dumps (json, JSON_COMPACT);

  standin_respond (standin, call, 200, "", dump);
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
    standin_respond (standin, call, 413, "", "{}");
  else if (!strcmp (method, "POST") && !strcmp (target, "/orders"))
    handle_order (call);
  else if (!strcmp (target, "/state"))
    respond_state (call);
  else if (standin_handle_common (standin, call))
    return;
  else if (!strcmp (method, "POST") && !strcmp (target, "/v1/chat/completions"))
    handle_completion (call);
  else
    standin_respond (standin, call, 404, "", "{}");
}

static void
on_writable (void *data, HttpCall *call)
{
  (void)data;
  (void)call;
}

static void
on_client_gone (void *data, HttpCall *call)
{
  EngineRequest *r = data;

  (void)call;
  if (!r || !r->node.next)
    return;
  engine_remove (&engine, r);
  standin->cancelled++;
  standin_request_counts (standin, r->id)->cancelled++;
}

static void
on_closed (void *data, HttpCall *call)
{
  (void)call;
  if (data)
    engine_remove (&engine, data);
}

static const HttpServerEvents EVENTS = { on_request, on_writable, on_client_gone, on_closed };

int
main (int argc, char **argv)
{
  int max_batch = 16;
  int cache_blocks = 4096;
  double prefill_us = 50;
  double token_ms = 10;
  double growth = 0.02;
  const GOptionEntry entries[] = {
    { "batch", 0, 0, G_OPTION_ARG_INT, &max_batch, "Requests per step", "N" },
    { "prefill-us-per-token", 0, 0, G_OPTION_ARG_DOUBLE, &prefill_us, "Prefill time", "US" },
    { "token-ms", 0, 0, G_OPTION_ARG_DOUBLE, &token_ms, "Step time for a batch of one", "MS" },
    { "batch-growth", 0, 0, G_OPTION_ARG_DOUBLE, &growth, "Step time growth per request", "F" },
    { "cache-blocks", 0, 0, G_OPTION_ARG_INT, &cache_blocks, "Prefix cache capacity", "N" },
    { "ignore-fencing", 0, 0, G_OPTION_ARG_NONE, &ignore_fencing,
      "Accept orders with an old fencing token", NULL },
    { 0 }
  };

  standin = standin_new (argc, argv, entries, &EVENTS, NULL);
  if (!standin)
    return 1;
  desired_state = json_object ();
  engine_init (&engine, standin);
  engine.max_batch = max_batch;
  engine.prefill_us_per_token = prefill_us;
  engine.token_ms = token_ms;
  engine.batch_growth = growth;
  engine.on_token = on_token;
  prefix_cache_init (&engine.cache, (size_t)cache_blocks);
  return standin_run (standin);
}
