#include "native/model_answer.h"

#include <string.h>

#include <jansson.h>

/* An event that only announces the role, or only the end, carries no output. */
static bool
has_output (const json_t *delta)
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
read_usage (const json_t *usage)
{
  const json_t *prompt = json_object_get (usage, "prompt_tokens");
  const json_t *completion = json_object_get (usage, "completion_tokens");

  if (!json_is_integer (prompt) || !json_is_integer (completion) || json_integer_value (prompt) < 0
      || json_integer_value (completion) < 0)
    return -1;
  return tokens_add_saturated (json_integer_value (prompt), json_integer_value (completion));
}

ModelAnswer
model_answer_read (const char *text, size_t len, const char *id)
{
  ModelAnswer a = { .used = -1 };
  json_t *json = json_loadb (text, len, 0, NULL);
  const char *found = json_string_value (json_object_get (json, "id"));
  const json_t *choices = json_object_get (json, "choices");
  size_t i;
  json_t *choice;

  a.valid = json_is_object (json);
  a.id_matches = found && !strcmp (found, id);
  a.has_choices = json_array_size (choices) > 0;
  json_array_foreach (choices, i, choice)
  {
    if (has_output (json_object_get (choice, "delta")))
      a.has_token = true;
  }
  a.used = read_usage (json_object_get (json, "usage"));
  json_decref (json);
  return a;
}
