#include "settings/problems.h"

#include <stdarg.h>
#include <string.h>

#include <talloc.h>

Problems *
problems_new (const void *ctx, const char *file)
{
  Problems *p = talloc_zero (ctx, Problems);

  p->file = talloc_strdup (p, file);
  return p;
}

static void
insert (Problems *p, int line, char *text)
{
  size_t i = p->n;

  p->list = talloc_realloc (p, p->list, Problem, p->n + 1);
  for (; i > 0 && p->list[i - 1].line > line; i--)
    p->list[i] = p->list[i - 1];
  p->list[i] = (Problem){ line, text };
  p->n++;
}

void
problems_add (Problems *p, int line, const char *key, const char *allowed, const char *fmt, ...)
{
  va_list ap;
  char *message;
  char *text;

  va_start (ap, fmt);
  message = talloc_vasprintf (p, fmt, ap);
  va_end (ap);
  if (allowed)
    text = talloc_asprintf (p, "%s:%d: %s: %s, allowed: %s", p->file, line, key, message, allowed);
  else
    text = talloc_asprintf (p, "%s:%d: %s: %s", p->file, line, key, message);
  talloc_free (message);
  insert (p, line, text);
}

char *
problems_print (const void *ctx, const Problems *p)
{
  char *out = talloc_strdup (ctx, "");

  for (size_t i = 0; i < p->n; i++)
    out = talloc_asprintf_append_buffer (out, "%s\n", p->list[i].text);
  return out;
}
