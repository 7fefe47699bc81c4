#include <inttypes.h>

#include "core/log.h"
#include "host/host_impl.h"

/* Time from the start of a drain after which responses close their connections. The load balancer checks readiness
 * once a second and takes a host out of the rotation after two failures. */
#define CLOSE_CONNECTIONS_AFTER_MS 1500

/* Time from the start of a drain after which requests are refused. The load balancer no longer sends new connections
 * by then, and a request on an open connection might not end before the drain deadline. Clients retry it on another
 * host. */
#define REFUSE_REQUESTS_AFTER_MS 2500

/* If the drain deadline is short, requests are refused from this time before the deadline, but not before
 * CLOSE_CONNECTIONS_AFTER_MS: later requests would be cut off while a backend server works on them. */
#define REFUSE_BEFORE_DEADLINE_MS 3000

/* The host deregisters at the latest this long before the deadline. If requests are then still open or tokens not
 * yet returned, it stops half of this time before the deadline. */
#define SHUTDOWN_RESERVE_MS 500

static void
finish_drain (Host *h, bool complete)
{
  h->drained = complete;
  log_event (LOG_LEVEL_NOTICE, "host", "stop", "host=%s complete=%d open=%zu",
             h->settings->host_name, complete, frontend_open_requests (h->frontend));
  log_flush ();
  loop_stop (h->loop);
}

static bool
should_refuse_requests (int64_t age_ms, int64_t deadline_ms)
{
  return age_ms >= REFUSE_REQUESTS_AFTER_MS
         || (age_ms >= CLOSE_CONNECTIONS_AFTER_MS
             && age_ms >= deadline_ms - REFUSE_BEFORE_DEADLINE_MS);
}

void
host_advance_drain (Host *h)
{
  int64_t age = host_now_ms (h) - h->drain_started_ms;
  int64_t deadline = h->settings->drain_deadline_ms;
  size_t tunnels
      = h->tunnel_server ? tunnel_server_close_idle (h->tunnel_server, host_now_ms (h)) : 0;
  bool idle = frontend_open_requests (h->frontend) == 0 && tunnels == 0;
  /* Tokens are returned from the start of the drain on: other hosts would otherwise lack them until the last stream
   * of this host ends. */
  bool holds_tokens = budgets_return_all (h->budgets);

  if (age >= CLOSE_CONNECTIONS_AFTER_MS && !h->closing_connections)
    {
      h->closing_connections = true;
      frontend_close_after_responses (h->frontend, true);
    }
  if (!h->refusing_requests && should_refuse_requests (age, deadline))
    {
      h->refusing_requests = true;
      frontend_refuse_requests (h->frontend);
    }
  if (age >= deadline - SHUTDOWN_RESERVE_MS / 2)
    {
      finish_drain (h, false);
      return;
    }
  if (!(idle && age >= h->settings->drain_grace_ms) && age < deadline - SHUTDOWN_RESERVE_MS)
    return;
  if (!h->deregistered)
    {
      h->deregistered = true;
      registry_deregister (h->registry);
    }
  if (!holds_tokens && idle)
    finish_drain (h, true);
}

void
host_drain (Host *h)
{
  if (h->drain_started_ms)
    return;
  h->drain_started_ms = host_now_ms (h);
  budgets_stop_coordinating (h->budgets);
  log_event (LOG_LEVEL_NOTICE, "host", "drain", "host=%s open=%zu deadline_ms=%" PRId64,
             h->settings->host_name, frontend_open_requests (h->frontend),
             h->settings->drain_deadline_ms);
}

bool
host_is_drained (const Host *h)
{
  return h->drained;
}
