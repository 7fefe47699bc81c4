#include <inttypes.h>

#include "core/log.h"
#include "host/host_parts.h"

/* From the start of a drain: the balancer asks once a second and takes a host out after two misses. */
#define CLOSE_AFTER_MS 1500

/* From the start of a drain: no new connections come any more, and what still comes on open ones might last
 * beyond the deadline. Callers repeat it on another host. */
#define REFUSE_AFTER_MS 2500

/* Before the deadline, in a short drain: what comes later would be cut while a server works on it. */
#define LAST_REQUESTS_MS 3000

/* Before the deadline, to give tokens back and to end. */
#define RESERVE_MS 500

static void
finish (Host *h, bool complete)
{
  h->drained = complete;
  log_event (LOG_LEVEL_NOTICE, "host", "stop", "host=%s complete=%d open=%zu",
             h->settings->host_name, complete, entry_open_requests (h->entry));
  log_flush ();
  loop_stop (h->control);
}

static bool
takes_no_more (int64_t age_ms, int64_t deadline_ms)
{
  return age_ms >= REFUSE_AFTER_MS
         || (age_ms >= CLOSE_AFTER_MS && age_ms >= deadline_ms - LAST_REQUESTS_MS);
}

void
host_step_drain (Host *h)
{
  int64_t age = host_now_ms (h) - h->drain_ms;
  int64_t deadline = h->settings->drain_deadline_ms;
  bool idle = entry_open_requests (h->entry) == 0;
  /* From the beginning: what stays here until the last stream ends, other hosts lack. */
  bool holds = budgets_return_all (h->budgets);

  if (age >= CLOSE_AFTER_MS && !h->closing)
    {
      h->closing = true;
      entry_close_after_answers (h->entry, true);
    }
  if (!h->refusing && takes_no_more (age, deadline))
    {
      h->refusing = true;
      entry_refuse_new (h->entry);
    }
  if (age >= deadline - RESERVE_MS / 2)
    {
      finish (h, false);
      return;
    }
  if (!(idle && age >= h->settings->drain_grace_ms) && age < deadline - RESERVE_MS)
    return;
  if (!h->returning)
    {
      h->returning = true;
      registry_deregister (h->registry);
    }
  if (!holds && idle)
    finish (h, true);
}

void
host_drain (Host *h)
{
  if (h->drain_ms)
    return;
  h->drain_ms = host_now_ms (h);
  budgets_leave (h->budgets);
  log_event (LOG_LEVEL_NOTICE, "host", "drain", "host=%s open=%zu deadline_ms=%" PRId64,
             h->settings->host_name, entry_open_requests (h->entry),
             h->settings->drain_deadline_ms);
}

bool
host_is_drained (const Host *h)
{
  return h->drained;
}
