#include "native/model_body.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>
#include <xxhash.h>

#define DEFAULT_MAX_TOKENS 1024
#define MOST_MAX_TOKENS    32768

/* Bytes of a prompt that form one part; about 512 tokens. */
#define PART_BYTES      2048
#define TOKENS_PER_PART 512

static bool
read_max_tokens (const json_t *json, Tokens *max, Err *err)
{
  const json_t *value = json_object_get (json, "max_tokens");

  if (!value)
    value = json_object_get (json, "max_completion_tokens");
  *max = DEFAULT_MAX_TOKENS;
  if (!value || json_is_null (value))
    return true;
  if (!json_is_integer (value) || json_integer_value (value) < 1
      || json_integer_value (value) > MOST_MAX_TOKENS)
    return err_set (err, ERR_BAD_REQUEST, "max_tokens must be a whole number from 1 to %d",
                    MOST_MAX_TOKENS);
  *max = json_integer_value (value);
  return true;
}

static bool
check (const json_t *json, Err *err)
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
  /* The reservation covers one completion. */
  if (n && !json_is_null (n) && !(json_is_integer (n) && json_integer_value (n) == 1))
    return err_set (err, ERR_BAD_REQUEST, "n must be 1");
  return true;
}

/* The roles and texts in order: prompts that share a beginning share it here too. */
static void
find_parts (ModelBody *m, const json_t *messages)
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
  for (size_t at = 0; at + PART_BYTES <= len && m->n_parts < DISPATCH_MAX_PARTS; at += PART_BYTES)
    {
      hash = XXH64 (text + at, PART_BYTES, hash);
      m->parts[m->n_parts++] = (PromptPart){ hash, TOKENS_PER_PART };
    }
  talloc_free (text);
}

static void
ask_for_usage (ModelBody *m, json_t *json)
{
  json_t *options = json_object_get (json, "stream_options");

  m->wants_usage = json_is_true (json_object_get (options, "include_usage"));
  if (!json_is_object (options))
    {
      options = json_object ();
      json_object_set_new (json, "stream_options", options);
    }
  json_object_set_new (options, "include_usage", json_true ());
}

static void
rewrite (ModelBody *m, json_t *json, int priority)
{
  char *dump;

  json_object_del (json, "max_completion_tokens");
  json_object_set_new (json, "max_tokens", json_integer (m->max_tokens));
  json_object_set_new (json, "priority", json_integer (priority));
  if (m->stream)
    ask_for_usage (m, json);
  dump = json_dumps (json, JSON_COMPACT);
  m->forward = talloc_strdup (m, dump);
  m->forward_len = strlen (m->forward);
  free (dump);
}

ModelBody *
model_body_parse (const void *ctx, const char *body, size_t len, int priority, Err *err)
{
  json_error_t where;
  json_t *json = json_loadb (body, len, 0, &where);
  ModelBody *m;
  Tokens max_tokens;

  if (!json)
    {
      /* The parser's own message may quote the prompt. */
      err_set (err, ERR_BAD_REQUEST, "the body is not valid JSON (line %d, column %d)", where.line,
               where.column);
      return NULL;
    }
  if (!check (json, err) || !read_max_tokens (json, &max_tokens, err))
    {
      json_decref (json);
      return NULL;
    }
  m = talloc_zero (ctx, ModelBody);
  m->model = talloc_strdup (m, json_string_value (json_object_get (json, "model")));
  m->stream = json_is_true (json_object_get (json, "stream"));
  m->prompt_tokens = (Tokens)len;
  m->max_tokens = max_tokens;
  find_parts (m, json_object_get (json, "messages"));
  rewrite (m, json, priority);
  json_decref (json);
  return m;
}
