/* Whether a server has said that it did not run a request: its statement has to belong to that request, and its status alone is
 * none. */
#include "relay/relay_impl.h"

#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

#include "core/log.h"
#include "relay/relay_counters.h"
#include "relay/status_promise.h"

static uint64_t
address_hash (const Attempt *a)
{
  const char *address = assignment_address (a->assignment);

  return XXH64 (address, strlen (address), 0);
}

static bool
was_refused_at (const Relay *r, uint64_t address)
{
  for (size_t i = 0; i < r->n_refused_at; i++)
    if (r->refused_at[i] == address)
      return true;
  return false;
}

/* Without an exchange before it, no earlier response can be on the connection. On a kept one a faulty server may write a
 * refusal once more, which only the request's id tells from a new one, and not even that if the server has refused
 * the same request before. */
static bool
is_of_this_exchange (const Attempt *a, BackendCall *call, uint64_t address)
{
  return backend_is_first_exchange (call)
         || (a->head.has_id && a->head.matches_request && !was_refused_at (a->relay, address));
}

void
relay_check_refusal (Relay *r, Attempt *a, BackendCall *call)
{
  uint64_t address = address_hash (a);

  if (!a->head.not_run)
    return;
  if (is_of_this_exchange (a, call, address))
    {
      if (r->n_refused_at < DISPATCH_MAX_TRIED)
        r->refused_at[r->n_refused_at++] = address;
      return;
    }
  counter_add (relay_counters ()->refusals_doubted, 1);
  log_event (LOG_LEVEL_NOTICE, "relay", "refusal_doubted",
             "id=%s server=%s attempt=%d status=%d has_id=%d refused_before=%d", r->request->id,
             r->server, a->number, a->head.status, a->head.has_id, was_refused_at (r, address));
  a->head.matches_request = false;
  a->head.not_run = false;
  a->head.misdirected = false;
  a->head.retry_after_ms = 0;
}

bool
relay_refuses_without_proof (const Relay *r, const Attempt *a)
{
  if (!status_promises_not_run (a->head.status))
    return false;
  log_event (LOG_LEVEL_NOTICE, "relay", "refusal_unproved",
             "id=%s server=%s attempt=%d status=%d from_server=%d retry_after_ms=%" PRId64,
             r->request->id, r->server, a->number, a->head.status, a->head.from_server,
             a->head.retry_after_ms);
  return true;
}
