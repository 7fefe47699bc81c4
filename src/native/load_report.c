#include <stdlib.h>
#include <string.h>

#include "dispatch/limit_statement.h"
#include "native/load_report.h"

#define MAX_REQUESTS 1000000
#define MAX_AGE_MS   (INT64_C (3600) * 1000)

typedef struct
{
  const char *name;
  double max;
  double value;
  bool is_present;
} LoadField;

/* @return the first character after the field, or NULL if it is malformed, repeated or out of range.
 * Unknown fields are skipped, so that servers may add fields. */
static const char *
parse_field (const char *text, LoadField *fields, size_t n)
{
  size_t name_len = strcspn (text, "= ");
  char *end;
  double value;

  if (text[name_len] != '=')
    return NULL;
  value = strtod (text + name_len + 1, &end);
  if (end == text + name_len + 1 || (*end && *end != ' '))
    return NULL;
  for (size_t i = 0; i < n; i++)
    if (strlen (fields[i].name) == name_len && !strncmp (fields[i].name, text, name_len))
      {
        if (!(value >= 0 && value <= fields[i].max) || fields[i].is_present)
          return NULL;
        fields[i].value = value;
        fields[i].is_present = true;
      }
  return end;
}

bool
load_report_parse (const char *text, LoadReport *report)
{
  LoadField fields[] = {
    { "running", MAX_REQUESTS, 0, false },
    { "waiting", MAX_REQUESTS, 0, false },
    { "cache", 1, 0, false },
    { "leaving", 1, 0, false },
    { "age_ms", MAX_AGE_MS, 0, false },
    { "limit", LIMIT_MAX_REQUESTS_PER_S, 0, false },
  };

  while (*text)
    {
      text += strspn (text, " ");
      if (!*text)
        break;
      text = parse_field (text, fields, sizeof fields / sizeof fields[0]);
      if (!text)
        return false;
    }
  if (!fields[0].is_present || !fields[1].is_present)
    return false;
  *report = (LoadReport){ .running = (int)fields[0].value,
                          .waiting = (int)fields[1].value,
                          .cache_used = fields[2].value,
                          .draining = fields[3].value > 0,
                          .age_ms = (int64_t)fields[4].value,
                          .limit_requests_per_s = fields[5].value };
  return true;
}
