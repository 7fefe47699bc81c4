#include "relay/relay_impl.h"

#include <inttypes.h>
#include <stdio.h>

#include "core/log.h"

/* Size of the text of a list of prompt parts. */
#define PARTS_BYTES 280

static void
format_parts (const RelayRequest *q, char text[PARTS_BYTES])
{
  size_t len = 0;

  snprintf (text, PARTS_BYTES, "-");
  for (size_t i = 0; i < q->n_shared_parts; i++)
    {
      int n = snprintf (text + len, PARTS_BYTES - len, "%s%" PRIx64, i > 0 ? "," : "",
                        q->shared_parts[i]);

      if (n < 0 || (size_t)n >= PARTS_BYTES - len)
        return;
      len += (size_t)n;
    }
}

void
relay_report_cut (const Relay *r, const Attempt *a)
{
  int64_t now = timers_now_ms (r->deps->timers);
  char parts[PARTS_BYTES];

  format_parts (r->request, parts);
  log_event (LOG_LEVEL_INFO, "relay", "cut_off",
             "id=%s server=%s head=%d events=%" PRId64 " event_age_ms=%" PRId64
             " in_flight=%d shared_parts=%zu parts=%s",
             r->request->id, r->server, a->head.status > 0, r->events,
             a->first_event_ms ? now - a->first_event_ms : -1,
             assignment_others_in_flight (a->assignment), r->request->n_shared_parts, parts);
}
