/* A host's path to the store is cut and comes back, or the store itself is away: how long a server stays in use whose row was
 * removed meanwhile. In virtual time, over all lengths of a cut and all moments at which it begins. */
#include <string.h>

#include <talloc.h>

#include "fakes/virtual_timers.h"
#include "harness.h"
#include "store/store_watch.h"

/* The users' bound: a host counts as in touch so long after its path is back. */
#define CONTACT_MS 3000

/* In which owners write rows again that expired while the store was away. */
#define REWRITE_MS 2000

/* The users' bound on the time from the acknowledgement of a configuration. */
#define APPLY_MS 2500

/* What it takes a busy host to read two large configurations, one after the other (docs/CAPACITY.md). */
#define PARSE_MS 1000

#define CONFIG_WAIT_MS      1000
#define CONNECT_LIMIT_MS    500
#define CALL_LIMIT_MS       1200
#define ROUND_TRIP_MS       20
#define FIRST_RETRANSMIT_MS 200
#define TICK_MS             10

typedef enum
{
  LOSS_PATH,    /* nothing gets through, in either direction */
  LOSS_REFUSES, /* the store answers that it can't serve */
  LOSS_SILENCE  /* connections go silent for good, while new ones work */
} Loss;

typedef struct
{
  Store store;
  VirtualTimers *vt;
  Rng rng;
  StoreWatch *watch;
  Loss loss;
  int64_t lost_ms;      /* the loss begins */
  int64_t back_ms;      /* and ends */
  int64_t silent_ms[2]; /* LOSS_SILENCE: when */
  int64_t beats_ms;     /* other rows change so often; 0: never */
  bool connected;
  int64_t connected_ms; /* since when */
  int64_t known_ms;     /* the removal was reported; 0: not yet */
  int64_t gone_ms;      /* the removed row's server is no longer used; 0: not yet */
} Path;

struct StoreCall
{
  Path *path;
  StoreFn fn;
  void *data;
  StoreFeed feed; /* table NULL: a full read */
  int64_t started_ms;
  StoreReply reply;
};

static int64_t
now_ms (const Path *p)
{
  return timers_now_ms (virtual_timers_service (p->vt));
}

static bool
is_lost (const Path *p, int64_t at_ms)
{
  return at_ms >= p->lost_ms && at_ms < p->back_ms;
}

static int64_t
version_at (const Path *p, int64_t at_ms)
{
  int64_t beats = p->beats_ms > 0 ? at_ms / p->beats_ms : 0;

  return 10 + beats + (at_ms >= p->lost_ms ? 1 : 0);
}

static void
on_due (void *data)
{
  StoreCall *c = data;
  StoreRow row = { .key = { "t", "", "server" }, .version = 1, .value = "x", .len = 1 };
  StoreFn fn = c->fn;
  void *fn_data = c->data;

  if (c->reply.result == STORE_DONE)
    {
      c->reply.version = version_at (c->path, now_ms (c->path));
      row.removed = now_ms (c->path) >= c->path->lost_ms;
      row.version = row.removed ? c->reply.version : 1;
      c->reply.rows = &row;
      c->reply.n_rows = c->feed.table || !row.removed;
      c->path->connected = true;
    }
  fn (fn_data, &c->reply);
  talloc_free (c);
}

static void
end_at (StoreCall *c, int64_t at_ms, StoreReply reply)
{
  c->reply = reply;
  timers_start (virtual_timers_service (c->path->vt), c, at_ms - now_ms (c->path), on_due, c);
}

/* When the store has something to say. */
static int64_t
answer_ms (const StoreCall *c)
{
  int64_t at = c->started_ms + ROUND_TRIP_MS;

  if (!c->feed.table)
    return at;
  for (; at < c->started_ms + c->feed.wait_ms; at++)
    if (version_at (c->path, at) > c->feed.after_version)
      return at;
  return at;
}

/* What is lost is sent again after a time that doubles. */
static int64_t
arrival_ms (const Path *p, int64_t sent_ms)
{
  int64_t pause = FIRST_RETRANSMIT_MS;

  while (is_lost (p, sent_ms))
    {
      sent_ms += pause;
      pause *= 2;
    }
  return sent_ms;
}

/* Of a connection that was open when connections went silent nothing comes any more. */
static void
plan_end_in_silence (StoreCall *c, int64_t limit)
{
  Path *p = c->path;
  int64_t at = answer_ms (c);
  bool silent = false;

  if (!p->connected)
    p->connected_ms = c->started_ms + ROUND_TRIP_MS / 2;
  for (size_t i = 0; i < 2; i++)
    silent |= p->connected_ms <= p->silent_ms[i] && p->silent_ms[i] <= at;
  p->connected = !silent;
  if (silent)
    end_at (c, limit, (StoreReply){ .result = STORE_UNKNOWN });
  else
    end_at (c, at, (StoreReply){ .result = STORE_DONE });
}

static void
plan_end (StoreCall *c)
{
  const Path *p = c->path;
  int64_t late = c->feed.late_ms > 0 ? c->feed.late_ms : CALL_LIMIT_MS;
  int64_t limit = c->started_ms + c->feed.wait_ms + late;
  int64_t at;

  if (p->loss == LOSS_SILENCE)
    plan_end_in_silence (c, limit);
  else if (is_lost (p, c->started_ms) && p->loss == LOSS_REFUSES)
    end_at (c, c->started_ms + ROUND_TRIP_MS, (StoreReply){ .result = STORE_REFUSED });
  else if (is_lost (p, c->started_ms) && !p->connected)
    end_at (c, c->started_ms + CONNECT_LIMIT_MS,
            (StoreReply){ .result = STORE_REFUSED, .no_connection = true });
  else
    {
      c->path->connected = true;
      at = p->loss == LOSS_PATH ? arrival_ms (p, answer_ms (c)) : answer_ms (c);
      if (p->loss == LOSS_REFUSES && is_lost (p, at))
        end_at (c, at, (StoreReply){ .result = STORE_REFUSED });
      else if (at > limit)
        end_at (c, limit, (StoreReply){ .result = STORE_UNKNOWN });
      else
        end_at (c, at, (StoreReply){ .result = STORE_DONE });
      if (at > limit)
        c->path->connected = false;
    }
}

static StoreCall *
start (Store *store, const void *ctx, const StoreFeed *feed, StoreFn fn, void *data)
{
  StoreCall *c = talloc_zero (ctx, StoreCall);

  c->path = (Path *)store;
  c->fn = fn;
  c->data = data;
  c->feed = *feed;
  c->started_ms = now_ms (c->path);
  plan_end (c);
  return c;
}

static StoreCall *
range (Store *store, const void *ctx, const StoreRange *r, StoreFn fn, void *data)
{
  (void)r;
  return start (store, ctx, &(StoreFeed){ .table = NULL }, fn, data);
}

static StoreCall *
read_feed (Store *store, const void *ctx, const StoreFeed *f, StoreFn fn, void *data)
{
  return start (store, ctx, f, fn, data);
}

static void
on_changed (void *data, const StoreRow *row)
{
  (void)data, (void)row;
}

static void
on_removed (void *data, const StoreKey *key)
{
  Path *p = data;

  (void)key;
  p->known_ms = now_ms (p);
  p->gone_ms = now_ms (p) + store_watch_removal_grace_ms (p->watch);
}

/* @return how long after the end of the loss the server is used. */
static int64_t
play (Loss loss, int64_t begins_ms, int64_t length_ms, int64_t beats_ms, uint64_t seed)
{
  static const StoreOps OPS = { NULL, range, read_feed };
  static const StoreWatchEvents EVENTS = { on_changed, on_removed, NULL };
  Path *p = talloc_zero (NULL, Path);
  StoreWatchOptions options
      = { .store = &p->store, .rng = &p->rng, .table = "t", .events = &EVENTS, .data = p };
  int64_t used_ms;

  p->store.ops = &OPS;
  p->vt = virtual_timers_new (p, 1000);
  p->loss = loss;
  p->lost_ms = 6000 + begins_ms;
  p->back_ms = p->lost_ms + length_ms;
  p->beats_ms = beats_ms;
  rng_seed (&p->rng, seed);
  options.timers = virtual_timers_service (p->vt);
  p->watch = store_watch_new (p, &options);
  for (int64_t at = 1000; !p->gone_ms && at < p->back_ms + 20000; at += TICK_MS)
    virtual_timers_run (p->vt, at);
  CU_ASSERT (p->gone_ms > 0);
  used_ms = p->gone_ms - p->back_ms;
  talloc_free (p);
  return used_ms;
}

/* The connections go silent at two moments; a change is acknowledged at a third. @return how long after the host has to know
 * the change it does. */
static int64_t
play_silence (int64_t first_ms, int64_t second_ms, int64_t change_ms, uint64_t seed)
{
  static const StoreOps OPS = { NULL, range, read_feed };
  static const StoreWatchEvents EVENTS = { on_changed, on_removed, NULL };
  Path *p = talloc_zero (NULL, Path);
  StoreWatchOptions options = { .store = &p->store,
                                .rng = &p->rng,
                                .table = "t",
                                .wait_ms = CONFIG_WAIT_MS,
                                .events = &EVENTS,
                                .data = p };
  int64_t due_ms;

  p->store.ops = &OPS;
  p->vt = virtual_timers_new (p, 1000);
  p->loss = LOSS_SILENCE;
  p->silent_ms[0] = first_ms;
  p->silent_ms[1] = second_ms;
  p->lost_ms = change_ms;
  rng_seed (&p->rng, seed);
  options.timers = virtual_timers_service (p->vt);
  p->watch = store_watch_new (p, &options);
  for (int64_t at = 1000; !p->known_ms && at < change_ms + 20000; at += TICK_MS)
    virtual_timers_run (p->vt, at);
  CU_ASSERT (p->known_ms > 0);
  due_ms = change_ms + APPLY_MS;
  for (size_t i = 0; i < 2; i++)
    if (p->silent_ms[i] < p->known_ms && p->silent_ms[i] + CONTACT_MS > due_ms)
      due_ms = p->silent_ms[i] + CONTACT_MS;
  due_ms = p->known_ms - due_ms;
  talloc_free (p);
  return due_ms;
}

/* Guards against a change that comes into force late because connections go silent twice, the second time on the one that
 * replaced the first. */
static void
change_is_known_in_time_although_connections_go_silent_twice (void)
{
  int64_t latest_ms = INT64_MIN;

  for (int64_t first = 6000; first < 7300; first += 50)
    for (int64_t between = 50; between < 4000; between += 50)
      for (int64_t change = -1000; change < 4000; change += 250)
        {
          int64_t late_ms
              = play_silence (first, first + between, first + change, (uint64_t)between);

          latest_ms = late_ms > latest_ms ? late_ms : latest_ms;
        }
  printf ("latest: %d ms before a change is due\n", (int)-latest_ms);
  CU_ASSERT (latest_ms <= -PARSE_MS);
}

/* Guards against requests at a server that was removed long ago, by a host that is in touch with the store again. */
static void
removed_server_is_left_before_the_host_counts_as_in_touch (void)
{
  int64_t longest_ms = 0;

  for (int64_t length = 50; length < 6000; length += 50)
    for (int64_t begins = 0; begins < 1300; begins += 50)
      for (uint64_t seed = 0; seed < 6; seed++)
        {
          int64_t used_ms = play (LOSS_PATH, begins, length, seed % 2 ? 250 : 0, seed);

          longest_ms = used_ms > longest_ms ? used_ms : longest_ms;
        }
  printf ("longest use after the path is back: %d ms\n", (int)longest_ms);
  CU_ASSERT (longest_ms < CONTACT_MS);
}

/* Guards against a store that was away and costs the fleet its servers, whose owners write their rows again. */
static void
server_stays_while_its_owner_may_write_its_row_again (void)
{
  int64_t shortest_ms = CONTACT_MS;

  for (int64_t length = 500; length < 6000; length += 100)
    for (int64_t begins = 0; begins < 1300; begins += 100)
      for (uint64_t seed = 0; seed < 6; seed++)
        {
          int64_t used_ms = play (LOSS_REFUSES, begins, length, seed % 2 ? 250 : 0, seed);

          shortest_ms = used_ms < shortest_ms ? used_ms : shortest_ms;
        }
  CU_ASSERT (shortest_ms >= REWRITE_MS);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "change_is_known_in_time_although_connections_go_silent_twice",
      change_is_known_in_time_although_connections_go_silent_twice },
    { "removed_server_is_left_before_the_host_counts_as_in_touch",
      removed_server_is_left_before_the_host_counts_as_in_touch },
    { "server_stays_while_its_owner_may_write_its_row_again",
      server_stays_while_its_owner_may_write_its_row_again },
  };

  return harness_run ("store_path", CASES, sizeof CASES / sizeof CASES[0]);
}
