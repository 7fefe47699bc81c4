#include "relay/relay_impl.h"

#include <inttypes.h>
#include <stdio.h>

#include <talloc.h>

#include "core/counter.h"
#include "core/log.h"

/* The store is asked again at once by the next attempt of the client. */
#define NOT_READ_RETRY_AFTER_MS 300

/* Of the time that a client has given its stream: it may take it up as long as that, and a little longer on its way. */
#define OPEN_SLACK_MS 2000

static bool
tracks_versions (const Relay *r)
{
  return r->deps->streams && r->request->kind == CALL_STREAM && r->request->resumable;
}

/* @return whether the client takes up a stream that another request of it has begun. */
static bool
is_take_up (const RelayRequest *q)
{
  return q->resumes || (q->last_event_id && q->last_event_id[0]);
}

static StreamKey
key_of (const RelayRequest *q, const char *id)
{
  return stream_key (q->account, q->service->name, id);
}

/* --- Streams that begin ------------------------------------------------------------------ */

/* The key by which the stream is taken up, if it is broken off. */
static StreamKey
own_key (const RelayRequest *q)
{
  return key_of (q, q->resumes ? q->resumes : q->id);
}

const ServerVersions *
relay_allowed_versions (Relay *r, ServerVersions *versions)
{
  const RelayRequest *q = r->request;

  if (!tracks_versions (r) || relay_required_version (r))
    return NULL;
  /* Other hosts may have read the version that the last attempt was sent to. */
  if (r->sends > 0 && r->recorded_version[0] && !streams_withdraw (r->deps->streams, own_key (q)))
    {
      relay_require_version (r, r->recorded_version);
      return NULL;
    }
  streams_allowed (r->deps->streams, q->service->name, versions, timers_now_ms (r->deps->timers));
  return versions;
}

void
relay_record_version (Relay *r, const Assignment *assignment)
{
  const RelayRequest *q = r->request;
  AssignmentServer server;
  int64_t now = timers_now_ms (r->deps->timers);
  StreamBegin begin;

  if (!tracks_versions (r))
    return;
  server = assignment_server_state (assignment);
  begin = (StreamBegin){ .key = own_key (q),
                         .server = server.instance.id,
                         .version = server.version,
                         .until_ms = r->received_ms + q->client_timeout_ms + OPEN_SLACK_MS };
  snprintf (r->recorded_version, sizeof r->recorded_version, "%s", server.version);
  if (!streams_begin (r->deps->streams, &begin, now))
    log_event (LOG_LEVEL_WARNING, "relay", "version_not_recorded", "id=%s", q->id);
}

void
relay_doubt_version (Relay *r)
{
  r->binding = BINDING_UNKNOWN;
  if (tracks_versions (r))
    streams_doubt (r->deps->streams, own_key (r->request));
}

/* --- Streams that are taken up ----------------------------------------------------------- */

static void
count_take_up (const StreamAnswer *answer)
{
  char labels[64];

  snprintf (labels, sizeof labels, "outcome=\"%s\",source=\"%s\"",
            stream_outcome_name (answer->outcome), stream_source_name (answer->source));
  counter_add (counter_get ("pond_streams_taken_up_total", labels,
                            "Streams that clients took up, by what is known of their version."),
               1);
}

static void
refuse_take_up (Relay *r, StreamOutcome outcome)
{
  Err err = ERR_INIT;

  if (outcome == STREAM_NOT_READ)
    {
      err_set (&err, ERR_PLATFORM_UNAVAILABLE,
               "the version that began the stream can't be read from the store now");
      err.retry_after_ms = NOT_READ_RETRY_AFTER_MS;
    }
  else
    err_set (&err, ERR_VERSION_UNKNOWN,
             "the version that began the stream is not known: begin anew without Last-Event-Id");
  relay_finish_error (r, &err);
}

static void
on_version_known (Relay *r, const StreamAnswer *answer)
{
  char id[64];
  char version[SERVER_VERSION_BYTES];

  count_take_up (answer);
  log_event (LOG_LEVEL_INFO, "relay", "stream_taken_up",
             "id=%s resumes=%s outcome=%s source=%s version=%s waited_ms=%" PRId64, r->request->id,
             log_word (id, sizeof id, r->request->resumes), stream_outcome_name (answer->outcome),
             stream_source_name (answer->source),
             log_word (version, sizeof version, answer->version),
             timers_now_ms (r->deps->timers) - r->received_ms);
  if (answer->outcome != STREAM_KNOWN)
    {
      refuse_take_up (r, answer->outcome);
      return;
    }
  relay_require_version (r, answer->version);
  relay_reserve_budget (r);
}

static void
on_answer (void *data, const StreamAnswer *answer)
{
  Relay *r = data;

  TALLOC_FREE (r->lookup);
  on_version_known (r, answer);
}

void
relay_find_version (Relay *r)
{
  const RelayRequest *q = r->request;
  StreamQuery query
      = { .service = q->service->name, .executor = r->deps->executor, .fn = on_answer, .data = r };
  StreamAnswer answer;

  if (!tracks_versions (r) || !is_take_up (q))
    {
      relay_reserve_budget (r);
      return;
    }
  query.key = key_of (q, q->resumes);
  r->lookup = streams_look_up (r->deps->streams, r, &query, &answer);
  if (!r->lookup)
    on_version_known (r, &answer);
}
