/* Forms of requests that two readers can understand in two ways, and those beside them that are sound: which of them the HTTP server
 * reports, and that nothing of a rejected one is read as another request. The section of RFC 9112, or of RFC 9110 where stated,
 * stands with each form. Over the loopback interface. */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <talloc.h>

#include "harness.h"
#include "http/server.h"

#define WAIT_LIMIT_MS 5000

typedef struct
{
  const char *name;
  const char *bytes;
  size_t len;
} Form;

#define FORM(name, text)                                                                           \
  {                                                                                                \
    (name), (text), sizeof (text) - 1                                                              \
  }
#define GET(lines)        "GET / HTTP/1.1\r\nHost: a\r\n" lines "\r\n"
#define POST(lines, body) "POST / HTTP/1.1\r\nHost: a\r\n" lines "\r\n" body
/* What a form hides behind itself. */
#define HIDDEN            "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"

static const Form REJECTED[] = {
  FORM ("blank before the colon (5.1)",
        POST ("Transfer-Encoding : chunked\r\n", "0\r\n\r\n" HIDDEN)),
  FORM ("tab before the colon (5.1)",
        POST ("Transfer-Encoding\t: chunked\r\n", "0\r\n\r\n" HIDDEN)),
  FORM ("name with a control byte (9110 5.6.2)", GET ("X\x01Y: b\r\n")),
  FORM ("name with a slash (9110 5.6.2)", GET ("X/Y: b\r\n")),
  FORM ("name with a quote (9110 5.6.2)", GET ("\"X\": b\r\n")),
  FORM ("empty name (5)", GET (": b\r\n")),
  FORM ("no colon (5)", GET ("X-Line\r\n")),
  FORM ("bare CR in a value (2.2)", GET ("X: a\rY: b\r\n")),
  FORM ("NUL in a value (9110 5.5)", GET ("X: a\0b\r\n")),
  FORM ("control byte in a value (9110 5.5)", GET ("X: a\x02z\r\n")),
  FORM ("folded line, blank (5.2)", POST ("X: a\r\n Transfer-Encoding: chunked\r\n", "")),
  FORM ("folded line, tab (5.2)", GET ("X: a\r\n\tb\r\n")),
  FORM ("folded line behind an empty value (5.2)", GET ("X:\r\n b\r\n")),
  FORM ("blank before the first line (2.2)", "GET / HTTP/1.1\r\n Host: a\r\n\r\n"),
  FORM ("length with a sign (9110 8.6)", POST ("Content-Length: +3\r\n", "abc")),
  FORM ("negative length (9110 8.6)", POST ("Content-Length: -3\r\n", "abc")),
  FORM ("hexadecimal length (9110 8.6)", POST ("Content-Length: 0x3\r\n", "abc")),
  FORM ("list of lengths (9110 8.6)", POST ("Content-Length: 3, 3\r\n", "abc")),
  FORM ("length with a blank inside (9110 8.6)", POST ("Content-Length: 3 3\r\n", "abc")),
  FORM ("empty length (9110 8.6)", POST ("Content-Length:\r\n", HIDDEN)),
  /* Section 5 allows it; the library does not, and no client sends it. */
  FORM ("tab behind a length", POST ("Content-Length: 3 \t\r\n", "abc")),
  FORM ("length of 20 digits (9110 8.6)", POST ("Content-Length: 99999999999999999999\r\n", "abc")),
  FORM ("two lengths (6.3)", POST ("Content-Length: 3\r\nContent-Length: 3\r\n", "abc")),
  FORM ("length and chunks (6.1)",
        POST ("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" HIDDEN)),
  FORM ("chunks and length (6.1)",
        POST ("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n" HIDDEN)),
  FORM ("two codings (6.1)",
        POST ("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n" HIDDEN)),
  FORM ("unknown coding (6.1)", POST ("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n" HIDDEN)),
  FORM ("list of codings (6.1)", POST ("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n" HIDDEN)),
  FORM ("chunked twice (6.1)",
        POST ("Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n" HIDDEN)),
  FORM ("chunked, then another (6.1)",
        POST ("Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n" HIDDEN)),
  FORM ("empty coding (6.1)", POST ("Transfer-Encoding:\r\n", "0\r\n\r\n" HIDDEN)),
  FORM ("chunks in HTTP/1.0 (6.1)",
        "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" HIDDEN),
  FORM ("chunk size with a sign (7.1)",
        POST ("Transfer-Encoding: chunked\r\n", "+0\r\n\r\n" HIDDEN)),
  FORM ("chunk size with 0x (7.1)", POST ("Transfer-Encoding: chunked\r\n", "0x0\r\n\r\n" HIDDEN)),
  FORM ("chunk longer than stated (7.1)",
        POST ("Transfer-Encoding: chunked\r\n", "1\r\nabc\r\n0\r\n\r\n" HIDDEN)),
  FORM ("no Host (3.2)", "GET / HTTP/1.1\r\nX: b\r\n\r\n"),
  FORM ("two Hosts (3.2)", GET ("Host: b\r\n")),
  FORM ("absolute target of another host (3.2.2)", "GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n"),
  FORM ("target with a blank (3)", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n"),
  FORM ("target with a control byte (3)", "GET /a\x01 HTTP/1.1\r\nHost: a\r\n\r\n"),
  FORM ("version 2.0 in this form (2.3)", "GET / HTTP/2.0\r\nHost: a\r\n\r\n"),
  FORM ("version 0.9 (2.3)", "GET /\r\n\r\n" HIDDEN),
  FORM ("no HTTP", "hello\r\n\r\n" HIDDEN),
};

static const Form SOUND[] = {
  FORM ("no body", GET ("")),
  FORM ("blanks around a value (5)", GET ("X:  \t b \t \r\n")),
  FORM ("no blank before a value (5)", GET ("X:b\r\n")),
  FORM ("empty value (5)", GET ("X:\r\n")),
  FORM ("bytes above 127 in a value (9110 5.5)", GET ("X: \xc3\xa6\r\n")),
  FORM ("all signs of a token (9110 5.6.2)", GET ("!#$%&'*+-.^_`|~09azAZ: b\r\n")),
  FORM ("empty line before the request (2.2)", "\r\n" GET ("")),
  FORM ("length", POST ("Content-Length: 3\r\n", "abc")),
  FORM ("length with zeros before it (9110 8.6)", POST ("Content-Length: 0003\r\n", "abc")),
  FORM ("blanks behind a length (5)", POST ("Content-Length: 3  \r\n", "abc")),
  FORM ("chunks", POST ("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n")),
  FORM ("chunks in capitals (7)", POST ("TRANSFER-ENCODING: CHUNKED\r\n", "3\r\nabc\r\n0\r\n\r\n")),
  FORM ("chunk extension (7.1.1)",
        POST ("Transfer-Encoding: chunked\r\n", "3;x=y\r\nabc\r\n0\r\n\r\n")),
  FORM ("trailer (7.1.2)",
        POST ("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\nX-T: v\r\n\r\n")),
};

typedef struct
{
  Loop *loop;
  HttpServer *server;
  int fd;
  int n_sound;
  int n_faults;
  bool is_hidden; /* a request was read out of another one */
  char received[8192];
  size_t n_received;
  bool closed;
} FramingFixture;

static void
on_request (void *data, HttpCall *call, HttpFault fault)
{
  FramingFixture *f = data;

  f->n_sound += !fault;
  f->n_faults += fault != HTTP_FAULT_NONE;
  f->is_hidden |= !strcmp (http_call_target (call), "/hidden");
  http_call_respond (call, fault ? 400 : 200, NULL, 0, "ok", 2);
}

static void
ignore_call (void *data, HttpCall *call)
{
  (void)data, (void)call;
}

static const HttpServerEvents EVENTS = { on_request, ignore_call, ignore_call, ignore_call };

static void
fixture_start (FramingFixture *f)
{
  HttpServerOptions options = { .listen = "127.0.0.1:0",
                                .max_body_bytes = 1000,
                                .max_header_bytes = 4096,
                                .read_timeout_ms = 30000,
                                .max_connections = 8,
                                .events = &EVENTS,
                                .data = f };
  struct sockaddr_in address = { .sin_family = AF_INET };

  *f = (FramingFixture){ .loop = loop_new (NULL) };
  f->server = http_server_new (f->loop, f->loop, &options);
  CU_ASSERT_PTR_NOT_NULL_FATAL (f->server);
  address.sin_port = htons (http_server_port (f->server));
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  f->fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (connect (f->fd, (struct sockaddr *)&address, sizeof address), 0);
}

static void
fixture_stop (FramingFixture *f)
{
  close (f->fd);
  TALLOC_FREE (f->server);
  talloc_free (f->loop);
}

static void
on_wake (void *data)
{
  *(bool *)data = true;
}

static void
run_loop_for (FramingFixture *f, int64_t ms)
{
  bool over = false;

  timers_start (loop_timers (f->loop), f->loop, ms, on_wake, &over);
  while (!over)
    tevent_loop_once (loop_tevent (f->loop));
}

static void
receive (FramingFixture *f)
{
  ssize_t n = recv (f->fd, f->received + f->n_received, sizeof f->received - 1 - f->n_received,
                    MSG_DONTWAIT);

  if (n > 0)
    f->n_received += (size_t)n;
  else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
    f->closed = true;
}

/* Sends a form, whole or in two pieces, and waits for the answer. */
static void
play (FramingFixture *f, const Form *form, size_t split)
{
  if (split > 0)
    {
      CU_ASSERT_EQUAL (send (f->fd, form->bytes, split, MSG_NOSIGNAL), (ssize_t)split);
      run_loop_for (f, 1);
    }
  /* A rejected form may have been answered before its second piece. */
  (void)!send (f->fd, form->bytes + split, form->len - split, MSG_NOSIGNAL);
  for (int64_t ms = 0; ms < WAIT_LIMIT_MS && f->n_received == 0 && !f->closed; ms++)
    {
      run_loop_for (f, 1);
      receive (f);
    }
}

static void
check_rejected (const Form *form, size_t split)
{
  FramingFixture f;
  bool ok;

  fixture_start (&f);
  play (&f, form, split);
  for (int ms = 0; ms < 50 && !f.closed; ms++)
    {
      run_loop_for (&f, 1);
      receive (&f);
    }
  ok = f.n_sound == 0 && f.n_faults == 1 && !f.is_hidden && f.closed
       && !strncmp (f.received, "HTTP/1.1 400", strlen ("HTTP/1.1 400"));
  if (!ok)
    printf ("%s, split %zu: %d sound, %d faults, closed %d, got %.12s\n", form->name, split,
            f.n_sound, f.n_faults, f.closed, f.received);
  CU_ASSERT_TRUE (ok);
  fixture_stop (&f);
}

static void
check_sound (const Form *form, size_t split)
{
  FramingFixture f;
  bool ok;

  fixture_start (&f);
  play (&f, form, split);
  ok = f.n_sound == 1 && f.n_faults == 0 && !f.closed
       && !strncmp (f.received, "HTTP/1.1 200", strlen ("HTTP/1.1 200"));
  if (!ok)
    printf ("%s, split %zu: %d sound, %d faults, closed %d, got %.12s\n", form->name, split,
            f.n_sound, f.n_faults, f.closed, f.received);
  CU_ASSERT_TRUE (ok);
  fixture_stop (&f);
}

/* Guards against a request that is hidden in another one: readers disagree where the one ends. */
static void
ambiguous_forms_are_rejected (void)
{
  for (size_t i = 0; i < sizeof REJECTED / sizeof REJECTED[0]; i++)
    check_rejected (&REJECTED[i], 0);
}

/* The pieces in which a form comes must not matter. */
static void
ambiguous_forms_in_two_pieces_are_rejected (void)
{
  for (size_t i = 0; i < sizeof REJECTED / sizeof REJECTED[0]; i++)
    for (size_t split = 1; split < REJECTED[i].len; split += 3)
      check_rejected (&REJECTED[i], split);
}

static void
sound_forms_are_served (void)
{
  for (size_t i = 0; i < sizeof SOUND / sizeof SOUND[0]; i++)
    for (size_t split = 0; split < SOUND[i].len; split += 2)
      check_sound (&SOUND[i], split);
}

static const TestCase CASES[] = {
  { "ambiguous_forms_are_rejected", ambiguous_forms_are_rejected },
  { "ambiguous_forms_in_two_pieces_are_rejected", ambiguous_forms_in_two_pieces_are_rejected },
  { "sound_forms_are_served", sound_forms_are_served },
};

int
main (void)
{
  return harness_run ("framing", CASES, sizeof CASES / sizeof CASES[0]);
}
