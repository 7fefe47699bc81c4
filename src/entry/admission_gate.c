#include "entry/admission_gate.h"

#define AVERAGING_WINDOW_MS 300

/* Percentages of the link's capacity: above the first, queues grow fast; below the second, there is
 * room for a burst. */
#define CLOSE_ABOVE_PCT 70
#define OPEN_BELOW_PCT  50

/* If all hosts of a data centre are loaded, a client must still get through to one of them. */
#define MAX_CLOSED_MS 1000
#define MIN_OPEN_MS   200

void
admission_gate_init (AdmissionGate *g, int64_t link_bytes_s, int64_t now_ms)
{
  *g = (AdmissionGate){ .link_bytes_s = link_bytes_s, .updated_ms = now_ms, .changed_ms = now_ms };
}

static void
update_rate (AdmissionGate *g, Traffic total, int64_t now_ms)
{
  int64_t elapsed = now_ms - g->updated_ms;
  int64_t bytes = traffic_busier (total, g->last_total);

  if (elapsed <= 0)
    return;
  g->rate_bytes_s += (bytes * 1000 / elapsed - g->rate_bytes_s) * elapsed
                     / (elapsed > AVERAGING_WINDOW_MS ? elapsed : AVERAGING_WINDOW_MS);
  g->last_total = total;
  g->updated_ms = now_ms;
}

static bool
should_close (const AdmissionGate *g, int64_t now_ms)
{
  return g->rate_bytes_s > g->link_bytes_s * CLOSE_ABOVE_PCT / 100
         && now_ms - g->changed_ms >= MIN_OPEN_MS;
}

static bool
should_open (const AdmissionGate *g, int64_t now_ms)
{
  return g->rate_bytes_s < g->link_bytes_s * OPEN_BELOW_PCT / 100
         || now_ms - g->changed_ms >= MAX_CLOSED_MS;
}

bool
admission_gate_update (AdmissionGate *g, Traffic total, int64_t now_ms)
{
  update_rate (g, total, now_ms);
  if (g->link_bytes_s == 0)
    return true;
  if (g->closed ? should_open (g, now_ms) : should_close (g, now_ms))
    {
      g->closed = !g->closed;
      g->changed_ms = now_ms;
    }
  return !g->closed;
}

bool
admission_gate_force_open (AdmissionGate *g)
{
  g->closed = false;
  return true;
}
