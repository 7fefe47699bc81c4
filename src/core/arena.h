/** @file
 * Memory for many small objects that are freed together. Freeing them costs one call for each block, not for each
 * object. */
#pragma once

#include <stddef.h>

typedef struct Arena Arena;

/** @return a talloc object under @p ctx. */
Arena *arena_new (const void *ctx);

/** @return memory that is not initialised, aligned for any type, and freed with the arena. */
void *arena_alloc (Arena *arena, size_t size);

/** @return a copy of @p text, or NULL if it is NULL. */
const char *arena_strdup (Arena *arena, const char *text);
