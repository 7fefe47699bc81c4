#include "settings/toml_file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>

/* Far larger than any valid file. Keeps a wrong path, such as that of a device, from exhausting
 * memory. */
#define FILE_MAX_BYTES (16 << 20)

static char *
read_stream (const void *ctx, FILE *f, size_t *len)
{
  size_t capacity = 64 << 10;
  char *text = talloc_array (ctx, char, capacity);
  size_t n = 0;
  size_t got;

  while ((got = fread (text + n, 1, capacity - n - 1, f)) > 0)
    {
      n += got;
      if (n > FILE_MAX_BYTES)
        {
          errno = EFBIG;
          talloc_free (text);
          return NULL;
        }
      if (capacity - n < 2)
        text = talloc_realloc (ctx, text, char, capacity *= 2);
    }
  if (ferror (f))
    {
      talloc_free (text);
      return NULL;
    }
  text[n] = '\0';
  *len = n;
  return text;
}

char *
toml_file_read (const void *ctx, const char *path, size_t *len, Problems *problems)
{
  FILE *f = strcmp (path, "-") != 0 ? fopen (path, "re") : stdin;
  char *text = f ? read_stream (ctx, f, len) : NULL;

  if (!text)
    problems_add (problems, 0, "file", NULL, "%s", strerror (errno));
  if (f && f != stdin)
    fclose (f);
  return text;
}

TomlNode *
toml_file_parse (const void *ctx, const char *text, size_t len, Problems *problems)
{
  TomlError error;
  TomlNode *root = toml_parse (ctx, text, len, &error);

  if (!root)
    problems_add (problems, error.line, "toml", NULL, "column %d: %s", error.column, error.message);
  return root;
}
