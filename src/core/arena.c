#include "core/arena.h"

#include <stdalign.h>
#include <string.h>

#include <talloc.h>

#define BLOCK_BYTES ((size_t)32 << 10)

struct Arena
{
  char *block;
  size_t used;
};

Arena *
arena_new (const void *ctx)
{
  Arena *a = talloc_zero (ctx, Arena);

  a->used = BLOCK_BYTES;
  return a;
}

void *
arena_alloc (Arena *a, size_t size)
{
  size_t start = (a->used + alignof (max_align_t) - 1) & ~(alignof (max_align_t) - 1);

  if (size > BLOCK_BYTES)
    return talloc_size (a, size);
  if (start + size > BLOCK_BYTES)
    {
      a->block = talloc_size (a, BLOCK_BYTES);
      start = 0;
    }
  a->used = start + size;
  return a->block + start;
}

const char *
arena_strdup (Arena *a, const char *text)
{
  size_t size;

  if (!text)
    return NULL;
  size = strlen (text) + 1;
  return memcpy (arena_alloc (a, size), text, size);
}
