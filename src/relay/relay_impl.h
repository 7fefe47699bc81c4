/* Internals of the relay: relay.c (budget, deadline, client), relay_attempt.c (server selection, backend
 * events, retries), relay_stream.c (stream events), relay_cut.c (exchanges that were cut off), relay_finish.c (final response, settlement, log). */
#pragma once

#include "relay/charge.h"
#include "relay/relay.h"
#include "relay/retry_policy.h"
#include "relay/sse.h"

/* Including the terminating NUL; longer event ids are not stored. */
#define EVENT_ID_BYTES 24

typedef enum
{
  RELAY_RESERVING, /* waits for the budget reservation */
  RELAY_SENT,      /* an attempt was started */
  RELAY_FINISHED
} RelayState;

typedef enum
{
  RESPONSE_VALID,
  RESPONSE_MISMATCHED, /* belongs to another request */
  RESPONSE_INVALID,    /* not from a backend server, malformed, or too large */
  RESPONSE_NOT_RUN,    /* the server states that it did not run the request */
  RESPONSE_MISDIRECTED /* another server has this address now */
} ResponseCheck;

typedef struct
{
  Relay *relay;
  int number;        /* 1 for the first attempt of the request */
  BackendCall *call; /* NULL once the exchange has ended */
  Assignment *assignment;
  int64_t started_ms;
  RelayResponseHead head;
  ResponseCheck check;
  bool streaming;
  bool end_seen;          /* the final event of the stream was received */
  int64_t first_event_ms; /* when this attempt forwarded an event for the first time; 0: not yet */
  bool sound;             /* relay_report_sound() was called */
  SseParser sse;
  char *body;
  size_t body_len;
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
  int sends;                          /* attempts started */
  int runs;                           /* attempts that may have run */
  bool response_started;              /* part of the response was sent to the client */
  bool write_blocked;                 /* until relay_client_writable() */
  char last_event_id[EVENT_ID_BYTES]; /* of the last event forwarded */
  int64_t events;                     /* stream events forwarded */
  Tokens delivered;                   /* output tokens that the forwarded events count as */
  Tokens usage;                       /* reported by the server; -1 if none */
  int64_t first_event_ms;
  int64_t last_event_ms;
  int64_t max_gap_ms;
  char server[64];         /* id of the server of the latest attempt; for the log and error texts */
  AssignmentLimits limits; /* of the choice of that server; for the log */
  /* For the charge and the log. */
  ErrKind reason; /* why the request failed; ERR_NONE: the response was forwarded completely */
  int status;     /* of the response to the client; 0 until it is known */
};

/* relay_attempt.c */
extern const BackendEvents relay_backend_events;
void relay_start_attempt (Relay *r);
void relay_end_attempt (Relay *r, AssignmentResult result);

/* relay_cut.c */
void relay_set_keys (Relay *r);
/* @param is_sent false: before its budget is reserved. @return whether the request may be sent to a server. */
bool relay_check_quarantine (Relay *r, bool is_sent, Err *err);
/* Has reached no server. */
void relay_return_trial (Relay *r);
/* @return whether the response shows by itself that it is complete, rather than by the end of its connection. */
bool relay_has_provable_end (const Attempt *a);
/* The answer has come so far that its server will not end under the request. */
void relay_report_sound (const Relay *r, Attempt *a);
/* An exchange has ended with a complete response. */
void relay_report_complete (const Relay *r, Attempt *a);
/* No connection to the server: it may have ended. */
void relay_report_refused (const Relay *r, const Attempt *a);
/* The server, or something before it, has ended the exchange before its response was complete. To be called while the
 * attempt has its assignment. */
void relay_report_cut (const Relay *r, const Attempt *a);

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
