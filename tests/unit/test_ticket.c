#include "harness.h"

#include <string.h>

#include <talloc.h>

#include "fakes/fake_store.h"
#include "fakes/virtual_timers.h"
#include "ticket/ticket_objects.h"
#include "ticket/ticket_submit.h"
#include "ticket/ticket.h"

#define HASH_A "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
/* Parts of ticket files. N is the line with the ticket's number. */
#define N      "ticket = 7\n"
#define POOL   "[[pool]]\nname = \"p\"\nkind = \"model\"\n"
#define SERVER(name, address)                                                                      \
  "[[pool.server]]\nname = \"" name "\"\naddress = \"" address                                     \
  "\"\ndata_centre = \"d\"\nregion = \"r\"\n"
#define SERVICE "[[pool]]\nname = \"s\"\nkind = \"service\"\n"
#define CALL                                                                                       \
  "[[pool.call]]\nmethod = \"POST\"\npath_prefix = \"/b\"\nidempotent = false\nprice = 5\n"

typedef struct
{
  const char *name;
  const char *text;
  const char *errors[3]; /* prefixes of all expected error lines */
} ErrorRow;

static const ErrorRow ERRORS[] = {
  { "no number", "[[account]]\nname = \"a\"\n", { "f:1: ticket: missing, allowed: integer from" } },
  { "number zero", "ticket = 0\n[[account]]\nname = \"a\"\n", { "f:1: ticket: out of range" } },
  { "nothing in it", N, { "f:1: ticket: the ticket changes nothing" } },
  { "unknown object type", N "[[acount]]\nname = \"a\"\n", { "f:2: acount: unknown key" } },
  { "duplicate name",
    N "[[account]]\nname = \"a\"\n[[account]]\nname = \"a\"\n",
    { "f:4: account: duplicate name \"a\" (first in line 2)" } },
  { "budget without account",
    N "[[budget]]\nname = \"b\"\nlimit = 1\n",
    { "f:2: budget.account: missing" } },
  { "negative limit",
    N "[[budget]]\nname = \"b\"\naccount = \"a\"\nlimit = -1\n",
    { "f:5: budget.limit: out of range, allowed: integer from 0" } },
  { "fraction for tokens",
    N "[[budget]]\nname = \"b\"\naccount = \"a\"\nlimit = 1.5\n",
    { "f:5: budget.limit: wrong type" } },
  { "API key in the clear",
    N "[[account]]\nname = \"a\"\nkeys = [\"secret\"]\n",
    { "f:4: account.keys: not a hashed key, allowed: array of strings \"sha256:\"" } },
  { "one API key for two accounts",
    N "[[account]]\nname = \"a\"\nkeys = [\"" HASH_A "\"]\n[[account]]\nname = \"b\"\nkeys = "
      "[\"" HASH_A "\"]\n",
    { "f:7: account.keys: the same as of \"a\" in line 4" } },
  { "name with a slash", N "[[account]]\nname = \"a/b\"\n", { "f:3: account.name: not a valid" } },
  { "stop that ends before it starts",
    N "[[stop]]\nname = \"s\"\ndata_centre = \"d\"\nstarts = 2026-12-06T22:00:00Z\n"
      "ends = 2026-12-06T21:00:00Z\n",
    { "f:6: stop.ends: the stop ends before it starts" } },
  { "stop in local time",
    N "[[stop]]\nname = \"s\"\ndata_centre = \"d\"\nstarts = 2026-12-06T22:00:00\n"
      "ends = 2026-12-06T23:00:00Z\n",
    { "f:5: stop.starts: not a time with an offset, allowed: RFC 3339" } },
  { "stop without a place",
    N "[[stop]]\nname = \"s\"\nstarts = 2026-12-06T22:00:00Z\nends = 2026-12-06T23:00:00Z\n",
    { "f:2: stop: the place of the stop is not clear" } },
  { "stop with two places",
    N "[[stop]]\nname = \"s\"\ndata_centre = \"d\"\nservers = [\"x\"]\n"
      "starts = 2026-12-06T22:00:00Z\nends = 2026-12-06T23:00:00Z\n",
    { "f:2: stop: the place of the stop is not clear" } },
  { "removal with content",
    N "[[budget]]\nname = \"b\"\nremove = true\nlimit = 5\n",
    { "f:5: budget.limit: not allowed beside remove" } },
  { "host name of a server",
    N POOL SERVER ("x", "engine:80"),
    { "f:7: pool.server.address: not an IP number with port" } },
  { "duplicate server",
    N POOL SERVER ("x", "127.0.0.1:1") SERVER ("x", "127.0.0.1:2"),
    { "f:10: pool.server: duplicate name \"x\" (first in line 5)" } },
  { "two servers at one address",
    N POOL SERVER ("x", "127.0.0.1:1") SERVER ("y", "127.0.0.1:1"),
    { "f:10: pool.server.address: same address as server \"x\"" } },
  { "calls of a model pool", N POOL CALL, { "f:5: pool.kind: \"call\" has no use here" } },
  { "call twice", N SERVICE CALL CALL, { "f:10: pool.call: same call as in line 5" } },
  { "call of unknown effect",
    N SERVICE "[[pool.call]]\nmethod = \"POST\"\npath_prefix = \"/b\"\nprice = 5\n",
    { "f:5: pool.call.idempotent: missing, allowed: true or false" } },
  { "two pools with one model",
    N POOL "[[pool]]\nname = \"q\"\nkind = \"model\"\nmodel = \"p\"\n",
    { "f:5: pool.model: the same as of \"p\" in line 2" } },
  { "several at once",
    N "[[account]]\nname = \"\"\npriority = 10\n[[budget]]\nname = \"b\"\naccount = \"a\"\n",
    { "f:3: account.name: not a valid", "f:4: account.priority: out of range",
      "f:5: budget.limit: missing" } },
};

static void
check_error_row (const ErrorRow *row)
{
  Problems *p = problems_new (NULL, "f");
  size_t expected = 0;

  CU_ASSERT_PTR_NULL (ticket_parse (p, row->text, strlen (row->text), p));
  while (expected < 3 && row->errors[expected])
    expected++;
  if (p->n != expected)
    fprintf (stderr, "%s: got\n%s", row->name, problems_print (p, p));
  CU_ASSERT_EQUAL (p->n, expected);
  for (size_t i = 0; i < p->n && i < expected; i++)
    if (strncmp (p->list[i].text, row->errors[i], strlen (row->errors[i])) != 0)
      {
        fprintf (stderr, "%s: got %s\n", row->name, p->list[i].text);
        CU_FAIL ("wrong message");
      }
  talloc_free (p);
}

/* Guards against accepting an invalid ticket, which would be written to the store, and against errors
 * without the line. */
static void
every_kind_of_error_is_reported_with_its_line (void)
{
  for (size_t i = 0; i < sizeof ERRORS / sizeof ERRORS[0]; i++)
    check_error_row (&ERRORS[i]);
}

static Ticket *
parse (const void *ctx, const char *text)
{
  Problems *p = problems_new (ctx, "f");
  Ticket *t = ticket_parse (ctx, text, strlen (text), p);

  if (!t)
    fprintf (stderr, "%s", problems_print (p, p));
  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  return t;
}

/* Guards against a resubmitted ticket that is taken for a different one because its layout changed. */
static void
hash_does_not_depend_on_the_layout (void)
{
  void *ctx = talloc_new (NULL);
  Ticket *a = parse (ctx, N "[[account]]\nname = \"a\"\npriority = 5\n[[account]]\nname = \"b\"\n");
  Ticket *b = parse (ctx, "# text\nticket=7\naccount = [{ name = 'b' }, { name = 'a' }]\n");
  Ticket *c = parse (ctx, N "[[account]]\nname = \"a\"\npriority = 4\n[[account]]\nname = \"b\"\n");

  CU_ASSERT_STRING_EQUAL (a->hash, b->hash);
  CU_ASSERT_STRING_NOT_EQUAL (a->hash, c->hash);
  talloc_free (ctx);
}

/* Guards against a ticket with more objects than one transaction of the store can hold. */
static void
too_many_objects_are_rejected (void)
{
  Problems *p = problems_new (NULL, "f");
  char *text = talloc_strdup (p, N);

  for (int i = 0; i <= 90; i++)
    text = talloc_asprintf_append_buffer (text, "[[account]]\nname = \"a%d\"\n", i);
  CU_ASSERT_PTR_NULL (ticket_parse (p, text, strlen (text), p));
  CU_ASSERT_EQUAL_FATAL (p->n, 1);
  CU_ASSERT_STRING_EQUAL (
      p->list[0].text, "f:1: ticket: 91 objects, allowed: at most 90 objects; use several tickets");
  talloc_free (p);
}

static const char FULL[]
    = N "[[account]]\nname = \"a\"\nkeys = [\"" HASH_A "\"]\npriority = 3\n"
        "[[budget]]\nname = \"b1\"\naccount = \"a\"\nlimit = 10\n"
        "[[budget]]\nname = \"gone\"\nremove = true\n"
        "[[pool]]\nname = \"p\"\nkind = \"model\"\nmodel = \"m\"\n"
        "[[pool.server]]\nname = \"e1\"\naddress = \"127.0.0.1:1\"\ndata_centre = \"d\"\n"
        "region = \"r\"\nleaving = true\nmax_in_flight = 9\n"
        "[[pool]]\nname = \"s\"\nkind = \"service\"\n" CALL
        "[[pool.server]]\nname = \"e2\"\naddress = \"127.0.0.1:2\"\ndata_centre = \"d\"\n"
        "region = \"r\"\n"
        "[[stop]]\nname = \"n\"\nservers = [\"e2\"]\nstarts = 1970-01-02T01:00:00+01:00\n"
        "ends = 1970-01-02T00:00:01.5Z\n";

static TicketObjects *
make_objects (const void *ctx, const Ticket *t)
{
  TicketObjects *o = ticket_objects_new (ctx);

  for (size_t i = 0; i < t->n_objects; i++)
    {
      const char *value = t->objects[i].value;
      char *text = value ? talloc_asprintf (ctx, "{\"ticket\":7,\"value\":%s}", value)
                         : talloc_strdup (ctx, "{\"ticket\":7}");

      CU_ASSERT_TRUE (ticket_objects_set (o, t->objects[i].key, text, strlen (text)));
    }
  return o;
}

static void
check_routes (const Catalog *c)
{
  const CatalogRoute *route = catalog_match_route (c, "POST", "", "/v1/pools/s/bookings");

  CU_ASSERT (route && route->kind == CALL_NON_IDEMPOTENT && route->price == 5);
  CU_ASSERT_PTR_NULL (catalog_match_route (c, "GET", "", "/v1/pools/s/bookings"));
  CU_ASSERT_PTR_NULL (catalog_match_route (c, "POST", "", "/v1/pools/other/bookings"));
}

/* Guards against a key of the ticket file that has no effect on the configuration. */
static void
every_field_is_applied_to_the_configuration (void)
{
  void *ctx = talloc_new (NULL);
  const Catalog *c = ticket_objects_build_catalog (make_objects (ctx, parse (ctx, FULL)), 4);
  const CatalogAccount *a = catalog_find_account (c, "a");
  const CatalogService *m = catalog_find_service_by_model (c, "m");
  const CatalogService *s = catalog_find_service (c, "s");

  CU_ASSERT_EQUAL (catalog_version (c), 4);
  CU_ASSERT (a && a->has_budget && a->budget == 10 && a->priority == 6);
  CU_ASSERT (m && m->is_engine && !strcmp (m->name, "p"));
  CU_ASSERT (s && !s->is_engine && !s->model);
  check_routes (c);
  catalog_unref (c);
  talloc_free (ctx);
}

typedef struct
{
  int servers;
  int draining;
} ServerCount;

static void
count_server (void *data, const ServerRecord *record)
{
  ServerCount *count = data;

  count->servers++;
  count->draining += record->draining;
  CU_ASSERT_STRING_EQUAL (record->data_centre, "d");
}

/* Guards against sending new requests to servers that are about to stop: a planned stop drains its
 * servers from one minute before its start until its end. */
static void
planned_stops_drain_servers (void)
{
  static const struct
  {
    int64_t wall_ms;
    int draining;
  } ROWS[]
      = { { 86300000, 1 }, { 86345000, 2 }, { 86400000, 2 }, { 86401499, 2 }, { 86401500, 1 } };
  void *ctx = talloc_new (NULL);
  TicketObjects *o = make_objects (ctx, parse (ctx, FULL));

  for (size_t i = 0; i < sizeof ROWS / sizeof ROWS[0]; i++)
    {
      ServerCount count = { 0 };

      ticket_objects_each_server (o, ROWS[i].wall_ms, count_server, &count);
      CU_ASSERT_EQUAL (count.servers, 2);
      CU_ASSERT_EQUAL (count.draining, ROWS[i].draining);
    }
  talloc_free (ctx);
}

/* Guards against a malformed row that removes an object from the current configuration, or its head (how
 * many tickets were accepted, and the number of the last one). */
static void
malformed_rows_are_ignored (void)
{
  void *ctx = talloc_new (NULL);
  TicketObjects *o = make_objects (ctx, parse (ctx, FULL));
  TicketHead head = { 3, 7 };

  CU_ASSERT_FALSE (ticket_objects_set (o, "object/account/a", "{\"value\":", 9));
  CU_ASSERT_PTR_NOT_NULL (ticket_objects_value (o, "account", "a"));
  CU_ASSERT_EQUAL (ticket_objects_last_ticket (o, "object/account/a"), 7);
  CU_ASSERT_FALSE (ticket_head_parse ("{}", 2, &head));
  CU_ASSERT (head.seq == 3 && head.ticket == 7);
  talloc_free (ctx);
}

/* --- Submission -------------------------------------------------------------------------- */

typedef struct
{
  VirtualTimers *vt;
  FakeStoreClient *client;
  Rng rng;
  bool finished;
  SubmitStatus status;
  int64_t seq;
} Submitter;

static void
on_submitted (void *data, const SubmitResult *result)
{
  Submitter *s = data;

  s->finished = true;
  s->status = result->status;
  s->seq = result->seq;
}

static void
submit (Submitter *s, const char *text)
{
  void *ctx = talloc_new (NULL);
  SubmitOptions options = { &s->client->store, virtual_timers_service (s->vt), &s->rng };

  s->finished = false;
  ticket_submit (ctx, &options, parse (ctx, text), on_submitted, s);
  virtual_timers_run (s->vt, timers_now_ms (options.timers) + 60000);
  CU_ASSERT_TRUE (s->finished);
  talloc_free (ctx);
}

/* Guards against the sequence number of another ticket, when a ticket is submitted once more, or its acceptance is found by
 * reading the rows because the reply was lost. */
static void
a_ticket_that_was_accepted_keeps_its_sequence_number (void)
{
  static const char FIRST[] = "ticket = 7\n[[account]]\nname = \"a\"\n";
  static const char SECOND[] = "ticket = 8\n[[account]]\nname = \"b\"\n";
  Submitter s = { .vt = virtual_timers_new (NULL, 1000) };

  rng_seed (&s.rng, 1);
  s.client = fake_store_client_new (fake_store_new (s.vt, virtual_timers_service (s.vt), &s.rng));
  submit (&s, FIRST);
  CU_ASSERT (s.status == SUBMIT_ACCEPTED && s.seq == 1);
  submit (&s, SECOND);
  CU_ASSERT (s.status == SUBMIT_ACCEPTED && s.seq == 2);
  submit (&s, FIRST);
  CU_ASSERT_EQUAL (s.status, SUBMIT_ALREADY_ACCEPTED);
  CU_ASSERT_EQUAL (s.seq, 1);
  talloc_free (s.vt);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "every_kind_of_error_is_reported_with_its_line",
      every_kind_of_error_is_reported_with_its_line },
    { "hash_does_not_depend_on_the_layout", hash_does_not_depend_on_the_layout },
    { "too_many_objects_are_rejected", too_many_objects_are_rejected },
    { "every_field_is_applied_to_the_configuration", every_field_is_applied_to_the_configuration },
    { "planned_stops_drain_servers", planned_stops_drain_servers },
    { "malformed_rows_are_ignored", malformed_rows_are_ignored },
    { "a_ticket_that_was_accepted_keeps_its_sequence_number",
      a_ticket_that_was_accepted_keeps_its_sequence_number },
  };

  return harness_run ("ticket", CASES, sizeof CASES / sizeof CASES[0]);
}
