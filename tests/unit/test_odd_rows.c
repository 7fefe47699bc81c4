/* Rows that another program has written among those of the servers, the hosts and the operator. */
#include <stdio.h>
#include <string.h>

#include <talloc.h>
#include <tevent.h>

#include "canned_server.h"
#include "harness.h"
#include "platform/platform_store.h"

#define TIMEOUT_MS 20000

/* --- Replies of the store ---------------------------------------------------------------- */

typedef struct
{
  bool finished;
  StoreResult result;
  bool has_more;
  char names[256]; /* of the rows, each followed by a blank */
} ReadRows;

static void
on_rows (void *data, const StoreReply *reply)
{
  ReadRows *r = data;

  r->finished = true;
  r->result = reply->result;
  r->has_more = reply->has_more;
  for (size_t i = 0; i < reply->n_rows; i++)
    {
      size_t len = strlen (r->names);

      snprintf (r->names + len, sizeof r->names - len, "%s ", reply->rows[i].key.name);
    }
}

/* Reads a page of a table from a server that replies with @p body. */
static ReadRows
read_rows (const char *body)
{
  void *ctx = talloc_new (NULL);
  Loop *loop = loop_new (ctx);
  CannedServer server;
  char *response = talloc_asprintf (ctx, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                                    strlen (body), body);
  PlatformStoreOptions options = { .client = http_client_new (ctx, loop),
                                   .address = canned_server_start (ctx, &server, response),
                                   .call_timeout_ms = 5000 };
  StoreRange range = { .table = "servers", .partition = "", .limit = 500 };
  int64_t end_ms = timers_now_ms (loop_timers (loop)) + TIMEOUT_MS;
  ReadRows rows = { 0 };

  store_range (platform_store_new (ctx, &options), ctx, &range, on_rows, &rows);
  while (!rows.finished && timers_now_ms (loop_timers (loop)) < end_ms)
    tevent_loop_once (loop_tevent (loop));
  CU_ASSERT_TRUE (rows.finished);
  talloc_free (ctx);
  canned_server_stop (&server);
  return rows;
}

/* Guards against hosts that follow no table any more because one of its rows has a key that they cannot use. */
static void
a_row_with_an_odd_key_does_not_stop_the_others (void)
{
  static const char *const ODD[] = {
    "{\"table\":\"servers\",\"part\":\"\",\"key\":\"\",\"value\":\"e30=\",\"version_number\":3}",
    "{\"table\":\"servers\",\"part\":\"\",\"value\":\"e30=\",\"version_number\":3}",
    "{\"table\":\"servers\",\"part\":\"\",\"key\":7,\"value\":\"e30=\",\"version_number\":3}",
    "{\"table\":\"servers\",\"part\":\"\",\"key\":\"a\\u0000b\",\"value\":\"e30=\"}",
    "{\"table\":\"servers\",\"part\":\"x\\u0000y\",\"key\":\"c\",\"value\":\"e30=\"}",
    "[[[]]]",
    "null",
    "\"row\"",
  };

  for (size_t i = 0; i < sizeof ODD / sizeof ODD[0]; i++)
    {
      char *body = talloc_asprintf (
          NULL,
          "{\"rows\":[{\"table\":\"servers\",\"part\":\"\",\"key\":\"i-1\",\"value\":\"e30=\"},%s,"
          "{\"table\":\"servers\",\"part\":\"\",\"key\":\"i-2\",\"value\":\"e30=\"}],"
          "\"version_number\":9,\"current_time_ms\":5,\"has_more\":true}",
          ODD[i]);
      ReadRows rows = read_rows (body);

      CU_ASSERT_EQUAL (rows.result, STORE_DONE);
      CU_ASSERT_TRUE (rows.has_more);
      CU_ASSERT_STRING_EQUAL (rows.names, "i-1 i-2 ");
      talloc_free (body);
    }
}

/* Guards against a row without a usable value that keeps the rows after it from being read. */
static void
a_row_with_an_odd_value_does_not_stop_the_others (void)
{
  static const char *const VALUES[] = { "",
                                        ",\"value\":null",
                                        ",\"value\":7",
                                        ",\"value\":\"\"",
                                        ",\"value\":\"%%\"",
                                        ",\"value\":\"e30\"",
                                        ",\"value\":\"====\"",
                                        ",\"version_number\":\"7\"",
                                        ",\"value\":\"e30=\",\"version_number\":-1" };

  for (size_t i = 0; i < sizeof VALUES / sizeof VALUES[0]; i++)
    {
      char *body = talloc_asprintf (NULL,
                                    "{\"rows\":[{\"key\":\"odd\"%s},{\"key\":\"i-2\",\"value\":"
                                    "\"e30=\"}],\"version_number\":9}",
                                    VALUES[i]);
      ReadRows rows = read_rows (body);

      CU_ASSERT_EQUAL (rows.result, STORE_DONE);
      CU_ASSERT_STRING_EQUAL (rows.names, "odd i-2 ");
      talloc_free (body);
    }
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "a_row_with_an_odd_key_does_not_stop_the_others",
      a_row_with_an_odd_key_does_not_stop_the_others },
    { "a_row_with_an_odd_value_does_not_stop_the_others",
      a_row_with_an_odd_value_does_not_stop_the_others },
  };

  return harness_run ("odd_rows", CASES, sizeof CASES / sizeof CASES[0]);
}
