/* The parts of the relay: relay.c (budget, deadline, caller), relay_attempt.c (choice of a server, its
 * events), relay_stream.c (events of a stream), relay_end.c (answers, settling, log). */
#pragma once

#include "relay/charge.h"
#include "relay/relay.h"
#include "relay/retry_rule.h"
#include "relay/sse.h"

#define EVENT_ID_BYTES 24

typedef enum
{
  RELAY_RESERVING,
  RELAY_SENT,
  RELAY_OVER
} RelayState;

typedef enum
{
  VERDICT_NONE,
  VERDICT_MISMATCHED, /* the answer belongs to another request */
  VERDICT_UNUSABLE,   /* not an answer of a server, broken, or too large */
  VERDICT_REJECTED,   /* the server says that it did not run the request */
  VERDICT_OTHER_SERVER
} Verdict;

typedef struct
{
  Relay *relay;
  int number;
  BackendCall *call; /* NULL once it has ended */
  Assignment *flight;
  int64_t started_ms;
  RelayHead head;
  Verdict verdict;
  bool streaming;
  bool answered;  /* the head of an answer has come */
  bool last_seen; /* the event that ends the stream has come */
  SseSplitter sse;
  char *body;
  size_t body_len;
  Tokens body_used; /* by the engine's count in the body; -1 if not stated */
} Attempt;

struct Relay
{
  const RelayDeps *deps;
  const RelayRequest *request;
  const RelayCaller *caller; /* NULL once it has been answered or has gone */
  void *caller_data;
  RelayState state;
  bool starting; /* relay_new() frees it */
  int64_t received_ms;
  int64_t deadline_ms;
  Timer *deadline;
  Reservation *reservation;
  Tokens reserved;
  Charge charge; /* once it is settled */
  Attempt *attempt;
  char *tried[DISPATCH_MAX_TRIED];
  size_t n_tried;
  int sends;
  int runs;   /* attempts that may have run */
  bool begun; /* the caller has part of the answer */
  bool blocked;
  char last_event_id[EVENT_ID_BYTES]; /* of the last event passed on */
  int64_t events;
  Tokens delivered; /* in the events passed on, at most */
  Tokens used;      /* by the engine's count; -1 if not stated */
  int64_t first_ms;
  int64_t last_event_ms;
  int64_t longest_gap_ms;
  /* For the log. */
  char server[64];
  ErrKind reason;
  int status;
};

/* relay_attempt.c */
extern const BackendEvents relay_backend_events;
void relay_try (Relay *r);
void relay_drop_attempt (Relay *r, AssignmentResult end);

/* relay_stream.c */
BackendFlow relay_stream_bytes (Relay *r, Attempt *a, const char *bytes, size_t len);

/* relay_end.c: each of them ends the relay and frees it. */
void relay_fail (Relay *r, const Err *err);
void relay_finish_plain (Relay *r, Attempt *a);
void relay_finish_stream (Relay *r);
void relay_give_up (Relay *r, ErrKind kind);
/* Collects the headers of an answer that are passed on; a talloc array under @p ctx. */
RelayHeader *relay_headers (const void *ctx, Relay *r, BackendCall *call, size_t *n);
