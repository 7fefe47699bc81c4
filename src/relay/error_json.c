#include "relay/error_json.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <talloc.h>

char *
error_json (const void *ctx, const Err *err, Outcome outcome, const char *request_id)
{
  const ErrInfo *info = err_info (err->kind);
  const char *message = err->detail[0] ? err->detail : info->name;
  json_t *json = json_pack ("{s:{s:s,s:s,s:b,s:s%,s:s}}", "error", "kind", info->name, "outcome",
                            outcome_name (outcome), "retryable", (int)info->retryable, "message",
                            message, strlen (message), "request_id", request_id);
  char *dump;
  char *text;

  /* json_pack() rejects a detail that is not UTF-8. */
  if (!json)
    json = json_pack ("{s:{s:s,s:s,s:b,s:s,s:s}}", "error", "kind", info->name, "outcome",
                      outcome_name (outcome), "retryable", (int)info->retryable, "message",
                      info->name, "request_id", request_id);
  dump = json_dumps (json, JSON_COMPACT);
  text = talloc_strdup (ctx, dump ? dump : "{}");
  free (dump);
  json_decref (json);
  return text;
}
