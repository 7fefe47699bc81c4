/** @file
 * Invariant checks in every build. A violation is passed to the hook if a test program has set one;
 * otherwise it is counted in the metrics and logged, and a build with POND_INVARIANTS_FATAL aborts. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef void (*InvariantHook) (void *data, const char *name, const char *detail);

/** Sets a hook that replaces the default handling of violations. Not thread-safe; call before threads
 * start. */
void invariant_set_hook (InvariantHook hook, void *data);

/** @return the number of violations since the process started. Any thread. */
uint64_t invariant_violations (void);

void invariant_violated (const char *name, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Checks an invariant listed in docs/INVARIANTS.md; @p name is its name there. */
#define INVARIANT(name, condition, ...)                                                            \
  do                                                                                               \
    {                                                                                              \
      if (!(condition))                                                                            \
        invariant_violated (name, __VA_ARGS__);                                                    \
  } while (0)
