/* Whether a response is whole that has neither a length nor chunks, and ends with its connection. The connection of a server
 * whose process ends is closed in order too, so its end proves nothing: the server is asked on a new connection whether it
 * still runs, while the last of the response is held back. */
#include "relay/relay_impl.h"

#include <inttypes.h>
#include <string.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/log.h"
#include "relay/extra_answer.h"
#include "relay/relay_counters.h"

/* The ports of a process that ends are closed at once or a moment after its connections, and what waits there is reset. A
 * connection that is open for longer is one of a server that runs, and is too busy to answer. */
#define ANSWER_LIMIT_MS 300

/* After a question without a result: the connection could not be opened in time, or was reset. */
#define ASK_AGAIN_MS 50

/* Longer than servers are unreachable for new connections while the open ones go on (2 s in the sites' days). */
#define ASK_LIMIT_MS 3000

typedef enum
{
  SERVER_UNKNOWN,
  SERVER_ANSWERS,
  SERVER_HOLDS_CONNECTION, /* and has not answered in time */
  SERVER_REFUSES,          /* no process listens at its address */
  SERVER_REPLACED          /* another one answers at its address */
} ServerFinding;

static const char *const FINDING_NAMES[] = { [SERVER_UNKNOWN] = "unknown",
                                             [SERVER_ANSWERS] = "answers",
                                             [SERVER_HOLDS_CONNECTION] = "holds_connection",
                                             [SERVER_REFUSES] = "refuses",
                                             [SERVER_REPLACED] = "replaced" };

struct EndCheck
{
  Relay *relay;
  Attempt *attempt;
  BackendCall *call; /* NULL: between two questions */
  Timer *again;
  int64_t started_ms;
  ServerFinding finding;
};

static void ask (EndCheck *c);

bool
relay_has_provable_end (const Attempt *a)
{
  return a->end_seen || a->end_proved || a->has_framed_end;
}

static int
check_destroy (EndCheck *c)
{
  if (c->call)
    backend_cancel (c->call);
  return 0;
}

/* Ends the request, or its attempt. */
static void
conclude (EndCheck *c)
{
  Relay *r = c->relay;
  Attempt *a = c->attempt;
  ServerFinding finding = c->finding;
  bool is_whole = finding == SERVER_ANSWERS || finding == SERVER_HOLDS_CONNECTION;

  counter_add (is_whole ? relay_counters ()->ends_confirmed : relay_counters ()->ends_unproved, 1);
  log_event (is_whole ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO, "relay", "end_checked",
             "id=%s server=%s finding=%s waited_ms=%" PRId64, r->request->id, r->server,
             FINDING_NAMES[finding], timers_now_ms (r->deps->timers) - c->started_ms);
  TALLOC_FREE (a->end_check);
  a->end_proved = finding == SERVER_ANSWERS;
  if (is_whole)
    {
      relay_finish_complete (r, a);
      return;
    }
  if (finding == SERVER_REFUSES)
    relay_report_refused (r, a);
  relay_fail_unproved (r, a);
}

static void
on_again (void *data)
{
  EndCheck *c = data;

  c->again = NULL;
  ask (c);
}

static void
ask_again_or_conclude (EndCheck *c)
{
  Timers *timers = c->relay->deps->timers;

  if (c->finding != SERVER_UNKNOWN || timers_now_ms (timers) - c->started_ms >= ASK_LIMIT_MS)
    conclude (c);
  else
    c->again = timers_start (timers, c, ASK_AGAIN_MS, on_again, c);
}

/* Any answer shows that the server runs, also a refusal; it may bear no id if the server did not get as far. */
static bool
on_headers (void *data, BackendCall *call, int status)
{
  EndCheck *c = data;
  Dialect *dialect = c->relay->deps->dialect;
  const char *id = dialect->ops->decode_server_id (dialect, call);

  (void)status;
  c->finding = !id || !strcmp (id, c->relay->server) ? SERVER_ANSWERS : SERVER_REPLACED;
  return false;
}

static BackendFlow
on_body (void *data, const char *bytes, size_t len)
{
  (void)data, (void)bytes, (void)len;
  return BACKEND_ABORT;
}

static void
on_end (void *data)
{
  EndCheck *c = data;

  c->call = NULL;
  ask_again_or_conclude (c);
}

static void
on_failed (void *data, FailurePoint point, bool timed_out)
{
  EndCheck *c = data;
  bool is_direct = backend_is_direct (c->call);

  c->call = NULL;
  if (c->finding == SERVER_UNKNOWN && point == FAIL_NO_RESPONSE && timed_out)
    c->finding = SERVER_HOLDS_CONNECTION;
  else if (c->finding == SERVER_UNKNOWN && point == FAIL_CONNECT && !timed_out && is_direct)
    c->finding = SERVER_REFUSES;
  ask_again_or_conclude (c);
}

static const BackendEvents EVENTS = { on_headers, on_body, on_end, on_failed };

static void
ask (EndCheck *c)
{
  Relay *r = c->relay;
  BackendRequest request = { .address = assignment_address (c->attempt->assignment),
                             .method = "GET",
                             .target = r->request->service->health_path,
                             .timeout_ms = ANSWER_LIMIT_MS,
                             .own_connection = true };

  c->call = backend_start (r->deps->backend, &request, &EVENTS, c);
  if (!c->call)
    ask_again_or_conclude (c);
}

static void
note_extra_answer (const Relay *r, ExtraAnswer found)
{
  counter_add (relay_counters ()->extra_answers, 1);
  log_event (LOG_LEVEL_NOTICE, "relay", "answered_twice", "id=%s server=%s whole_head=%d",
             r->request->id, r->server, found == EXTRA_ANSWER_FOUND);
}

bool
relay_cut_extra_answer (const Relay *r, Attempt *a)
{
  const char *name = r->deps->dialect->ops->answer_id_header;
  ExtraAnswer found;
  size_t at = 0;

  if (!name || a->body_len == 0)
    return true;
  found = extra_answer_find (a->body, a->body_len, name, &at);
  if (found == EXTRA_ANSWER_NONE)
    return true;
  note_extra_answer (r, found);
  a->body_len = at;
  a->end_proved = found == EXTRA_ANSWER_FOUND;
  return a->end_proved;
}

bool
relay_is_extra_answer (const Relay *r, Attempt *a, const char *event, size_t len)
{
  const char *name = r->deps->dialect->ops->answer_id_header;
  ExtraAnswer found;
  size_t at = 0;

  if (!name || relay_has_provable_end (a))
    return false;
  found = extra_answer_find (event, len, name, &at);
  if (found == EXTRA_ANSWER_NONE)
    return false;
  note_extra_answer (r, found);
  a->answered_twice = found == EXTRA_ANSWER_FOUND && at == 0 && r->events > 0;
  return true;
}

void
relay_check_end (Relay *r, Attempt *a)
{
  EndCheck *c;

  relay_count_run (r, a);
  a->headers = relay_headers_to_forward (a, r, a->call, &a->n_headers);
  a->call = NULL;
  c = talloc_zero (a, EndCheck);
  c->relay = r;
  c->attempt = a;
  c->started_ms = timers_now_ms (r->deps->timers);
  talloc_set_destructor (c, check_destroy);
  a->end_check = c;
  if (r->request->service->health_path)
    ask (c);
  else
    conclude (c);
}
