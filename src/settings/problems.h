/** @file
 * List of the errors found in one file, each with its line, so that all of them are reported at
 * once. */
#pragma once

#include <stddef.h>

typedef struct
{
  int line;
  char *text; /* "file:line: key: message, allowed: ..." */
} Problem;

typedef struct
{
  const char *file;
  Problem *list;
  size_t n;
} Problems;

/** @return an empty list, a talloc object under @p ctx. @p file is the file name in messages. */
Problems *problems_new (const void *ctx, const char *file);

/** Adds an error. @p allowed describes the accepted values; NULL omits that part of the message.
 * The list stays sorted by line. */
void problems_add (Problems *problems, int line, const char *key, const char *allowed,
                   const char *fmt, ...) __attribute__ ((format (printf, 5, 6)));

/** @return all errors, one per line; a talloc string under @p ctx. */
char *problems_print (const void *ctx, const Problems *problems);
