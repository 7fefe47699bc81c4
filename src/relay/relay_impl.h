/* The parts of the relay: relay.c (budget, deadline, client), relay_attempt.c (choice of a server, its
 * events), relay_stream.c (events of a stream), relay_end.c (answers, settling, log). */
#pragma once

#include "relay/charge.h"
#include "relay/relay.h"
#include "relay/retry_policy.h"
#include "relay/sse.h"

#define EVENT_ID_BYTES 24

typedef enum
{
  RELAY_RESERVING,
  RELAY_SENT,
  RELAY_FINISHED
} RelayState;

typedef enum
{
  RESPONSE_VALID,
  RESPONSE_MISMATCHED, /* the answer belongs to another request */
  RESPONSE_INVALID,    /* not an answer of a server, broken, or too large */
  RESPONSE_NOT_RUN,    /* the server says that it did not run the request */
  RESPONSE_MISDIRECTED
} ResponseCheck;

typedef struct
{
  Relay *relay;
  int number;
  BackendCall *call; /* NULL once it has ended */
  Flight *flight;
  int64_t started_ms;
  RelayResponseHead head;
  ResponseCheck check;
  bool streaming;
  bool head_received; /* the head of an answer has come */
  bool end_seen;      /* the event that ends the stream has come */
  SseParser sse;
  char *body;
  size_t body_len;
  Tokens body_usage; /* by the engine's count in the body; -1 if not stated */
} Attempt;

struct Relay
{
  const RelayDeps *deps;
  const RelayRequest *request;
  const RelayClientOps *client; /* NULL once it has been answered or has gone */
  void *client_data;
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
  int runs;              /* attempts that may have run */
  bool response_started; /* the client has part of the answer */
  bool write_blocked;
  char last_event_id[EVENT_ID_BYTES]; /* of the last event passed on */
  int64_t events;
  Tokens delivered; /* in the events passed on, at most */
  Tokens usage;     /* by the engine's count; -1 if not stated */
  int64_t first_event_ms;
  int64_t last_event_ms;
  int64_t max_gap_ms;
  /* For the log. */
  char server[64];
  ErrKind reason;
  int status;
};

/* relay_attempt.c */
extern const BackendEvents relay_backend_events;
void relay_start_attempt (Relay *r);
void relay_end_attempt (Relay *r, FlightEnd end);

/* relay_stream.c */
BackendFlow relay_stream_bytes (Relay *r, Attempt *a, const char *bytes, size_t len);

/* relay_end.c: each of them ends the relay and frees it. */
void relay_finish_error (Relay *r, const Err *err);
void relay_finish_buffered (Relay *r, Attempt *a);
void relay_finish_stream (Relay *r);
void relay_abort (Relay *r, ErrKind kind);
/* Collects the headers of an answer that are passed on; a talloc array under @p ctx. */
RelayHeader *relay_response_headers (const void *ctx, Relay *r, BackendCall *call, size_t *n);
