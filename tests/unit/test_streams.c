/* Which software version began a stream: the rows of the store and what hosts conclude from them. */
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "fakes/fake_store.h"
#include "fakes/virtual_timers.h"
#include "harness.h"
#include "streams/stream_rows.h"

/* --- Rows -------------------------------------------------------------------------------- */

/* Guards against a row that other hosts read differently, or in which a name breaks the encoding. */
static void
versions_row_is_read_as_written (void)
{
  VersionSet set = { .era = 2, .unsure_until_ms = 7 };
  VersionSet read;
  char *text;

  CU_ASSERT (version_set_allow (&set, ""));
  CU_ASSERT (version_set_allow (&set, "v\"1\\"));
  CU_ASSERT (!version_set_allow (&set, "v\n"));
  CU_ASSERT (!version_set_allow (&set, "v\xff"));
  version_set_find (&set, "")->gone_ms = 5;
  text = version_set_encode (NULL, &set);
  CU_ASSERT (version_set_decode (&read, text, strlen (text)));
  CU_ASSERT_EQUAL (memcmp (&read, &set, sizeof set), 0);
  CU_ASSERT (!version_set_allows (&read, ""));
  CU_ASSERT (version_set_allows (&read, "v\"1\\"));
  talloc_free (text);
}

/* Guards against a row of another writer that is taken for a list with one version. */
static void
malformed_versions_rows_are_not_used (void)
{
  static const char *const ROWS[] = {
    "",
    "[]",
    "{}",
    "{\"versions\":[],\"era\":1}",
    "{\"versions\":[{\"name\":\"v1\"}],\"era\":1,\"unsure_until_ms\":0}",
    "{\"versions\":[{\"name\":1,\"gone_ms\":0}],\"era\":1,\"unsure_until_ms\":0}",
    "{\"versions\":[{\"name\":\"v\\n\",\"gone_ms\":0}],\"era\":1,\"unsure_until_ms\":0}",
    "{\"versions\":[{\"name\":\"v1\",\"gone_ms\":-1}],\"era\":1,\"unsure_until_ms\":0}",
    "{\"versions\":[{\"name\":\"v1\",\"gone_ms\":0}],\"era\":\"1\",\"unsure_until_ms\":0}",
  };

  for (size_t i = 0; i < sizeof ROWS / sizeof ROWS[0]; i++)
    {
      VersionSet set;

      CU_ASSERT (!version_set_decode (&set, ROWS[i], strlen (ROWS[i])));
      CU_ASSERT_EQUAL (set.n, 0);
    }
}

typedef struct
{
  size_t n;
  size_t certain;
  char version[VERSION_NAME_BYTES];
} RowCount;

static void
count_row (void *data, StreamKey key, const char *version)
{
  RowCount *c = data;

  (void)key;
  c->n++;
  c->certain += version != NULL;
  if (version)
    snprintf (c->version, sizeof c->version, "%s", version);
}

static void
add (StreamTable *t, StreamKey key, const char *server, const char *version, int64_t now_ms)
{
  StreamBegin b = { .key = key, .server = server, .version = version, .until_ms = now_ms + 17000 };

  CU_ASSERT (stream_table_add (t, &b, now_ms));
}

/* Guards against memory or a row that grows with the streams of a busy host. */
static void
table_is_bounded_at_2600_streams_a_second (void)
{
  StreamTable *t = stream_table_new (NULL);
  RowCount count = { 0 };
  size_t len;
  char *row;

  for (int64_t i = 0; i < 60 * 2600; i++)
    {
      add (t, (StreamKey)i + 1, "i-1", i % 2 ? "v1" : "v2", i * 10 / 26);
      if (i % 260 == 0)
        stream_table_expire (t, i * 10 / 26);
    }
  CU_ASSERT_EQUAL (stream_table_count (t), STREAM_TABLE_MAX);
  CU_ASSERT_EQUAL (stream_table_dropped (t), 60 * 2600 - STREAM_TABLE_MAX);
  row = stream_table_encode (t, t, 50000, &len);
  CU_ASSERT (len <= STREAM_ROW_MAX_BYTES);
  CU_ASSERT_EQUAL (stream_row_decode (row, len, count_row, &count), 60000 + 17000 - 1 + 50000);
  CU_ASSERT_EQUAL (count.n, STREAM_TABLE_MAX);
  stream_table_expire (t, 60000 + 17000);
  CU_ASSERT_EQUAL (stream_table_count (t), 0);
  talloc_free (t);
}

/* Guards against reading behind the end of a row of another writer, or versions that it doesn't hold. */
static void
malformed_rows_of_streams_are_not_used (void)
{
  StreamTable *t = stream_table_new (NULL);
  size_t len;
  char *row;

  add (t, 1, "i-1", "v1", 0);
  row = stream_table_encode (t, t, 0, &len);
  for (size_t n = 0; n < len; n++)
    {
      RowCount count = { 0 };
      char *copy = talloc_memdup (t, row, n);

      stream_row_decode (copy, n, count_row, &count);
      CU_ASSERT_EQUAL (count.n, 0);
      talloc_free (copy);
    }
  row[len - 1] = 77;
  {
    RowCount count = { 0 };

    stream_row_decode (row, len, count_row, &count);
    CU_ASSERT (count.n == 1 && count.certain == 0);
  }
  talloc_free (t);
}

/* Guards against a row in which a stream has the version of a server that it was taken away from. */
static void
stream_moves_to_another_version_only_while_no_row_has_it (void)
{
  StreamTable *t = stream_table_new (NULL);
  const char *version = "";
  size_t len;

  add (t, 1, "i-1", "v1", 0);
  CU_ASSERT (stream_table_withdraw (t, 1));
  CU_ASSERT (!stream_table_find (t, 1, &version));
  add (t, 1, "i-2", "v2", 0);
  CU_ASSERT (stream_table_find (t, 1, &version));
  CU_ASSERT_STRING_EQUAL (version, "v2");
  talloc_free (stream_table_encode (t, t, 0, &len));
  CU_ASSERT (!stream_table_withdraw (t, 1));
  CU_ASSERT (stream_table_withdraw (t, 2));
  talloc_free (t);
}

/* Guards against a version that is believed although an id came again, or a server started with another version under its
 * old record. */
static void
doubtful_streams_have_no_version (void)
{
  StreamTable *t = stream_table_new (NULL);
  RowCount count = { 0 };
  const char *version = "";
  size_t len;
  char *row;

  add (t, 1, "i-1", "v1", 0);
  add (t, 1, "i-2", "v2", 0);
  add (t, 2, "i-3", "v1", 0);
  add (t, 3, "i-4", "v3", 0);
  CU_ASSERT_EQUAL (stream_table_doubt_server (t, "i-3"), 1);
  CU_ASSERT (stream_table_find (t, 1, &version) && !version);
  CU_ASSERT (stream_table_find (t, 2, &version) && !version);
  row = stream_table_encode (t, t, 0, &len);
  stream_row_decode (row, len, count_row, &count);
  CU_ASSERT (count.n == 3 && count.certain == 1);
  CU_ASSERT_STRING_EQUAL (count.version, "v3");
  talloc_free (t);
}

/* --- Hosts ------------------------------------------------------------------------------- */

#define N_HOSTS 3

typedef struct Fixture Fixture;

typedef struct
{
  Fixture *fixture;
  FakeStoreClient *client;
  Streams *streams;
  StreamRows *rows;
} TestHost;

struct Fixture
{
  VirtualTimers *timers;
  Timers *clock;
  Rng rng;
  FakeStore *store;
  TestHost hosts[N_HOSTS];
  StreamAnswer answer;
  int answers;
};

static int64_t
now_ms (const Fixture *f)
{
  return timers_now_ms (f->clock);
}

static void
run (Fixture *f, int64_t ms)
{
  virtual_timers_run (f->timers, now_ms (f) + ms);
}

static void
post (void *target, LoopFn fn, void *data)
{
  Fixture *f = target;

  timers_start (f->clock, f, 0, fn, data);
}

static void
start_host (Fixture *f, int host)
{
  TestHost *h = &f->hosts[host];
  StreamsOptions options = { .seed = rng_next (&f->rng) };
  StreamRowsOptions rows = { .store = &h->client->store,
                             .timers = f->clock,
                             .rng = &f->rng,
                             .host = "host",
                             .incarnation = rng_next (&f->rng) };

  h->fixture = f;
  h->streams = streams_new (f, &options);
  streams_set_hosts (h->streams, N_HOSTS);
  rows.streams = h->streams;
  h->rows = stream_rows_new (f, &rows);
}

static void
stop_host (Fixture *f, int host)
{
  TALLOC_FREE (f->hosts[host].rows);
  TALLOC_FREE (f->hosts[host].streams);
}

static Fixture *
fixture_new (void)
{
  Fixture *f = talloc_zero (NULL, Fixture);

  rng_seed (&f->rng, 7);
  f->timers = virtual_timers_new (f, 100000);
  f->clock = virtual_timers_service (f->timers);
  f->store = fake_store_new (f, f->clock, &f->rng);
  for (int i = 0; i < N_HOSTS; i++)
    {
      f->hosts[i].client = fake_store_client_new (f->store);
      f->hosts[i].client->latency_ms = 4;
      start_host (f, i);
    }
  return f;
}

static void
fixture_free (Fixture *f)
{
  for (int i = 0; i < N_HOSTS; i++)
    stop_host (f, i);
  talloc_free (f);
}

static void
show_server (Fixture *f, int host, const char *id, const char *version)
{
  streams_server_changed (f->hosts[host].streams, id, "engine", version, now_ms (f));
}

static void
show_server_to_all (Fixture *f, const char *id, const char *version)
{
  for (int i = 0; i < N_HOSTS; i++)
    show_server (f, i, id, version);
}

static void
begin (Fixture *f, int host, const char *id, const char *version)
{
  StreamBegin b = { .key = stream_key ("klubbarna", "engine", id),
                    .server = "i-1",
                    .version = version,
                    .until_ms = now_ms (f) + 15000 };

  CU_ASSERT (streams_begin (f->hosts[host].streams, &b, now_ms (f)));
}

static bool
is_allowed (Fixture *f, int host, const char *version)
{
  ServerVersions v;
  bool found = false;

  streams_allowed (f->hosts[host].streams, "engine", &v, now_ms (f));
  for (size_t i = 0; i < v.n; i++)
    found |= !strcmp (v.names[i], version);
  return found;
}

static void
on_answer (void *data, const StreamAnswer *answer)
{
  Fixture *f = data;

  f->answer = *answer;
  f->answers++;
}

static StreamLookup *
ask (Fixture *f, int host, const char *account, const char *id)
{
  StreamQuery query = { .service = "engine",
                        .key = stream_key (account, "engine", id),
                        .executor = { post, f },
                        .fn = on_answer,
                        .data = f };

  f->answer = (StreamAnswer){ .outcome = STREAM_N_OUTCOMES };
  return streams_look_up (f->hosts[host].streams, f, &query, &f->answer);
}

/* @return what a host finds out, in a form to compare. */
static const char *
look_up (Fixture *f, int host, const char *id)
{
  static char text[128];
  StreamLookup *lookup = ask (f, host, "klubbarna", id);

  if (lookup)
    run (f, 2500);
  talloc_free (lookup);
  snprintf (text, sizeof text, "%s %s %s", stream_outcome_name (f->answer.outcome),
            stream_source_name (f->answer.source), f->answer.version);
  return text;
}

/* Guards against a stream that begins at a version of which other hosts may not know. */
static void
new_version_is_used_only_after_the_row_lists_it (void)
{
  Fixture *f = fixture_new ();

  show_server_to_all (f, "i-1", "v1");
  CU_ASSERT (!is_allowed (f, 0, "v1"));
  run (f, 300);
  CU_ASSERT (is_allowed (f, 0, "v1") && is_allowed (f, 1, "v1"));
  for (int i = 0; i < N_HOSTS; i++)
    f->hosts[i].client->refuse_calls = true;
  show_server (f, 0, "i-2", "v2");
  run (f, 3000);
  CU_ASSERT (!is_allowed (f, 0, "v2"));
  for (int i = 0; i < N_HOSTS; i++)
    f->hosts[i].client->refuse_calls = false;
  run (f, 1000);
  CU_ASSERT (is_allowed (f, 0, "v2"));
  CU_ASSERT_STRING_EQUAL (look_up (f, 1, "x"), "unknown none ");
  fixture_free (f);
}

/* Guards against joining streams at hosts that have just started, and against losing those that other hosts recorded. */
static void
hosts_that_start_know_the_streams_of_hosts_that_ended (void)
{
  Fixture *f = fixture_new ();

  show_server_to_all (f, "i-1", "v1");
  run (f, 300);
  begin (f, 0, "before", "v1");
  show_server_to_all (f, "i-2", "v2");
  run (f, 700);
  begin (f, 0, "first", "v2");
  run (f, 400);
  begin (f, 0, "late", "v2");
  CU_ASSERT_STRING_EQUAL (look_up (f, 0, "late"), "known host v2");
  for (int i = 0; i < N_HOSTS; i++)
    stop_host (f, i);
  for (int i = 0; i < N_HOSTS; i++)
    start_host (f, i);
  CU_ASSERT_STRING_EQUAL (look_up (f, 1, "before"), "known record v1");
  CU_ASSERT_STRING_EQUAL (look_up (f, 2, "first"), "known record v2");
  CU_ASSERT_STRING_EQUAL (look_up (f, 0, "late"), "unknown none ");
  CU_ASSERT_STRING_EQUAL (look_up (f, 0, "never"), "unknown none ");
  fixture_free (f);
}

/* Guards against a conclusion from the list of servers: the old version is no longer in it, but its streams are open. */
static void
version_without_servers_stays_in_doubt (void)
{
  Fixture *f = fixture_new ();

  show_server_to_all (f, "i-1", "v1");
  run (f, 300);
  CU_ASSERT_STRING_EQUAL (look_up (f, 0, "x"), "known versions v1");
  show_server_to_all (f, "i-2", "v2");
  run (f, 300);
  for (int i = 0; i < N_HOSTS; i++)
    streams_server_removed (f->hosts[i].streams, "i-1", true, now_ms (f));
  run (f, 15000);
  CU_ASSERT (!is_allowed (f, 0, "v1"));
  stop_host (f, 0);
  start_host (f, 0);
  show_server (f, 0, "i-2", "v2");
  CU_ASSERT_STRING_EQUAL (look_up (f, 0, "x"), "unknown none ");
  run (f, VERSION_HOLD_MS - 30000);
  CU_ASSERT_STRING_EQUAL (look_up (f, 0, "x"), "unknown none ");
  run (f, 30000 + 70000);
  CU_ASSERT_STRING_EQUAL (look_up (f, 0, "x"), "known versions v2");
  fixture_free (f);
}

/* Guards against an old version that is not used again after a roll back, or whose streams are joined with others. */
static void
roll_back_allows_the_old_version_again (void)
{
  Fixture *f = fixture_new ();

  show_server_to_all (f, "i-1", "v1");
  show_server_to_all (f, "i-2", "v2");
  run (f, 300);
  for (int i = 0; i < N_HOSTS; i++)
    streams_server_removed (f->hosts[i].streams, "i-1", true, now_ms (f));
  run (f, 15000);
  CU_ASSERT (!is_allowed (f, 1, "v1"));
  show_server_to_all (f, "i-3", "v1");
  run (f, 300);
  CU_ASSERT (is_allowed (f, 1, "v1") && is_allowed (f, 1, "v2"));
  CU_ASSERT_STRING_EQUAL (look_up (f, 1, "x"), "unknown none ");
  fixture_free (f);
}

/* Guards against a guess while the store can't be read, and against streams that their own host can't resume then. */
static void
cut_host_knows_its_own_streams_only (void)
{
  Fixture *f = fixture_new ();

  show_server_to_all (f, "i-1", "v1");
  run (f, 300);
  f->hosts[0].client->drop_calls = true;
  begin (f, 0, "own", "v1");
  begin (f, 1, "other", "v1");
  CU_ASSERT (is_allowed (f, 0, "v1"));
  CU_ASSERT_STRING_EQUAL (look_up (f, 0, "own"), "known host v1");
  CU_ASSERT_STRING_EQUAL (look_up (f, 0, "other"), "not_read none ");
  run (f, VERSION_LEASE_MS);
  CU_ASSERT (!is_allowed (f, 0, "v1"));
  fixture_free (f);
}

/* Guards against one version that seems to be alone because the store was restored from a backup. */
static void
restored_store_is_in_doubt (void)
{
  Fixture *f = fixture_new ();

  fake_store_take_backup (f->store);
  show_server_to_all (f, "i-1", "v1");
  run (f, 300);
  fake_store_take_backup (f->store);
  show_server_to_all (f, "i-2", "v2");
  run (f, 300);
  CU_ASSERT (is_allowed (f, 0, "v2"));
  fake_store_restore (f->store);
  for (int i = 0; i < N_HOSTS; i++)
    {
      stop_host (f, i);
      start_host (f, i);
    }
  /* The reply to the first call shows that the store was restored, and is not used. */
  CU_ASSERT_STRING_EQUAL (look_up (f, 0, "x"), "not_read none ");
  CU_ASSERT_STRING_EQUAL (look_up (f, 0, "x"), "unknown none ");
  show_server_to_all (f, "i-1", "v1");
  run (f, 1000);
  CU_ASSERT_STRING_EQUAL (look_up (f, 0, "x"), "unknown none ");
  CU_ASSERT (is_allowed (f, 0, "v1"));
  fixture_free (f);
}

/* Guards against versions that a restored store has lost although hosts remember them. */
static void
hosts_write_again_what_the_store_lost (void)
{
  Fixture *f = fixture_new ();

  fake_store_take_backup (f->store);
  show_server_to_all (f, "i-1", "v1");
  run (f, 300);
  fake_store_take_backup (f->store);
  show_server_to_all (f, "i-2", "v2");
  run (f, 300);
  for (int i = 0; i < N_HOSTS; i++)
    streams_server_removed (f->hosts[i].streams, "i-2", true, now_ms (f));
  fake_store_restore (f->store);
  run (f, 70000);
  CU_ASSERT_PTR_NOT_NULL (strstr (
      fake_store_value (f->store, &(StoreKey){ STREAMS_TABLE, "", "service:engine" }), "\"v2\""));
  fixture_free (f);
}

/* Guards against an answer that shows whether an id exists for another account. */
static void
id_of_another_account_is_like_one_that_never_was (void)
{
  Fixture *f = fixture_new ();
  StreamAnswer other;

  show_server_to_all (f, "i-1", "v1");
  show_server_to_all (f, "i-2", "v2");
  run (f, 500);
  begin (f, 0, "x", "v1");
  run (f, 500);
  for (int host = 0; host < 2; host++)
    {
      StreamLookup *lookup = ask (f, host, "other", "x");

      CU_ASSERT_PTR_NOT_NULL (lookup);
      run (f, 1000);
      talloc_free (lookup);
      other = f->answer;
      lookup = ask (f, host, "other", "never");
      CU_ASSERT_PTR_NOT_NULL (lookup);
      run (f, 1000);
      talloc_free (lookup);
      CU_ASSERT_EQUAL (memcmp (&other, &f->answer, sizeof other), 0);
      CU_ASSERT_EQUAL (other.outcome, STREAM_NOT_KNOWN);
    }
  fixture_free (f);
}

/* Guards against hosts whose records of one id differ: the id came again. */
static void
hosts_that_disagree_leave_a_stream_unknown (void)
{
  Fixture *f = fixture_new ();

  show_server_to_all (f, "i-1", "v1");
  show_server_to_all (f, "i-2", "v2");
  run (f, 500);
  begin (f, 0, "x", "v1");
  begin (f, 1, "x", "v2");
  run (f, 500);
  CU_ASSERT_STRING_EQUAL (look_up (f, 2, "x"), "unknown none ");
  fixture_free (f);
}

/* Guards against a read of the store for each of the clients whose streams broke off together. */
static void
questions_share_reads (void)
{
  Fixture *f = fixture_new ();
  StreamLookup *lookups[1000];
  int reads;

  show_server_to_all (f, "i-1", "v1");
  run (f, 500);
  reads = f->hosts[0].client->reads;
  for (int i = 0; i < 1000; i++)
    {
      char id[24];

      snprintf (id, sizeof id, "%d", i / 2);
      lookups[i] = ask (f, 0, "klubbarna", id);
    }
  for (int i = 0; i < 1000; i += 3)
    TALLOC_FREE (lookups[i]);
  f->answers = 0;
  run (f, 1000);
  CU_ASSERT_EQUAL (f->answers, 666);
  CU_ASSERT (f->hosts[0].client->reads - reads <= 2);
  for (int i = 0; i < 1000; i++)
    talloc_free (lookups[i]);
  fixture_free (f);
}

/* Guards against rows of hosts that ended, which would pile up. */
static void
rows_of_ended_hosts_are_removed (void)
{
  Fixture *f = fixture_new ();

  show_server_to_all (f, "i-1", "v1");
  show_server_to_all (f, "i-2", "v2");
  run (f, 500);
  for (int i = 0; i < 5; i++)
    {
      begin (f, 0, "x", "v1");
      run (f, 500);
      stop_host (f, 0);
      start_host (f, 0);
      show_server (f, 0, "i-1", "v1");
    }
  run (f, 100000);
  look_up (f, 1, "y");
  run (f, 1000);
  CU_ASSERT_STRING_EQUAL (look_up (f, 1, "x"), "unknown none ");
  look_up (f, 1, "y");
  CU_ASSERT_EQUAL (fake_store_count (f->store, STREAMS_TABLE, ""), 1);
  CU_ASSERT_EQUAL (fake_store_count (f->store, STREAMS_TABLE, "hosts"), 0);
  fixture_free (f);
}

/* --- Threads ----------------------------------------------------------------------------- */

#define N_WORKERS      3
#define N_TAKE_UPS     2000
#define MAX_POSTED     64
#define WORKER_SERVICE "engine"

/* A worker's thread with the calls that were posted to it. */
typedef struct
{
  pthread_t thread;
  pthread_mutex_t lock;
  LoopFn fns[MAX_POSTED];
  void *data[MAX_POSTED];
  size_t n;
  Streams *streams;
  int number;
  int answers;
} Worker;

static atomic_int workers_running;

static void
post_to_worker (void *target, LoopFn fn, void *data)
{
  Worker *w = target;

  pthread_mutex_lock (&w->lock);
  w->fns[w->n] = fn;
  w->data[w->n++] = data;
  pthread_mutex_unlock (&w->lock);
}

static void
run_posted (Worker *w)
{
  LoopFn fns[MAX_POSTED];
  void *data[MAX_POSTED];
  size_t n;

  pthread_mutex_lock (&w->lock);
  n = w->n;
  memcpy (fns, w->fns, sizeof fns);
  memcpy (data, w->data, sizeof data);
  w->n = 0;
  pthread_mutex_unlock (&w->lock);
  for (size_t i = 0; i < n; i++)
    fns[i](data[i]);
}

static void
on_worker_answer (void *data, const StreamAnswer *answer)
{
  Worker *w = data;

  w->answers += answer->outcome == STREAM_KNOWN;
}

static void
take_up (Worker *w, int i)
{
  StreamQuery query = { .service = WORKER_SERVICE,
                        .key = (StreamKey)(1000000 + i % 7),
                        .executor = { post_to_worker, w },
                        .fn = on_worker_answer,
                        .data = w };
  StreamAnswer answer;
  StreamLookup *lookup = streams_look_up (w->streams, NULL, &query, &answer);

  /* Every third client leaves. */
  for (int before = w->answers; lookup && i % 3 && w->answers == before;)
    run_posted (w);
  talloc_free (lookup);
}

static void *
run_worker (void *data)
{
  Worker *w = data;

  for (int i = 0; i < N_TAKE_UPS; i++)
    {
      ServerVersions versions;
      StreamBegin b = { .key = (StreamKey)(w->number * N_TAKE_UPS + i + 1),
                        .server = "i-1",
                        .version = "v1",
                        .until_ms = i + 100 };

      streams_allowed (w->streams, WORKER_SERVICE, &versions, i);
      streams_begin (w->streams, &b, i);
      streams_withdraw (w->streams, b.key);
      take_up (w, i);
      run_posted (w);
    }
  atomic_fetch_sub (&workers_running, 1);
  return NULL;
}

static void
read_once (Streams *s, int64_t now)
{
  static const char ROW[]
      = "{\"versions\":[{\"name\":\"v1\",\"gone_ms\":0}],\"era\":1,\"unsure_until_ms\":0}";

  if (!streams_read_begin (s, now))
    return;
  streams_read_at (s, (StreamsStoreTime){ now, 1 }, now);
  streams_read_versions_row (s, WORKER_SERVICE, ROW, strlen (ROW), 1);
  streams_read_end (s, true, now);
}

/* Guards against threads that share the tables without the lock, and answers to clients that have left (run by the thread
 * sanitizer). */
static void
workers_and_the_control_loop_share_the_tables (void)
{
  StreamsOptions options = { .seed = 3 };
  Streams *s = streams_new (NULL, &options);
  Worker workers[N_WORKERS] = { 0 };
  int64_t now = 0;

  atomic_store (&workers_running, N_WORKERS);
  for (int i = 0; i < N_WORKERS; i++)
    {
      workers[i] = (Worker){ .streams = s, .number = i };
      pthread_mutex_init (&workers[i].lock, NULL);
      pthread_create (&workers[i].thread, NULL, run_worker, &workers[i]);
    }
  for (; atomic_load (&workers_running) > 0; now++)
    {
      char *row;
      size_t len;

      read_once (s, now);
      streams_tick (s, now);
      row = streams_next_record_write (s, NULL, now, &len);
      talloc_free (row);
    }
  for (int i = 0; i < N_WORKERS; i++)
    {
      pthread_join (workers[i].thread, NULL);
      run_posted (&workers[i]);
      CU_ASSERT (workers[i].answers >= N_TAKE_UPS / 3);
      pthread_mutex_destroy (&workers[i].lock);
    }
  talloc_free (s);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "versions_row_is_read_as_written", versions_row_is_read_as_written },
    { "malformed_versions_rows_are_not_used", malformed_versions_rows_are_not_used },
    { "table_is_bounded_at_2600_streams_a_second", table_is_bounded_at_2600_streams_a_second },
    { "malformed_rows_of_streams_are_not_used", malformed_rows_of_streams_are_not_used },
    { "stream_moves_to_another_version_only_while_no_row_has_it",
      stream_moves_to_another_version_only_while_no_row_has_it },
    { "doubtful_streams_have_no_version", doubtful_streams_have_no_version },
    { "new_version_is_used_only_after_the_row_lists_it",
      new_version_is_used_only_after_the_row_lists_it },
    { "hosts_that_start_know_the_streams_of_hosts_that_ended",
      hosts_that_start_know_the_streams_of_hosts_that_ended },
    { "version_without_servers_stays_in_doubt", version_without_servers_stays_in_doubt },
    { "roll_back_allows_the_old_version_again", roll_back_allows_the_old_version_again },
    { "cut_host_knows_its_own_streams_only", cut_host_knows_its_own_streams_only },
    { "restored_store_is_in_doubt", restored_store_is_in_doubt },
    { "hosts_write_again_what_the_store_lost", hosts_write_again_what_the_store_lost },
    { "id_of_another_account_is_like_one_that_never_was",
      id_of_another_account_is_like_one_that_never_was },
    { "hosts_that_disagree_leave_a_stream_unknown", hosts_that_disagree_leave_a_stream_unknown },
    { "questions_share_reads", questions_share_reads },
    { "rows_of_ended_hosts_are_removed", rows_of_ended_hosts_are_removed },
    { "workers_and_the_control_loop_share_the_tables",
      workers_and_the_control_loop_share_the_tables },
  };

  return harness_run ("streams", CASES, sizeof CASES / sizeof CASES[0]);
}
