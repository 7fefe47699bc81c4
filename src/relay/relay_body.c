/* Bodies of responses that are not streamed: read whole, within the room for what is held for clients. */
#include "relay/relay_impl.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/log.h"
#include "relay/relay_counters.h"

static void
on_room_granted (void *data)
{
  Attempt *a = data;
  Relay *r = a->relay;

  log_event (LOG_LEVEL_INFO, "relay", "response_goes_on",
             "id=%s server=%s waited_ms=%" PRId64 " bytes=%zu", r->request->id, r->server,
             timers_now_ms (r->deps->timers) - a->waits_since_ms, a->body_len);
  a->waits_since_ms = 0;
  if (a->call)
    backend_resume (a->call);
}

/* @return the most bytes that the body can have. */
static size_t
most_body_bytes (const Relay *r, const Attempt *a)
{
  const char *text = backend_header (a->call, "Content-Length");
  unsigned long long length = text ? strtoull (text, NULL, 10) : 0;
  size_t most = r->deps->max_response_bytes;

  return text && length < most ? (size_t)length : most;
}

static void
wait_for_room (Relay *r, Attempt *a)
{
  if (a->waits_since_ms > 0)
    return;
  a->waits_since_ms = timers_now_ms (r->deps->timers);
  counter_add (relay_counters ()->responses_waited, 1);
  log_event (LOG_LEVEL_INFO, "relay", "response_waits",
             "id=%s server=%s account=%s most_bytes=%zu held_bytes=%zu", r->request->id, r->server,
             r->request->account ? r->request->account : "-", most_body_bytes (r, a),
             response_room_used_bytes (r->deps->response_room));
}

BackendFlow
relay_buffer_body (Relay *r, Attempt *a, const char *bytes, size_t len)
{
  if (a->body_len + len > r->deps->max_response_bytes)
    {
      a->check = RESPONSE_INVALID;
      return BACKEND_ABORT;
    }
  if (!a->claim)
    a->claim = room_claim_new (a, r->deps->response_room, r->request->account, on_room_granted, a);
  if (!room_claim_reserve (a->claim, a->body_len + len, most_body_bytes (r, a)))
    {
      wait_for_room (r, a);
      return BACKEND_PAUSE;
    }
  a->body = talloc_realloc_size (a, a->body, a->body_len + len);
  memcpy (a->body + a->body_len, bytes, len);
  a->body_len += len;
  return BACKEND_CONTINUE;
}

void
relay_keep_room (Relay *r, Attempt *a)
{
  RoomClaim *claim = a->claim;

  a->claim = NULL;
  if (!claim)
    return;
  room_claim_settle (claim, a->body_len);
  if (r->client && r->client->keep)
    r->client->keep (r->client_data, claim);
  else
    talloc_free (claim);
}
