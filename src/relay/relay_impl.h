/* Internals of the relay: relay.c (budget, deadline, client), relay_attempt.c (server selection, backend
 * events, retries), relay_refusal.c (refusals of servers), relay_body.c (bodies that are read whole), relay_stream.c (stream events), relay_version.c (which version a stream is bound to), relay_resume.c (streams that are taken up), relay_cut.c (exchanges that were cut off), relay_end.c (responses that end with their connection), relay_overload.c (admission when there is too little room), relay_finish.c (final response, settlement, log). */
#pragma once

#include "relay/charge.h"
#include "relay/event_id.h"
#include "relay/relay.h"
#include "relay/retry_policy.h"
#include "relay/sse.h"

/* Including the terminating NUL. Servers' ids are keys of the store, which have 200 bytes at most. */
#define SERVER_ID_BYTES 201

typedef enum
{
  RELAY_RESERVING, /* waits for the version of its stream or the budget reservation */
  RELAY_SENT,      /* an attempt was started */
  RELAY_FINISHED
} RelayState;

/* What two versions of a server's software write doesn't fit together, so that the events of a stream must come from
 * servers of one version. */
typedef enum
{
  BINDING_NONE,    /* any version may be asked: no event was forwarded */
  BINDING_VERSION, /* only Relay.bound_version */
  BINDING_UNKNOWN /* none: the records of servers do not tell what wrote the events that were forwarded */
} VersionBinding;

typedef enum
{
  RESPONSE_VALID,
  RESPONSE_MISMATCHED, /* belongs to another request */
  RESPONSE_INVALID,    /* not from a backend server, malformed, or too large */
  RESPONSE_NOT_RUN,    /* the server states that it did not run the request */
  RESPONSE_MISDIRECTED /* another server has this address now */
} ResponseCheck;

/* The question whether a response is whole; relay_end.c. */
typedef struct EndCheck EndCheck;

typedef struct
{
  Relay *relay;
  int number;           /* 1 for the first attempt of the request */
  BackendCall *call;    /* NULL once the exchange has ended */
  bool indirect;        /* over another host */
  bool run_counted;     /* in Relay.runs */
  EndCheck *end_check;  /* NULL: none is under way */
  bool end_proved;      /* the server was found running after the end of the response */
  RelayHeader *headers; /* to forward, once the exchange has ended; NULL before */
  size_t n_headers;
  Assignment *assignment;
  int64_t started_ms;
  RelayResponseHead head;
  ResponseCheck check;
  bool streaming;
  bool has_framed_end;    /* backend_has_framed_end() */
  bool end_seen;          /* the final event of the stream was received */
  bool answered_twice;    /* the head of a second answer follows the stream */
  int64_t first_event_ms; /* when this attempt forwarded an event for the first time; 0: not yet */
  bool sound;             /* relay_report_sound() was called */
  SseParser sse;
  char *body;
  size_t body_len;
  RoomClaim *claim;       /* for the body; NULL: none yet */
  int64_t waits_since_ms; /* for room; 0: does not */
  bool
      no_connection; /* nothing answered on the way to the server, not even a refusal of the connection */
  Tokens body_usage; /* usage reported in the body; -1 if none */
} Attempt;

struct Relay
{
  const RelayDeps *deps;
  const RelayRequest *request;
  const RelayClientOps *client; /* NULL once the response is finished or the client disconnected */
  void *client_data;
  RelayState state;
  bool starting; /* relay_new() is running: if the request ends in it, it frees the relay */
  int64_t received_ms;
  int64_t deadline_ms;
  Timer *deadline;
  StreamLookup *lookup; /* NULL: does not wait for the version of its stream */
  Reservation *reservation;
  Tokens reserved;
  Charge charge;        /* set by the settlement */
  uint64_t fingerprint; /* the same if the same request comes again */
  QuarantineKey *keys;  /* what it has in common with other requests */
  size_t n_keys;
  bool is_trial; /* sent to show whether its keys are sound again */
  Attempt *attempt;
  char *tried[DISPATCH_MAX_TRIED]; /* ids of the servers of failed attempts */
  size_t n_tried;
  uint64_t refused_at
      [DISPATCH_MAX_TRIED]; /* hashes of the addresses whose servers stated that it did not run */
  size_t n_refused_at;
  OverloadPass admission;
  int sends;             /* attempts started */
  int arrivals;          /* ended attempts that may have reached a server */
  bool was_rejected;     /* the last attempt ended because its server had no room */
  int runs;              /* attempts that may have run */
  bool response_started; /* part of the response was sent to the client */
  bool write_blocked;    /* until relay_client_writable() */
  VersionBinding binding;
  char bound_version[SERVER_VERSION_BYTES];
  char recorded_version[SERVER_VERSION_BYTES]; /* empty: none was recorded */
  char *sources[DISPATCH_MAX_TRIED]; /* ids of the servers of ended attempts that brought events */
  size_t n_sources;
  EventId last_event_id; /* of the last event forwarded */
  int64_t events;        /* stream events forwarded */
  Tokens delivered;      /* output tokens that the forwarded events count as */
  Tokens usage;          /* reported by the server; -1 if none */
  int64_t first_event_ms;
  int64_t last_event_ms;
  int64_t max_gap_ms;
  char server[SERVER_ID_BYTES];       /* id of the server of the latest attempt */
  AssignmentLimits limits;            /* of the choice of that server; for the log */
  char version[SERVER_VERSION_BYTES]; /* of that server, as a word for the log */
  /* For the charge and the log. */
  ErrKind reason; /* why the request failed; ERR_NONE: the response was forwarded completely */
  int status;     /* of the response to the client; 0 until it is known */
};

/* relay.c */
void relay_reserve_budget (Relay *r);

/* relay_attempt.c */
extern const BackendEvents relay_backend_events;
void relay_start_attempt (Relay *r);
void relay_end_attempt (Relay *r, AssignmentResult result);

/* The attempt has been run by its server, or may have been. */
void relay_count_run (Relay *r, Attempt *a);
/* The response is complete. */
void relay_finish_complete (Relay *r, Attempt *a);
/* The response has ended, and nothing shows that it is whole. */
void relay_fail_unproved (Relay *r, Attempt *a);

/* relay_end.c */
/* @return whether the response shows by itself that it is complete, rather than by the end of its connection, or its server was
 * found running after it. */
bool relay_has_provable_end (const Attempt *a);
/* Takes a second answer off a response without a provable end, that is not streamed. @return false if the response can't be told from
 * what follows it. */
bool relay_cut_extra_answer (const Relay *r, Attempt *a);
/* @return whether an event of a stream is the head of a second answer instead; sets Attempt.answered_twice if it is and the stream
 * before it is complete. */
bool relay_is_extra_answer (const Relay *r, Attempt *a, const char *event, size_t len);
/* To be called at the end of a response without a provable end: asks its server, and finishes or fails the attempt. */
void relay_check_end (Relay *r, Attempt *a);

/* relay_version.c */
/* From now on only servers of this version may be asked. To be called before the first attempt if the client takes up a
 * stream that @p version began. @param version as in AssignmentServer. */
void relay_require_version (Relay *r, const char *version);
/* @return the only version that may be asked, or NULL: any. */
const char *relay_required_version (const Relay *r);
/* To be called before the first event of the attempt is forwarded. @return false if it must not be, because the version of
 * its server is doubtful and the client has events of another server already. */
bool relay_bind_version (Relay *r, const Attempt *a);
/* The attempt ends. To be called while it has its assignment. */
void relay_note_source (Relay *r, const Attempt *a);
/* To be called before each attempt. @return false if the rest of the stream must not be asked for. */
bool relay_check_version (Relay *r, Err *err);

/* relay_resume.c: over the tries of a client. */
/* Finds the version that began the stream that the client takes up, if it does, and goes on to the budget. */
void relay_find_version (Relay *r);
/* To be called before a server is chosen; may require a version. @return the versions that may be used, in @p versions,
 * or NULL: any. */
const ServerVersions *relay_allowed_versions (Relay *r, ServerVersions *versions);
/* To be called before the request is sent to the server. */
void relay_record_version (Relay *r, const Assignment *assignment);
/* The records of servers do not tell what wrote the events that were forwarded. */
void relay_doubt_version (Relay *r);

/* relay_refusal.c: takes a refusal back that may be one of an earlier exchange of its connection. To be called with each
 * decoded head. */
void relay_check_refusal (Relay *r, Attempt *a, BackendCall *call);
/* To be called with a complete response that does not say that the request did not run. @return whether its status promises so
 * all the same, so that no client must get it. */
bool relay_refuses_without_proof (const Relay *r, const Attempt *a);

/* relay_cut.c */
void relay_set_keys (Relay *r);
/* @param is_sent false: before its budget is reserved. @return whether the request may be sent to a server. */
bool relay_check_quarantine (Relay *r, bool is_sent, Err *err);
/* Has reached no server. */
void relay_return_trial (Relay *r);
/* The answer has come so far that its server will not end under the request. */
void relay_report_sound (const Relay *r, Attempt *a);
/* An exchange has ended with a complete response. */
void relay_report_complete (const Relay *r, Attempt *a);
/* No connection to the server: it may have ended. */
void relay_report_refused (const Relay *r, const Attempt *a);
/* The server, or something before it, has ended the exchange before its response was complete. To be called while the
 * attempt has its assignment. */
void relay_report_cut (const Relay *r, const Attempt *a);

/* relay_overload.c */
/* To be called before anything is reserved. @return whether there is room for the request. */
bool relay_admit (Relay *r, Err *err);
/* @return whether the server has refused the request because all its places and its queue are taken, as far as the answer
 * tells. */
bool relay_found_no_room (const RelayResponseHead *head);
/* The head of an answer has come, or the attempt ends without one at the deadline or with its client. */
void relay_report_room (const Relay *r, const Attempt *a, int64_t now);
/* @return when the client of a request that ends with a 503 may return. */
int64_t relay_return_ms (const Relay *r, ErrKind kind, int64_t default_ms);

/* relay_body.c */
/* @return BACKEND_PAUSE if there is no room for the bytes: the server is read on when there is. */
BackendFlow relay_buffer_body (Relay *r, Attempt *a, const char *bytes, size_t len);
/* The room is taken until the client has the response. */
void relay_keep_room (Relay *r, Attempt *a);

/* relay_stream.c */
BackendFlow relay_stream_bytes (Relay *r, Attempt *a, const char *bytes, size_t len);

/* relay_finish.c: each function without a result ends the request and frees the relay; inside relay_new(),
 * the relay is freed there. */
void relay_finish_error (Relay *r, const Err *err);
void relay_finish_buffered (Relay *r, Attempt *a);
void relay_finish_stream (Relay *r);
void relay_abort (Relay *r, ErrKind kind);
/* @return the response headers to forward, a talloc array under @p ctx. */
RelayHeader *relay_headers_to_forward (const void *ctx, Relay *r, BackendCall *call, size_t *n);
