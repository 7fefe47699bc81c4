#include "crash_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <talloc.h>

#include "platform/platform_dialect.h"
#include "room_fixture.h"

#define MESSAGE_MS         10 /* from a host to another one */
#define TICK_MS            100
#define DELAY_MS           5    /* from a host to a server */
#define PREFILL_MS         60   /* from the arrival to the first event, at least */
#define MORE_MS            100  /* at most this longer */
#define EVENT_GAP_MS       50   /* between the events of a stream */
#define SHORT_EVENTS       3    /* of a short answer */
#define LONG_EVENTS        40   /* of a long one */
#define ENTRY_MS           2800 /* from a server's end to the removal of its record */
#define RESTART_MS         3000 /* from a server's end to its next start */
#define SESSIONS           500
#define FIRST_PART         1 /* of the short requests and of those that crash servers */
#define FIRST_PART_OF_LONG 2

typedef struct
{
  CrashFleet *fleet;
  CrashFleetHost *host;
  RelayRequest request;
  char id[48];     /* the address of this object, by which servers find it, and a number */
  char body[24];   /* no two are alike */
  char server[24]; /* of the first send */
  uint64_t parts[2];
  bool crashes;
  bool is_long;
  bool begun;
  int sends;
} FleetRequest;

typedef struct
{
  BackendCall call;
  ListNode node; /* in its server's list */
  FleetRequest *request;
  CrashFleetServer *server;
  const BackendEvents *events;
  void *data;
  Timer *timer;
  int events_left;
  FailurePoint point; /* how far the exchange has come */
} FleetCall;

/* --- Client ------------------------------------------------------------------------------ */

static void
respond (void *data, int status, const RelayHeader *headers, size_t n, const char *body, size_t len)
{
  FleetRequest *r = data;

  (void)headers, (void)n, (void)body, (void)len;
  if (r->crashes)
    {
      r->fleet->last_status = status;
      r->fleet->part_refused += r->sends == 0;
    }
  else if (r->sends == 0)
    r->fleet->counts.refused++;
}

static void
begin_stream (void *data, int status, const RelayHeader *headers, size_t n)
{
  (void)data, (void)status, (void)headers, (void)n;
}

static bool
write_stream (void *data, const char *bytes, size_t len)
{
  (void)data, (void)bytes, (void)len;
  return true;
}

static void
end_stream (void *data)
{
  FleetRequest *r = data;

  r->fleet->counts.whole += !r->crashes;
  r->fleet->part_answered += r->crashes;
}

static void
abort_stream (void *data)
{
  (void)data;
}

static void
on_released (void *data)
{
  (void)data;
}

static const RelayClientOps CLIENT_OPS
    = { respond, begin_stream, write_stream, end_stream, abort_stream, on_released, NULL };

/* --- Servers ----------------------------------------------------------------------------- */

static void
publish (CrashFleet *f, const CrashFleetServer *s, Dispatch *dispatch)
{
  ServerRecord record = { .id = s->id,
                          .service = "engine",
                          .address = s->address,
                          .data_centre = s->data_centre,
                          .version = "v1",
                          .slots = 64,
                          .started_ms = s->starts };

  dispatch_server_changed (dispatch, &record, crash_fleet_now_ms (f));
}

static void
start_server (CrashFleet *f, CrashFleetServer *s)
{
  s->starts++;
  s->running = true;
  snprintf (s->id, sizeof s->id, "i-%d-%d", s->number, s->starts);
  for (int i = 0; i < f->options.hosts; i++)
    publish (f, s, f->hosts[i].dispatch);
}

typedef struct
{
  CrashFleet *fleet;
  CrashFleetServer *server;
  char id[24];
} ServerEvent;

static void
on_restart (void *data)
{
  ServerEvent *e = data;

  start_server (e->fleet, e->server);
  talloc_free (e);
}

static void
on_entry_removed (void *data)
{
  ServerEvent *e = data;

  for (int i = 0; i < e->fleet->options.hosts; i++)
    dispatch_server_removed (e->fleet->hosts[i].dispatch, e->id, 0, crash_fleet_now_ms (e->fleet));
  timers_start (e->fleet->clock, e, RESTART_MS - ENTRY_MS, on_restart, e);
}

static void
fail_call (FleetCall *c)
{
  list_remove (&c->node);
  TALLOC_FREE (c->timer);
  c->events->failed (c->data, c->point, false);
  talloc_free (c);
}

static void
end_server (CrashFleet *f, CrashFleetServer *s)
{
  ServerEvent *e = talloc_zero (f, ServerEvent);
  ListNode *n;

  s->running = false;
  *e = (ServerEvent){ .fleet = f, .server = s };
  memcpy (e->id, s->id, sizeof e->id);
  timers_start (f->clock, e, ENTRY_MS, on_entry_removed, e);
  while ((n = list_first (&s->calls)))
    fail_call (LIST_ENTRY (n, FleetCall, node));
}

void
crash_fleet_end_server (CrashFleet *f, int server)
{
  if (f->servers[server].running)
    end_server (f, &f->servers[server]);
}

static void
end_response (FleetCall *c)
{
  list_remove (&c->node);
  c->events->end (c->data);
  talloc_free (c);
}

static void
on_event_due (void *data)
{
  FleetCall *c = data;

  c->timer = NULL;
  if (c->events_left-- == 0)
    {
      end_response (c);
      return;
    }
  c->timer = timers_start (c->request->fleet->clock, c, EVENT_GAP_MS, on_event_due, c);
  c->events->body (c->data, "id: 1\ndata: x\n\n", 15);
}

static void
on_begin (void *data)
{
  FleetCall *c = data;
  FleetRequest *r = c->request;
  CrashFleet *f = r->fleet;
  int64_t now = crash_fleet_now_ms (f);

  c->timer = NULL;
  c->point = FAIL_RESPONSE_TRUNCATED;
  c->events->headers (c->data, &c->call, 200);
  if (r->crashes && !f->part_is_sound)
    {
      g_array_append_val (f->crashes, now);
      end_server (f, c->server);
      return;
    }
  if (!r->crashes && !r->begun && r->sends == 1)
    f->counts.begun++;
  r->begun = true;
  on_event_due (c);
}

static void
on_arrival (void *data)
{
  FleetCall *c = data;
  CrashFleet *f = c->request->fleet;
  int64_t now = crash_fleet_now_ms (f);

  c->timer = NULL;
  if (!c->server->running)
    {
      c->point = FAIL_CONNECT;
      fail_call (c);
      return;
    }
  if (c->request->crashes)
    g_array_append_val (f->arrivals, now);
  c->point = FAIL_NO_RESPONSE;
  list_append (&c->server->calls, &c->node);
  c->timer
      = timers_start (f->clock, c, PREFILL_MS + (int64_t)rng_below (&f->rng, MORE_MS), on_begin, c);
}

static CrashFleetServer *
server_at (CrashFleet *f, const char *address)
{
  return &f->servers[atoi (address)];
}

static BackendCall *
start (Backend *backend, const BackendRequest *request, const BackendEvents *events, void *data)
{
  CrashFleetHost *host = (CrashFleetHost *)((char *)backend - offsetof (CrashFleetHost, backend));
  FleetCall *c = talloc_zero (host->fleet, FleetCall);
  const char *id = NULL;

  for (size_t i = 0; i < request->n_headers; i++)
    if (!strncasecmp (request->headers[i], "X-Request-Id: ", 14))
      id = request->headers[i] + 14;
  c->request = id ? (FleetRequest *)(uintptr_t)strtoull (id, NULL, 16) : NULL;
  if (!c->request)
    abort ();
  c->request->sends++;
  c->call.backend = backend;
  c->server = server_at (host->fleet, request->address);
  c->events = events;
  c->data = data;
  c->events_left = c->request->is_long ? LONG_EVENTS : SHORT_EVENTS;
  c->point = FAIL_BEFORE_CONNECT;
  c->timer = timers_start (host->fleet->clock, c, DELAY_MS, on_arrival, c);
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
    return c->request->id;
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

/* --- Set-up ------------------------------------------------------------------------------ */

static const char *
region_of (void *data, const char *data_centre)
{
  (void)data;
  return data_centre;
}

static void
post (void *target, LoopFn fn, void *data)
{
  CrashFleetHost *h = target;

  timers_start (h->fleet->clock, h->fleet, 0, fn, data);
}

typedef struct
{
  CrashFleetHost *to;
  QuarantineNotice notice; /* its strings and keys are copies */
} FleetMessage;

static void
on_message (void *data)
{
  FleetMessage *m = data;

  quarantine_apply (m->to->quarantine, &m->notice, crash_fleet_now_ms (m->to->fleet));
  talloc_free (m);
}

static void
send_message (CrashFleetHost *to, const QuarantineNotice *notice)
{
  FleetMessage *m = talloc_zero (to->fleet, FleetMessage);

  m->to = to;
  m->notice = *notice;
  m->notice.server.id = talloc_strdup (m, notice->server.id);
  m->notice.server.address = talloc_strdup (m, notice->server.address);
  m->notice.keys = talloc_memdup (m, notice->keys, notice->n_keys * sizeof notice->keys[0]);
  to->fleet->messages++;
  timers_start (to->fleet->clock, m, MESSAGE_MS, on_message, m);
}

static void
on_tell (void *data, const QuarantineNotice *notice)
{
  CrashFleetHost *from = data;
  CrashFleet *f = from->fleet;

  for (int i = 0; i < f->options.hosts; i++)
    if (&f->hosts[i] != from && f->hosts[i].group == from->group)
      send_message (&f->hosts[i], notice);
}

static void
on_server_ended (void *data, const ServerInstance *instance)
{
  CrashFleetHost *h = data;

  quarantine_add_end (h->quarantine, instance, QUARANTINE_END_RECORD,
                      crash_fleet_now_ms (h->fleet));
}

static void
on_tick (void *data)
{
  CrashFleet *f = data;

  timers_start (f->clock, f, TICK_MS, on_tick, f);
  for (int i = 0; i < f->options.hosts; i++)
    quarantine_tick (f->hosts[i].quarantine, crash_fleet_now_ms (f));
}

static void
make_quarantine (CrashFleetHost *h)
{
  CrashFleet *f = h->fleet;
  QuarantineOptions options = { .seed = rng_next (&f->rng), .tell = on_tell, .data = h };
  QuarantineRowsOptions rows = { .store = &h->store->store, .timers = f->clock, .rng = &f->rng };

  h->quarantine = quarantine_new (f, &options);
  quarantine_set_hosts (h->quarantine, f->options.hosts);
  rows.quarantine = h->quarantine;
  h->rows = quarantine_rows_new (f, &rows);
  h->deps.quarantine = h->quarantine;
}

void
crash_fleet_restart_hosts (CrashFleet *f)
{
  for (int i = 0; i < f->options.hosts; i++)
    {
      TALLOC_FREE (f->hosts[i].rows);
      TALLOC_FREE (f->hosts[i].quarantine);
      make_quarantine (&f->hosts[i]);
    }
}

void
crash_fleet_split (CrashFleet *f, int groups)
{
  for (int i = 0; i < f->options.hosts; i++)
    f->hosts[i].group = i % groups;
}

static void
add_host (CrashFleet *f, int number)
{
  CrashFleetHost *h = &f->hosts[number];
  DispatchOptions options = { .host = h->name,
                              .data_centre = h->data_centre,
                              .region = h->data_centre,
                              .region_of = region_of,
                              .retries = { 0.2, 10000, 58 },
                              .policy = "cost",
                              .server_ended = on_server_ended,
                              .server_ended_data = h };

  h->fleet = f;
  snprintf (h->name, sizeof h->name, "host-%d", number);
  snprintf (h->data_centre, sizeof h->data_centre, "dc-%d", number % f->options.data_centres);
  options.seed = rng_next (&f->rng);
  h->backend.ops = &BACKEND_OPS;
  h->dispatch = dispatch_new (f, &options);
  h->deps = (RelayDeps){ .timers = f->clock,
                         .executor = { post, h },
                         .backend = &h->backend,
                         .dispatch = h->dispatch,
                         .dialect = platform_dialect (),
                         .max_response_bytes = 4096,
                         .response_room = room_fixture_new (f, f->clock) };
  h->store = fake_store_client_new (f->store);
  h->store->latency_ms = 10;
  make_quarantine (h);
}

static void
add_hosts (CrashFleet *f)
{
  ListedHost *list = talloc_array (f, ListedHost, f->options.hosts);

  f->hosts = talloc_zero_array (f, CrashFleetHost, f->options.hosts);
  for (int i = 0; i < f->options.hosts; i++)
    {
      add_host (f, i);
      list[i] = (ListedHost){ f->hosts[i].name, f->hosts[i].data_centre, f->hosts[i].data_centre };
    }
  for (int i = 0; i < f->options.hosts; i++)
    dispatch_set_hosts (f->hosts[i].dispatch, list, (size_t)f->options.hosts, 0);
  talloc_free (list);
}

static void
add_servers (CrashFleet *f)
{
  f->servers = talloc_zero_array (f, CrashFleetServer, f->options.servers);
  for (int i = 0; i < f->options.servers; i++)
    {
      CrashFleetServer *s = &f->servers[i];

      s->number = i;
      snprintf (s->address, sizeof s->address, "%d", i);
      snprintf (s->data_centre, sizeof s->data_centre, "dc-%d", i % f->options.data_centres);
      list_init (&s->calls);
      start_server (f, s);
    }
}

CrashFleet *
crash_fleet_new (const CrashFleetOptions *options)
{
  CrashFleet *f = talloc_zero (NULL, CrashFleet);
  CatalogBuilder *b = catalog_builder_new (NULL, 1);
  CatalogService service = { .name = "engine", .is_engine = true };

  f->options = *options;
  f->service = catalog_add_service (b, &service);
  f->catalog = catalog_finish (b);
  f->timers = virtual_timers_new (f, 100000);
  f->clock = virtual_timers_service (f->timers);
  f->crashing_part = 0xdead;
  f->store = fake_store_new (f, f->clock, &f->rng);
  f->crashes = g_array_new (FALSE, FALSE, sizeof (int64_t));
  f->arrivals = g_array_new (FALSE, FALSE, sizeof (int64_t));
  rng_seed (&f->rng, options->seed);
  add_hosts (f);
  add_servers (f);
  on_tick (f);
  return f;
}

void
crash_fleet_free (CrashFleet *f)
{
  double rate = f->options.requests_per_s;

  /* The requests that are open end before the hosts go. */
  f->options.requests_per_s = 0;
  f->crashing_per_s = 0;
  crash_fleet_run (f, 30000);
  f->options.requests_per_s = rate;
  g_array_free (f->crashes, TRUE);
  g_array_free (f->arrivals, TRUE);
  for (int i = 0; i < f->options.hosts; i++)
    {
      TALLOC_FREE (f->hosts[i].rows);
      TALLOC_FREE (f->hosts[i].dispatch);
    }
  catalog_unref (f->catalog);
  talloc_free (f);
}

/* --- Load -------------------------------------------------------------------------------- */

/* A request without parts that is the same each time. */
static void
make_one_request (FleetRequest *r)
{
  RelayRequest *q = &r->request;

  q->body = "one";
  q->body_len = 3;
  q->n_parts = 0;
  q->n_shared_parts = 0;
  q->kind = r->fleet->one_repeatable_request ? CALL_IDEMPOTENT : CALL_NON_IDEMPOTENT;
  q->repeatable = r->fleet->one_repeatable_request;
  q->max_attempts = 3;
}

static void
send_request (CrashFleet *f, bool crashes)
{
  void *memory = talloc_new (NULL);
  FleetRequest *r = talloc_zero (memory, FleetRequest);
  int64_t now = crash_fleet_now_ms (f);

  r->fleet = f;
  r->host = &f->hosts[rng_below (&f->rng, (uint64_t)f->options.hosts)];
  r->crashes = crashes;
  r->is_long = !crashes && rng_chance (&f->rng, 0.5);
  r->parts[0] = r->is_long ? FIRST_PART_OF_LONG : FIRST_PART;
  r->parts[1] = crashes ? f->crashing_part : 1000 + rng_below (&f->rng, SESSIONS);
  snprintf (r->body, sizeof r->body, "%lld", (long long)++f->next_request_id);
  snprintf (r->id, sizeof r->id, "%llx-%s", (unsigned long long)(uintptr_t)r, r->body);
  r->request = (RelayRequest){ .id = r->id,
                               .method = "POST",
                               .target = "/p/1",
                               .host = "h",
                               .body = r->body,
                               .body_len = strlen (r->body),
                               .service = f->service,
                               .account = "klubbarna",
                               .kind = CALL_STREAM,
                               .max_attempts = 2,
                               .client_timeout_ms = 8000,
                               .prompt_tokens = 2000,
                               .max_tokens = 100,
                               .n_parts = 2,
                               .shared_parts = r->parts,
                               .n_shared_parts = 2 };
  r->request.parts[0] = (PromptPart){ r->parts[0], 500 };
  r->request.parts[1] = (PromptPart){ r->parts[0] ^ r->parts[1], 500 };
  if (crashes && (f->one_request || f->one_repeatable_request))
    make_one_request (r);
  f->counts.sent += !crashes;
  relay_new (&r->host->deps, memory, &r->request, now, &CLIENT_OPS, r);
}

void
crash_fleet_run (CrashFleet *f, int64_t ms)
{
  int64_t end_ms = crash_fleet_now_ms (f) + ms;

  for (int64_t now = crash_fleet_now_ms (f); now < end_ms; now++)
    {
      virtual_timers_run (f->timers, now);
      for (double n = f->options.requests_per_s / 1000; rng_chance (&f->rng, n); n -= 1)
        send_request (f, false);
      if (rng_chance (&f->rng, f->crashing_per_s / 1000))
        send_request (f, true);
    }
  virtual_timers_run (f->timers, end_ms);
}

int64_t
crash_fleet_now_ms (const CrashFleet *f)
{
  return timers_now_ms (f->clock);
}

int
crash_fleet_count (const GArray *list, int64_t from_ms)
{
  int n = 0;

  for (guint i = 0; i < list->len; i++)
    n += g_array_index (list, int64_t, i) >= from_ms;
  return n;
}
