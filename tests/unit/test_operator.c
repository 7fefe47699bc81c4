/* The HTTP interface for operators, over the loopback interface. */
#include <string.h>

#include <talloc.h>

#include "operator/operator_server.h"
#include "core/counter.h"
#include "harness.h"
#include "http/client.h"

typedef struct
{
  bool ready;
  int drains;
  bool done;
  int status;
  char *body;
} OperatorFixture;

static bool
is_ready (void *data)
{
  return ((OperatorFixture *)data)->ready;
}

static char *
summary_json (void *data, const void *ctx)
{
  (void)data;
  return talloc_strdup (ctx, "{\"summary\":1}");
}

static char *
state_json (void *data, const void *ctx)
{
  (void)data;
  return talloc_strdup (ctx, "{\"host\":\"h\"}");
}

static void
start_drain (void *data)
{
  ((OperatorFixture *)data)->drains++;
}

static char *
budget_json (void *data, const void *ctx, const char *name)
{
  (void)data;
  return strcmp (name, "tubes") == 0 ? talloc_strdup (ctx, "{\"limit\":7}") : NULL;
}

static bool
on_body (void *data, HttpExchange *exchange, const char *bytes, size_t len)
{
  OperatorFixture *f = data;

  (void)exchange;
  f->body = talloc_strndup_append_buffer (f->body, bytes, len);
  return true;
}

static void
on_done (void *data, HttpExchange *exchange, HttpResult result)
{
  OperatorFixture *f = data;

  CU_ASSERT_EQUAL (result, HTTP_COMPLETE);
  f->status = http_exchange_status (exchange);
  f->done = true;
  talloc_free (exchange);
}

static const HttpEvents EVENTS = { NULL, on_body, on_done };

static void
fetch (OperatorFixture *f, Loop *loop, HttpClient *client, uint16_t port, const char *method,
       const char *path)
{
  char *url = talloc_asprintf (loop, "http://127.0.0.1:%u%s", port, path);
  HttpRequest request = { .method = method,
                          .url = url,
                          .connect_timeout_ms = 5000,
                          .timeout_ms = 20000,
                          .body = strcmp (method, "POST") == 0 ? "" : NULL };

  talloc_free (f->body);
  f->body = talloc_strdup (loop, "");
  f->done = false;
  CU_ASSERT_PTR_NOT_NULL_FATAL (http_client_start (client, loop, &request, &EVENTS, f));
  while (!f->done)
    tevent_loop_once (loop_tevent (loop));
}

typedef struct
{
  const char *method;
  const char *path;
  int status;
  const char *body_part;
} EndpointRow;

static const EndpointRow ENDPOINTS[] = {
  { "GET", "/healthz", 200, "true" },
  { "GET", "/readyz", 503, "false" },
  { "GET", "/v1/state", 200, "{\"host\":\"h\"}" },
  { "GET", "/v1/summary", 200, "{\"summary\":1}" },
  { "GET", "/v1/budgets/tubes", 200, "{\"limit\":7}" },
  { "GET", "/v1/budgets/none", 404, "unknown_budget" },
  { "GET", "/metrics", 200, "test_pages_total 3" },
  { "GET", "/none", 404, "unknown_path" },
  { "POST", "/v1/state", 404, "unknown_path" },
  { "POST", "/v1/drain", 202, "draining" },
};

/* Guards against an endpoint that is not served, and against a drain that is started by a GET
 * request. */
static void
operator_endpoints_respond (void)
{
  Loop *loop = loop_new (NULL);
  HttpClient *client = http_client_new (loop, loop);
  OperatorFixture f = { 0 };
  OperatorServerOptions options = { .listen = "127.0.0.1:0",
                                    .is_ready = is_ready,
                                    .state_json = state_json,
                                    .summary_json = summary_json,
                                    .start_drain = start_drain,
                                    .budget_json = budget_json,
                                    .data = &f };
  OperatorServer *server = operator_server_new (loop, loop, &options);

  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  counter_add (counter_get ("test_pages_total", "", "For this test."), 3);
  for (size_t i = 0; i < sizeof ENDPOINTS / sizeof ENDPOINTS[0]; i++)
    {
      fetch (&f, loop, client, operator_server_port (server), ENDPOINTS[i].method,
             ENDPOINTS[i].path);
      CU_ASSERT_EQUAL (f.status, ENDPOINTS[i].status);
      CU_ASSERT_PTR_NOT_NULL (strstr (f.body, ENDPOINTS[i].body_part));
    }
  CU_ASSERT_EQUAL (f.drains, 1);
  f.ready = true;
  fetch (&f, loop, client, operator_server_port (server), "GET", "/readyz");
  CU_ASSERT_EQUAL (f.status, 200);
  fetch (&f, loop, client, operator_server_port (server), "GET", "/v1/drain");
  CU_ASSERT_EQUAL (f.drains, 1);
  TALLOC_FREE (server);
  TALLOC_FREE (client);
  talloc_free (loop);
}

int
main (void)
{
  static const TestCase CASES[] = { { "operator_endpoints_respond", operator_endpoints_respond } };

  return harness_run ("api_operator", CASES, sizeof CASES / sizeof CASES[0]);
}
