#include "native/model_response.h"

#include <string.h>

#include <jansson.h>

/* An event with only the role, or only the end of the stream, carries no output. */
static bool
delta_has_output (const json_t *delta)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)delta, key, value)
  {
    if (!strcmp (key, "role") || json_is_null (value))
      continue;
    if (!json_is_string (value) || json_string_length (value) > 0)
      return true;
  }
  return false;
}

static Tokens
parse_usage (const json_t *usage)
{
  const json_t *prompt = json_object_get (usage, "prompt_tokens");
  const json_t *completion = json_object_get (usage, "completion_tokens");

  if (!json_is_integer (prompt) || !json_is_integer (completion) || json_integer_value (prompt) < 0
      || json_integer_value (completion) < 0)
    return -1;
  return tokens_add_saturated (json_integer_value (prompt), json_integer_value (completion));
}

ModelResponse
model_response_parse (const char *text, size_t len, const char *id)
{
  ModelResponse response = { .used = -1 };
  json_t *json = json_loadb (text, len, 0, NULL);
  const char *found = json_string_value (json_object_get (json, "id"));
  const json_t *choices = json_object_get (json, "choices");
  size_t i;
  json_t *choice;

  response.valid = json_is_object (json);
  response.id_matches = found && !strcmp (found, id);
  response.has_choices = json_array_size (choices) > 0;
  json_array_foreach (choices, i, choice)
  {
    if (delta_has_output (json_object_get (choice, "delta")))
      response.has_output = true;
  }
  response.used = parse_usage (json_object_get (json, "usage"));
  json_decref (json);
  return response;
}
