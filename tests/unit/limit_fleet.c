#include "limit_fleet.h"

#include <stdio.h>
#include <string.h>

#include <talloc.h>

#define RING_MS     1024
#define DELAY_MS    5   /* from a host to a server */
#define RESPONSE_MS 100 /* from the arrival to the response's head */
#define RUN_MS      300 /* from the arrival to the response's end */

#define WINDOW_MS      4000
#define ALLOWED_FACTOR 1.5
#define ALLOWED_MORE   5

typedef struct
{
  int64_t ms;
  int server;
} Arrival;

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_HEAD,
  EVENT_END
} EventKind;

typedef struct
{
  EventKind kind;
  Assignment *assignment;
  int server;
  LimitStatement statement; /* of the head */
} Event;

static void
add_event (LimitFleet *f, int64_t delay_ms, const Event *event)
{
  g_array_append_vals (f->due[(f->now_ms + delay_ms) % RING_MS], event, 1);
}

/* --- Set-up ------------------------------------------------------------------------------ */

static const char *
region_of (void *data, const char *data_centre)
{
  (void)data;
  return data_centre;
}

static void
add_hosts (LimitFleet *f)
{
  f->hosts = talloc_zero_array (f, LimitFleetHost, f->options.hosts);
  for (int i = 0; i < f->options.hosts; i++)
    {
      LimitFleetHost *host = &f->hosts[i];
      DispatchOptions options = { .data_centre = host->data_centre,
                                  .region = host->data_centre,
                                  .region_of = region_of,
                                  .retries = { 0.2, 10000, 40 },
                                  .seed = f->options.seed + (uint64_t)i,
                                  .policy = "cost" };

      snprintf (host->name, sizeof host->name, "host-%d", i);
      snprintf (host->data_centre, sizeof host->data_centre, "dc-%d", i % f->options.data_centres);
      host->dispatch = dispatch_new (f, &options);
      dispatch_set_hosts (host->dispatch, f->options.hosts);
    }
}

static void
add_servers (LimitFleet *f)
{
  f->servers = talloc_zero_array (f, LimitFleetServer, f->options.servers);
  for (int i = 0; i < f->options.servers; i++)
    {
      LimitFleetServer *s = &f->servers[i];
      ServerRecord record = { .id = s->id,
                              .service = "engine",
                              .address = s->id,
                              .data_centre = s->data_centre,
                              .version = "v1",
                              .slots = 64,
                              .started_ms = 1 };

      snprintf (s->id, sizeof s->id, "%d", i);
      snprintf (s->data_centre, sizeof s->data_centre, "dc-%d", i % f->options.data_centres);
      for (int host = 0; host < f->options.hosts; host++)
        dispatch_server_changed (f->hosts[host].dispatch, &record, f->now_ms);
    }
}

LimitFleet *
limit_fleet_new (const LimitFleetOptions *options)
{
  LimitFleet *f = talloc_zero (NULL, LimitFleet);
  CatalogBuilder *b = catalog_builder_new (NULL, 1);
  CatalogService service = { .name = "engine", .is_engine = true };

  f->options = *options;
  f->service = catalog_add_service (b, &service);
  f->catalog = catalog_finish (b);
  f->now_ms = 100000;
  f->next_request_ms = (double)f->now_ms;
  rng_seed (&f->rng, options->seed);
  f->arrivals = g_array_new (FALSE, FALSE, sizeof (Arrival));
  f->due = talloc_array (f, GArray *, RING_MS);
  for (int i = 0; i < RING_MS; i++)
    f->due[i] = g_array_new (FALSE, FALSE, sizeof (Event));
  add_hosts (f);
  add_servers (f);
  return f;
}

static void
cancel_events (GArray *events, int64_t now_ms)
{
  for (guint i = 0; i < events->len; i++)
    assignment_end (g_array_index (events, Event, i).assignment, ASSIGNMENT_CANCELLED, now_ms);
  g_array_free (events, TRUE);
}

void
limit_fleet_free (LimitFleet *f)
{
  for (int i = 0; i < RING_MS; i++)
    cancel_events (f->due[i], f->now_ms);
  g_array_free (f->arrivals, TRUE);
  catalog_unref (f->catalog);
  talloc_free (f);
}

/* --- Load -------------------------------------------------------------------------------- */

static void
send_request (LimitFleet *f)
{
  LimitFleetHost *host = &f->hosts[rng_below (&f->rng, (uint64_t)f->options.hosts)];
  DispatchQuery query
      = { .service = f->service, .now_ms = f->now_ms, .prompt_tokens = 2000, .max_tokens = 100 };
  Err err = ERR_INIT;
  Event event = { .kind = EVENT_ARRIVAL };

  f->sent++;
  event.assignment = dispatch_pick (host->dispatch, f, &query, &err);
  if (!event.assignment)
    {
      f->refused++;
      return;
    }
  event.server = atoi (assignment_server (event.assignment));
  add_event (f, DELAY_MS, &event);
}

static void
handle_arrival (LimitFleet *f, Event event)
{
  Arrival arrival = { .ms = f->now_ms, .server = event.server };

  g_array_append_val (f->arrivals, arrival);
  f->servers[event.server].running++;
  event.kind = EVENT_HEAD;
  add_event (f, RESPONSE_MS, &event);
}

static void
handle_head (LimitFleet *f, Event event)
{
  const LimitFleetServer *s = &f->servers[event.server];
  LimitStatement statement = { .kind = s->limit_requests_per_s > 0 ? LIMIT_NAMED : LIMIT_NONE,
                               .requests_per_s = s->limit_requests_per_s };

  assignment_report_load (event.assignment, s->running, 0, 64, f->now_ms);
  assignment_report_limit (event.assignment, statement, f->now_ms);
  assignment_report_first_event (event.assignment, f->now_ms);
  event.kind = EVENT_END;
  add_event (f, RUN_MS - RESPONSE_MS, &event);
}

static void
handle_end (LimitFleet *f, Event event)
{
  f->servers[event.server].running--;
  assignment_end (event.assignment, ASSIGNMENT_COMPLETED, f->now_ms);
}

static void
handle_events (LimitFleet *f)
{
  static void (*const HANDLERS[]) (LimitFleet * f, Event event)
      = { handle_arrival, handle_head, handle_end };
  GArray *events = f->due[f->now_ms % RING_MS];

  for (guint i = 0; i < events->len; i++)
    {
      Event event = g_array_index (events, Event, i);

      HANDLERS[event.kind](f, event);
    }
  g_array_set_size (events, 0);
}

void
limit_fleet_run (LimitFleet *f, int64_t ms)
{
  for (int64_t end_ms = f->now_ms + ms; f->now_ms < end_ms; f->now_ms++)
    {
      handle_events (f);
      while (f->next_request_ms <= (double)f->now_ms)
        {
          send_request (f);
          f->next_request_ms += rng_exponential (&f->rng, 1000 / f->options.requests_per_s);
        }
    }
}

void
limit_fleet_set_limit (LimitFleet *f, int server, double requests_per_s)
{
  f->servers[server].limit_requests_per_s = requests_per_s;
}

/* --- Results ----------------------------------------------------------------------------- */

int
limit_fleet_count (const LimitFleet *f, int server, int64_t from_ms)
{
  int n = 0;

  for (guint i = 0; i < f->arrivals->len; i++)
    {
      const Arrival *a = &g_array_index (f->arrivals, Arrival, i);

      n += a->server == server && a->ms >= from_ms;
    }
  return n;
}

int
limit_fleet_worst_window (const LimitFleet *f, int server, int64_t from_ms)
{
  GArray *times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int worst = 0;
  guint first = 0;

  for (guint i = 0; i < f->arrivals->len; i++)
    {
      const Arrival *a = &g_array_index (f->arrivals, Arrival, i);

      if (a->server != server || a->ms < from_ms)
        continue;
      g_array_append_val (times, a->ms);
      while (g_array_index (times, int64_t, first) <= a->ms - WINDOW_MS)
        first++;
      if ((int)(times->len - first) > worst)
        worst = (int)(times->len - first);
    }
  g_array_free (times, TRUE);
  return worst;
}

double
limit_fleet_allowed (double requests_per_s)
{
  return ALLOWED_FACTOR * requests_per_s * WINDOW_MS / 1000 + ALLOWED_MORE;
}
