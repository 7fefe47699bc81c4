#include "http/traffic.h"

#include <pthread.h>

#include "core/counter.h"

static Counter *received;
static Counter *sent;
static pthread_once_t once = PTHREAD_ONCE_INIT;

static void
register_metrics (void)
{
  received
      = counter_get ("pond_received_bytes_total", "", "Bytes of requests and answers received.");
  sent = counter_get ("pond_sent_bytes_total", "", "Bytes of requests and answers sent.");
}

void
traffic_received (size_t bytes)
{
  pthread_once (&once, register_metrics);
  counter_add (received, (int64_t)bytes);
}

void
traffic_sent (size_t bytes)
{
  pthread_once (&once, register_metrics);
  counter_add (sent, (int64_t)bytes);
}

Traffic
traffic_total (void)
{
  pthread_once (&once, register_metrics);
  return (Traffic){ counter_value (received), counter_value (sent) };
}

int64_t
traffic_busier_direction (Traffic now, Traffic before)
{
  int64_t in = now.received - before.received;
  int64_t out = now.sent - before.sent;

  return in > out ? in : out;
}
