#include "stream_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <talloc.h>

#include "platform/platform_dialect.h"
#include "room_fixture.h"

#define LIST_POLL_MS     30  /* of the hosts; each at a phase of its own */
#define DELAY_MS         5   /* from a host to a server */
#define PREFILL_MS       60  /* from the arrival to the first event, at least */
#define MORE_MS          200 /* at most this longer */
#define EVENT_GAP_MS     50
#define MAX_EVENTS       60
#define CLIENT_TIME_MS   12000
#define CLIENT_TRIES     4
#define CLIENT_PAUSE_MS  50 /* before a client's next try, at least */
#define CLIENT_MORE_MS   200
#define SERVER_LEAVES_MS 2500
#define START_SPREAD_MS  20

enum
{
  SERVER_ABSENT,
  SERVER_READY,
  SERVER_DRAINING
};

/* A stream as its client sees it. */
typedef struct
{
  StreamFleet *fleet;
  char first_id[32]; /* of the try that brought the first event; empty: none yet */
  char version[24];  /* of the first event */
  char last_event[16];
  int64_t until_ms;
  int tries_left;
  int n_events;
  bool taken_up; /* and has not brought an event since */
  bool joined;
} FleetStream;

/* One try of a client. */
typedef struct
{
  ListNode node; /* of its host */
  FleetStream *stream;
  StreamFleetHost *host;
  Relay *relay;
  RelayRequest request;
  char id[32];
  char resumes[32];
  char last_event[16];
  bool brought_event;
  bool over;
} FleetTry;

typedef struct
{
  BackendCall call;
  ListNode node; /* in its server's list */
  StreamFleet *fleet;
  StreamFleetServer *server;
  const BackendEvents *events;
  void *data;
  Timer *timer;
  char id[32];
  int next_event;
  int events_left;
  FailurePoint point;
} FleetCall;

int64_t
stream_fleet_now_ms (const StreamFleet *f)
{
  return timers_now_ms (f->clock);
}

/* --- Clients ----------------------------------------------------------------------------- */

static void send_try (void *data);

static void
try_ended (FleetTry *t, bool whole)
{
  FleetStream *s = t->stream;
  StreamFleet *f = s->fleet;

  if (t->over)
    return;
  t->over = true;
  list_remove (&t->node);
  if (whole)
    {
      f->counts.whole++;
      talloc_free (s);
      return;
    }
  if (s->tries_left == 0 || stream_fleet_now_ms (f) + 1000 > s->until_ms)
    {
      talloc_free (s);
      return;
    }
  timers_start (f->clock, f, CLIENT_PAUSE_MS + (int64_t)rng_below (&f->rng, CLIENT_MORE_MS),
                send_try, s);
}

static void
respond (void *data, int status, const RelayHeader *headers, size_t n, const char *body, size_t len)
{
  (void)status, (void)headers, (void)n, (void)body, (void)len;
  try_ended (data, false);
}

static void
begin_stream (void *data, int status, const RelayHeader *headers, size_t n)
{
  (void)data, (void)status, (void)headers, (void)n;
}

/* An event is "id: NUMBER\ndata: VERSION\n\n". */
static bool
write_stream (void *data, const char *bytes, size_t len)
{
  FleetTry *t = data;
  FleetStream *s = t->stream;
  StreamFleetCounts *counts = &s->fleet->counts;
  char text[64];
  char version[24];
  int number;

  snprintf (text, sizeof text, "%.*s", (int)len, bytes);
  if (t->over || sscanf (text, "id: %d\ndata: %23s", &number, version) != 2)
    return true;
  if (!t->brought_event)
    {
      counts->begun += !t->request.last_event_id;
      counts->went_on += s->taken_up;
      s->taken_up = false;
    }
  t->brought_event = true;
  if (!s->first_id[0])
    {
      memcpy (s->first_id, t->id, sizeof t->id);
      memcpy (s->version, version, sizeof version);
    }
  if (strcmp (s->version, version) != 0 && !s->joined)
    {
      s->joined = true;
      counts->joined++;
    }
  snprintf (s->last_event, sizeof s->last_event, "%d", number);
  return true;
}

static void
end_stream (void *data)
{
  try_ended (data, true);
}

static void
abort_stream (void *data)
{
  try_ended (data, false);
}

static void
on_released (void *data)
{
  ((FleetTry *)data)->relay = NULL;
}

static const RelayClientOps CLIENT_OPS
    = { respond, begin_stream, write_stream, end_stream, abort_stream, on_released, NULL };

static StreamFleetHost *
choose_host (StreamFleet *f)
{
  for (int i = 0; i < 10; i++)
    {
      StreamFleetHost *h = &f->hosts[rng_below (&f->rng, (uint64_t)f->options.hosts)];

      if (!h->is_down)
        return h;
    }
  return NULL;
}

static void
fill_request (FleetTry *t)
{
  FleetStream *s = t->stream;
  bool resumes = s->first_id[0];

  memcpy (t->resumes, s->first_id, sizeof t->resumes);
  memcpy (t->last_event, s->last_event, sizeof t->last_event);
  t->request = (RelayRequest){ .id = t->id,
                               .method = "POST",
                               .target = "/p/1",
                               .host = "h",
                               .body = t->id,
                               .body_len = strlen (t->id),
                               .service = s->fleet->service,
                               .account = "klubbarna",
                               .kind = CALL_STREAM,
                               .repeatable = true,
                               .resumable = true,
                               .max_attempts = 3,
                               .client_timeout_ms = s->until_ms - stream_fleet_now_ms (s->fleet),
                               .resumes = resumes ? t->resumes : NULL,
                               .last_event_id = resumes ? t->last_event : NULL,
                               .prompt_tokens = 100,
                               .max_tokens = 100 };
}

static void
send_try (void *data)
{
  FleetStream *s = data;
  StreamFleet *f = s->fleet;
  StreamFleetHost *host = choose_host (f);
  void *memory = talloc_new (NULL);
  FleetTry *t = talloc_zero (memory, FleetTry);
  Relay *relay;

  s->tries_left--;
  t->stream = s;
  snprintf (t->id, sizeof t->id, "r%lld", (long long)++f->next_id);
  fill_request (t);
  if (s->first_id[0] && !s->taken_up)
    {
      f->counts.taken_up++;
      s->taken_up = true;
    }
  if (!host)
    {
      try_ended (t, false);
      talloc_free (memory);
      return;
    }
  t->host = host;
  list_append (&host->tries, &t->node);
  relay = relay_new (&host->deps, memory, &t->request, stream_fleet_now_ms (f), &CLIENT_OPS, t);
  if (relay)
    t->relay = relay;
}

static void
begin_new_stream (StreamFleet *f)
{
  FleetStream *s = talloc_zero (f, FleetStream);

  s->fleet = f;
  s->until_ms = stream_fleet_now_ms (f) + CLIENT_TIME_MS;
  s->tries_left = CLIENT_TRIES;
  f->counts.sent++;
  send_try (s);
}

/* The client sees that its connection is broken. */
static void
break_try (FleetTry *t)
{
  Relay *relay = t->relay;

  try_ended (t, false);
  if (relay)
    relay_client_gone (relay);
}

static void
break_tries (StreamFleetHost *h)
{
  ListNode *n;

  while ((n = list_first (&h->tries)))
    break_try (LIST_ENTRY (n, FleetTry, node));
}

void
stream_fleet_break_connections (StreamFleet *f)
{
  for (int i = 0; i < f->options.hosts; i++)
    break_tries (&f->hosts[i]);
}

/* --- Servers ----------------------------------------------------------------------------- */

static void
fail_call (FleetCall *c)
{
  list_remove (&c->node);
  TALLOC_FREE (c->timer);
  c->events->failed (c->data, c->point, false);
  talloc_free (c);
}

static void
on_event_due (void *data)
{
  FleetCall *c = data;
  char text[64];
  int len;

  c->timer = NULL;
  if (c->events_left-- == 0)
    {
      list_remove (&c->node);
      c->events->end (c->data);
      talloc_free (c);
      return;
    }
  c->timer = timers_start (c->fleet->clock, c, EVENT_GAP_MS, on_event_due, c);
  len = snprintf (text, sizeof text, "id: %d\ndata: %s\n\n", c->next_event++, c->server->version);
  c->events->body (c->data, text, (size_t)len);
}

static void
on_begin (void *data)
{
  FleetCall *c = data;

  c->timer = NULL;
  c->point = FAIL_RESPONSE_TRUNCATED;
  c->server->begun += c->next_event == 1;
  c->events->headers (c->data, &c->call, 200);
  on_event_due (c);
}

static void
on_arrival (void *data)
{
  FleetCall *c = data;
  StreamFleet *f = c->fleet;

  c->timer = NULL;
  if (c->server->ended)
    {
      c->point = FAIL_CONNECT;
      fail_call (c);
      return;
    }
  c->point = FAIL_NO_RESPONSE;
  list_append (&c->server->calls, &c->node);
  c->timer
      = timers_start (f->clock, c, PREFILL_MS + (int64_t)rng_below (&f->rng, MORE_MS), on_begin, c);
}

static const char *
find_header (const BackendRequest *request, const char *name)
{
  for (size_t i = 0; i < request->n_headers; i++)
    if (!strncasecmp (request->headers[i], name, strlen (name)))
      return request->headers[i] + strlen (name);
  return NULL;
}

static BackendCall *
start (Backend *backend, const BackendRequest *request, const BackendEvents *events, void *data)
{
  StreamFleetHost *host = LIST_ENTRY (backend, StreamFleetHost, backend);
  StreamFleet *f = host->fleet;
  FleetCall *c = talloc_zero (f, FleetCall);
  const char *last = find_header (request, "Last-Event-Id: ");

  snprintf (c->id, sizeof c->id, "%s", find_header (request, "X-Request-Id: "));
  c->fleet = f;
  c->call.backend = backend;
  c->server = g_ptr_array_index (f->servers, (guint)atoi (request->address));
  c->events = events;
  c->data = data;
  c->next_event = last ? atoi (last) + 1 : 1;
  c->events_left = 5 + (int)rng_below (&f->rng, MAX_EVENTS);
  c->point = FAIL_BEFORE_CONNECT;
  c->timer = timers_start (f->clock, c, DELAY_MS, on_arrival, c);
  return &c->call;
}

static FailurePoint
cancel (BackendCall *call)
{
  FleetCall *c = (FleetCall *)call;
  FailurePoint point = c->point;

  list_remove (&c->node);
  talloc_free (c);
  return point;
}

static void
resume (BackendCall *call)
{
  (void)call;
}

static const char *
header (BackendCall *call, const char *name)
{
  const FleetCall *c = (FleetCall *)call;

  if (!strcasecmp (name, "X-Request-Id"))
    return c->id;
  if (!strcasecmp (name, "Transfer-Encoding"))
    return "chunked";
  return strcasecmp (name, "X-Response-Seal") ? NULL : "s";
}

static const char *
interim_header (BackendCall *call, const char *name)
{
  (void)call, (void)name;
  return NULL;
}

static void
each_header (BackendCall *call, BackendHeaderFn fn, void *data)
{
  (void)call, (void)fn, (void)data;
}

static bool
is_first_exchange (BackendCall *call)
{
  (void)call;
  return true;
}

/* Of all calls: has_framed_end and is_direct. */
static bool
is_always (BackendCall *call)
{
  (void)call;
  return true;
}

static const BackendOps BACKEND_OPS
    = { start,     cancel,   resume, header, interim_header, each_header, is_first_exchange,
        is_always, is_always };

void
stream_fleet_add_servers (StreamFleet *f, const char *version, int n)
{
  for (int i = 0; i < n; i++)
    {
      StreamFleetServer *s = talloc_zero (f, StreamFleetServer);

      snprintf (s->address, sizeof s->address, "%u", f->servers->len);
      snprintf (s->id, sizeof s->id, "i-%u", f->servers->len);
      snprintf (s->version, sizeof s->version, "%s", version);
      s->state = SERVER_READY;
      list_init (&s->calls);
      g_ptr_array_add (f->servers, s);
    }
}

static void
on_server_left (void *data)
{
  StreamFleetServer *s = data;
  ListNode *n;

  s->ended = true;
  s->state = SERVER_ABSENT;
  while ((n = list_first (&s->calls)))
    fail_call (LIST_ENTRY (n, FleetCall, node));
}

void
stream_fleet_remove_servers (StreamFleet *f, const char *version, int n)
{
  for (guint i = 0; i < f->servers->len && n > 0; i++)
    {
      StreamFleetServer *s = g_ptr_array_index (f->servers, i);

      if (s->state != SERVER_READY || strcmp (s->version, version) != 0)
        continue;
      s->state = SERVER_DRAINING;
      timers_start (f->clock, f, SERVER_LEAVES_MS, on_server_left, s);
      n--;
    }
}

int
stream_fleet_begun_at (const StreamFleet *f, const char *version)
{
  int n = 0;

  for (guint i = 0; i < f->servers->len; i++)
    {
      const StreamFleetServer *s = g_ptr_array_index (f->servers, i);

      if (!strcmp (s->version, version))
        n += s->begun;
    }
  return n;
}

/* --- Hosts ------------------------------------------------------------------------------- */

static void
tell_server (StreamFleetHost *h, const StreamFleetServer *s)
{
  int64_t now = stream_fleet_now_ms (h->fleet);
  ServerRecord record = { .id = s->id,
                          .service = "engine",
                          .address = s->address,
                          .data_centre = "dc",
                          .version = s->version,
                          .slots = 64,
                          .draining = s->state == SERVER_DRAINING,
                          .started_ms = 1 };

  if (s->state == SERVER_ABSENT)
    {
      dispatch_server_removed (h->dispatch, s->id, 0, now);
      streams_server_removed (h->streams, s->id, true, now);
      return;
    }
  dispatch_server_changed (h->dispatch, &record, now);
  streams_server_changed (h->streams, s->id, "engine", s->version, now);
}

static void
on_list_poll (void *data)
{
  StreamFleetHost *h = data;
  GPtrArray *servers = h->fleet->servers;

  timers_start (h->fleet->clock, h->fleet, LIST_POLL_MS, on_list_poll, h);
  if (h->is_down || h->store->drop_calls)
    return;
  while (h->seen->len < servers->len)
    g_byte_array_append (h->seen, (const guint8[]){ SERVER_ABSENT }, 1);
  for (guint i = 0; i < servers->len; i++)
    {
      const StreamFleetServer *s = g_ptr_array_index (servers, i);

      if (h->seen->data[i] == s->state)
        continue;
      h->seen->data[i] = (guint8)s->state;
      tell_server (h, s);
    }
}

static void
post (void *target, LoopFn fn, void *data)
{
  StreamFleetHost *h = target;

  timers_start (h->fleet->clock, h->fleet, 0, fn, data);
}

static void
on_wake (void *data)
{
  StreamFleetHost *h = data;

  if (h->rows)
    stream_rows_wake (h->rows);
}

static void
wake (void *data)
{
  post (data, on_wake, data);
}

static const char *
region_of (void *data, const char *data_centre)
{
  (void)data;
  return data_centre;
}

static void
start_host (void *data)
{
  StreamFleetHost *h = data;
  StreamFleet *f = h->fleet;
  ListedHost *list = talloc_array (NULL, ListedHost, f->options.hosts);
  DispatchOptions dispatch = { .host = h->name,
                               .data_centre = "dc",
                               .region = "dc",
                               .region_of = region_of,
                               .retries = { 0.2, 10000, 58 },
                               .policy = "cost",
                               .seed = rng_next (&f->rng) };
  QuarantineOptions quarantine = { .seed = rng_next (&f->rng) };
  StreamsOptions streams = { .wake = wake, .data = h, .seed = rng_next (&f->rng) };
  StreamRowsOptions rows = { .store = &h->store->store,
                             .timers = f->clock,
                             .rng = &f->rng,
                             .host = h->name,
                             .incarnation = rng_next (&f->rng) };

  h->is_down = false;
  g_byte_array_set_size (h->seen, 0);
  h->dispatch = dispatch_new (f, &dispatch);
  h->quarantine = quarantine_new (f, &quarantine);
  h->streams = streams_new (f, &streams);
  streams_set_hosts (h->streams, f->options.hosts);
  rows.streams = h->streams;
  h->rows = stream_rows_new (f, &rows);
  for (int i = 0; i < f->options.hosts; i++)
    list[i] = (ListedHost){ f->hosts[i].name, "dc", "dc" };
  dispatch_set_hosts (h->dispatch, list, (size_t)f->options.hosts, 0);
  talloc_free (list);
  h->deps.dispatch = h->dispatch;
  h->deps.quarantine = h->quarantine;
  h->deps.streams = f->options.untracked ? NULL : h->streams;
}

static void
stop_host (StreamFleetHost *h)
{
  h->is_down = true;
  break_tries (h);
  TALLOC_FREE (h->rows);
  TALLOC_FREE (h->streams);
  TALLOC_FREE (h->dispatch);
  TALLOC_FREE (h->quarantine);
}

void
stream_fleet_kill_hosts (StreamFleet *f, int n, int64_t ms)
{
  for (int i = 0; i < n; i++)
    if (!f->hosts[i].is_down)
      {
        stop_host (&f->hosts[i]);
        timers_start (f->clock, f, ms + (int64_t)rng_below (&f->rng, START_SPREAD_MS), start_host,
                      &f->hosts[i]);
      }
}

void
stream_fleet_cut (StreamFleet *f, int n, bool cut)
{
  for (int i = 0; i < n; i++)
    f->hosts[i].store->drop_calls = cut;
}

/* --- Set-up ------------------------------------------------------------------------------ */

static void
add_host (StreamFleet *f, int number)
{
  StreamFleetHost *h = &f->hosts[number];

  h->fleet = f;
  h->number = number;
  snprintf (h->name, sizeof h->name, "host-%d", number);
  h->backend.ops = &BACKEND_OPS;
  h->seen = g_byte_array_new ();
  list_init (&h->tries);
  h->deps = (RelayDeps){ .timers = f->clock,
                         .executor = { post, h },
                         .backend = &h->backend,
                         .dialect = platform_dialect (),
                         .max_response_bytes = 4096,
                         .response_room = room_fixture_new (f, f->clock) };
  h->store = fake_store_client_new (f->store);
  h->store->latency_ms = 4;
  start_host (h);
  timers_start (f->clock, f, (int64_t)rng_below (&f->rng, LIST_POLL_MS), on_list_poll, h);
}

StreamFleet *
stream_fleet_new (const StreamFleetOptions *options)
{
  StreamFleet *f = talloc_zero (NULL, StreamFleet);
  CatalogBuilder *b = catalog_builder_new (NULL, 1);
  CatalogService service = { .name = "engine", .is_engine = true };

  f->options = *options;
  f->service = catalog_add_service (b, &service);
  f->catalog = catalog_finish (b);
  f->timers = virtual_timers_new (f, 100000);
  f->clock = virtual_timers_service (f->timers);
  rng_seed (&f->rng, options->seed);
  f->store = fake_store_new (f, f->clock, &f->rng);
  f->servers = g_ptr_array_new ();
  f->hosts = talloc_zero_array (f, StreamFleetHost, options->hosts);
  for (int i = 0; i < options->hosts; i++)
    add_host (f, i);
  return f;
}

void
stream_fleet_run (StreamFleet *f, int64_t ms)
{
  int64_t end_ms = stream_fleet_now_ms (f) + ms;

  for (int64_t now = stream_fleet_now_ms (f); now < end_ms; now++)
    {
      virtual_timers_run (f->timers, now);
      for (double n = f->options.streams_per_s / 1000; rng_chance (&f->rng, n); n -= 1)
        begin_new_stream (f);
    }
  virtual_timers_run (f->timers, end_ms);
}

void
stream_fleet_free (StreamFleet *f)
{
  f->options.streams_per_s = 0;
  stream_fleet_run (f, 2 * CLIENT_TIME_MS);
  for (int i = 0; i < f->options.hosts; i++)
    {
      stop_host (&f->hosts[i]);
      g_byte_array_free (f->hosts[i].seen, TRUE);
    }
  g_ptr_array_free (f->servers, TRUE);
  catalog_unref (f->catalog);
  talloc_free (f);
}
