#include "backend/header_repeated.h"

#include <strings.h>

typedef struct
{
  const char *name;
  int n;
} HeaderCount;

static void
count_header (void *data, const char *name, const char *value)
{
  HeaderCount *c = data;

  (void)value;
  c->n += !strcasecmp (name, c->name);
}

bool
header_is_repeated (BackendCall *call, const char *name)
{
  HeaderCount count = { .name = name };

  backend_each_header (call, count_header, &count);
  return count.n > 1;
}
