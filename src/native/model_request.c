#include "native/model_request.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>
#include <xxhash.h>

#define DEFAULT_MAX_TOKENS 1024
#define MAX_TOKENS_LIMIT   32768

/* Size of one part of a prompt, and the approximate number of tokens in it. */
#define BYTES_PER_PART  2048
#define TOKENS_PER_PART 512

static bool
parse_max_tokens (const json_t *json, Tokens *max, Err *err)
{
  const json_t *value = json_object_get (json, "max_tokens");

  if (!value)
    value = json_object_get (json, "max_completion_tokens");
  *max = DEFAULT_MAX_TOKENS;
  if (!value || json_is_null (value))
    return true;
  if (!json_is_integer (value) || json_integer_value (value) < 1
      || json_integer_value (value) > MAX_TOKENS_LIMIT)
    return err_set (err, ERR_BAD_REQUEST, "max_tokens must be a whole number from 1 to %d",
                    MAX_TOKENS_LIMIT);
  *max = json_integer_value (value);
  return true;
}

static bool
validate (const json_t *json, Err *err)
{
  const json_t *n = json_object_get (json, "n");
  const json_t *stream = json_object_get (json, "stream");

  if (!json_is_object (json))
    return err_set (err, ERR_BAD_REQUEST, "the body is not a JSON object");
  if (!json_is_string (json_object_get (json, "model")))
    return err_set (err, ERR_BAD_REQUEST, "model is missing");
  if (!json_is_array (json_object_get (json, "messages")))
    return err_set (err, ERR_BAD_REQUEST, "messages is missing");
  if (stream && !json_is_boolean (stream) && !json_is_null (stream))
    return err_set (err, ERR_BAD_REQUEST, "stream must be true or false");
  /* The budget reservation covers only one completion. */
  if (n && !json_is_null (n) && !(json_is_integer (n) && json_integer_value (n) == 1))
    return err_set (err, ERR_BAD_REQUEST, "n must be 1");
  return true;
}

/* Hashes the roles and texts in order. Each hash covers the prompt up to the end of its part, so that
 * prompts with a common prefix have the same hashes for it. */
static void
hash_prompt_parts (ModelRequest *m, const json_t *messages)
{
  char *text = talloc_strdup (m, "");
  uint64_t hash = 0;
  size_t len;
  size_t i;
  json_t *message;

  json_array_foreach (messages, i, message)
  {
    const char *role = json_string_value (json_object_get (message, "role"));
    const char *content = json_string_value (json_object_get (message, "content"));

    text = talloc_asprintf_append_buffer (text, "%s\n%s\n", role ? role : "",
                                          content ? content : "");
  }
  len = strlen (text);
  for (size_t at = 0; at + BYTES_PER_PART <= len && m->n_parts < DISPATCH_MAX_PARTS;
       at += BYTES_PER_PART)
    {
      hash = XXH64 (text + at, BYTES_PER_PART, hash);
      m->parts[m->n_parts++] = (PromptPart){ hash, TOKENS_PER_PART };
    }
  talloc_free (text);
}

static void
enable_usage_event (ModelRequest *m, json_t *json)
{
  json_t *options = json_object_get (json, "stream_options");

  m->include_usage = json_is_true (json_object_get (options, "include_usage"));
  if (!json_is_object (options))
    {
      options = json_object ();
      json_object_set_new (json, "stream_options", options);
    }
  json_object_set_new (options, "include_usage", json_true ());
}

static void
encode_forward_body (ModelRequest *m, json_t *json, int priority)
{
  char *encoded;

  json_object_del (json, "max_completion_tokens");
  json_object_set_new (json, "max_tokens", json_integer (m->max_tokens));
  json_object_set_new (json, "priority", json_integer (priority));
  if (m->stream)
    enable_usage_event (m, json);
  encoded = json_dumps (json, JSON_COMPACT);
  m->forward_body = talloc_strdup (m, encoded);
  m->forward_body_len = strlen (m->forward_body);
  free (encoded);
}

ModelRequest *
model_request_parse (const void *ctx, const char *body, size_t len, int priority, Err *err)
{
  json_error_t error;
  json_t *json = json_loadb (body, len, 0, &error);
  ModelRequest *m;
  Tokens max_tokens;

  if (!json)
    {
      /* The parser's own message is not used, because it may quote the prompt. */
      err_set (err, ERR_BAD_REQUEST, "the body is not valid JSON (line %d, column %d)", error.line,
               error.column);
      return NULL;
    }
  if (!validate (json, err) || !parse_max_tokens (json, &max_tokens, err))
    {
      json_decref (json);
      return NULL;
    }
  m = talloc_zero (ctx, ModelRequest);
  m->model = talloc_strdup (m, json_string_value (json_object_get (json, "model")));
  m->stream = json_is_true (json_object_get (json, "stream"));
  m->prompt_tokens = (Tokens)len;
  m->max_tokens = max_tokens;
  hash_prompt_parts (m, json_object_get (json, "messages"));
  encode_forward_body (m, json, priority);
  json_decref (json);
  return m;
}
