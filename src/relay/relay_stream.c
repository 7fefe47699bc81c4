#include "relay/relay_impl.h"

#include <string.h>

#include <talloc.h>

#include "core/counter.h"
#include "relay/relay_counters.h"

/* A server that ends as it begins an answer does so before this time after the first event. */
#define SOUND_ANSWER_MS 250

static void
record_event_time (Relay *r, Attempt *a)
{
  int64_t now = timers_now_ms (r->deps->timers);

  if (!a->first_event_ms)
    a->first_event_ms = now;
  if (r->events == 1)
    {
      r->first_event_ms = now - r->received_ms;
      histogram_add (relay_counters ()->first_event, r->first_event_ms * 1000);
    }
  else
    {
      int64_t gap = now - r->last_event_ms;

      histogram_add (relay_counters ()->event_gap, gap * 1000);
      if (gap > r->max_gap_ms)
        r->max_gap_ms = gap;
    }
  r->last_event_ms = now;
  if (now - a->first_event_ms >= SOUND_ANSWER_MS)
    relay_report_sound (r, a);
  assignment_report_first_event (a->assignment, now);
}

/* The first event shows that the prompt was processed. A dialect with decode_event reads the usage that the
 * server reports at the end, which may be less than the prompt estimate, so nothing is committed before. */
static void
commit_prompt (Relay *r)
{
  if (r->reservation && r->reserved > 0 && !r->deps->dialect->ops->decode_event)
    reservation_commit (r->reservation, r->request->prompt_tokens);
}

static void
begin_response (Relay *r, Attempt *a)
{
  size_t n;
  RelayHeader *headers = relay_headers_to_forward (a, r, a->call, &n);

  r->response_started = true;
  r->status = a->head.status;
  r->client->begin (r->client_data, a->head.status, headers, n);
  talloc_free (headers);
}

static bool
decode_event (const Relay *r, const char *event, size_t len, RelayEvent *out)
{
  Dialect *dialect = r->deps->dialect;

  *out = (RelayEvent){ .tokens = r->request->event_tokens, .usage = -1 };
  return !dialect->ops->decode_event
         || dialect->ops->decode_event (dialect, r->request, event, len, out);
}

/* Forwards one event. Its id is noted, since a retry resumes the stream after the last event forwarded. */
static bool
on_event (void *data, const char *event, size_t len)
{
  Attempt *a = data;
  Relay *r = a->relay;
  RelayEvent decoded;

  if (relay_is_extra_answer (r, a, event, len))
    return false;
  if (!decode_event (r, event, len, &decoded) || decoded.mismatched)
    {
      a->check = decoded.mismatched ? RESPONSE_MISMATCHED : RESPONSE_INVALID;
      return false;
    }
  a->end_seen |= decoded.last;
  if (decoded.usage >= 0)
    r->usage = decoded.usage;
  if (decoded.hidden)
    return true;
  if (!a->first_event_ms && !relay_bind_version (r, a))
    {
      a->check = RESPONSE_INVALID;
      return false;
    }
  if (!r->response_started)
    {
      begin_response (r, a);
      commit_prompt (r);
    }
  event_id_note (&r->last_event_id, r, event, len);
  r->events++;
  r->delivered += decoded.tokens;
  counter_add (relay_counters ()->tokens_delivered, decoded.tokens);
  record_event_time (r, a);
  if (!r->client->write (r->client_data, event, len))
    r->write_blocked = true;
  return true;
}

/* @return the most events that can end in these bytes: each ends with an empty line. */
static Tokens
max_events (const char *bytes, size_t len)
{
  Tokens n_lines = 0;

  for (const char *p = bytes; (p = memchr (p, '\n', len - (size_t)(p - bytes))); p++)
    n_lines++;
  return n_lines / 2 + 1;
}

/* @return whether the bytes may be delivered at once, as far as the budget is concerned. */
static bool
is_covered (Relay *r, const char *bytes, size_t len)
{
  const RelayRequest *q = r->request;
  Tokens tokens;

  if (!r->reservation || r->reserved == 0)
    return true;
  tokens = q->prompt_tokens + r->delivered + max_events (bytes, len) * q->event_tokens;
  return reservation_cover (r->reservation, tokens, timers_now_ms (r->deps->timers));
}

BackendFlow
relay_stream_bytes (Relay *r, Attempt *a, const char *bytes, size_t len)
{
  if (r->write_blocked)
    {
      counter_add (relay_counters ()->stream_pauses, 1);
      return BACKEND_PAUSE;
    }
  if (!is_covered (r, bytes, len))
    {
      counter_add (relay_counters ()->budget_pauses, 1);
      return BACKEND_PAUSE;
    }
  if (sse_feed (&a->sse, a, bytes, len, on_event, a))
    return BACKEND_CONTINUE;
  if (a->check == RESPONSE_VALID)
    a->check = RESPONSE_INVALID;
  return BACKEND_ABORT;
}
