#include "core/invariant.h"

#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/counter.h"
#include "core/log.h"

static InvariantHook hook_fn;
static void *hook_data;
static _Atomic uint64_t violations;

void
invariant_set_hook (InvariantHook hook, void *data)
{
  hook_fn = hook;
  hook_data = data;
}

uint64_t
invariant_violations (void)
{
  return atomic_load (&violations);
}

void
invariant_violated (const char *name, const char *fmt, ...)
{
  char detail[256];
  char labels[96];
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (detail, sizeof detail, fmt, ap);
  va_end (ap);
  atomic_fetch_add (&violations, 1);
  if (hook_fn)
    {
      hook_fn (hook_data, name, detail);
      return;
    }
  snprintf (labels, sizeof labels, "invariant=\"%s\"", name);
  counter_add (counter_get ("pond_invariant_violations_total", labels, "Violated invariants."), 1);
  log_event (LOG_LEVEL_CRIT, "invariant", "violated", "name=%s detail=\"%s\"", name, detail);
  log_flush ();
#ifdef POND_INVARIANTS_FATAL
  abort ();
#endif
}
