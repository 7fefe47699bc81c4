/* The parts of the request state machine: request.c (states before the exchange),
 * request_admit.c (admission), request_attempt.c (exchange with a server), request_events.c (its
 * events), request_stream.c (events of a stream), request_finish.c (settling and answering). */
#pragma once

#include "api/model_body.h"
#include "api/request.h"
#include "relay/sse.h"

#define REQUEST_ID_BYTES 96

/* How long a booking that was sent is seen through after its caller has been answered. */
#define BOOKING_LINGER_MS 30000

/* The adapter's own time limit lies behind the deadline, so that the deadline's timer decides what
 * the caller is told. */
#define TIMEOUT_SLACK_MS 1000

typedef enum
{
  REQUEST_RESERVING,
  REQUEST_INTENT,  /* the booking's intent is being written */
  REQUEST_BACKOFF, /* waits before the next attempt */
  REQUEST_ATTEMPT,
  REQUEST_SETTLING,
  REQUEST_OVER
} RequestState;

typedef enum
{
  VERDICT_NONE,
  VERDICT_MISMATCHED, /* the answer belongs to another request */
  VERDICT_CAPPED,     /* the engine went on after max_tokens */
  VERDICT_UNUSABLE    /* not the agreed format, or too large */
} Verdict;

typedef struct Attempt Attempt;

struct Attempt
{
  Request *request;
  int number;
  char id[REQUEST_ID_BYTES + 16];
  BackendCall *call; /* NULL once it has ended */
  RouteChoice choice;
  int64_t started_ms;
  int64_t started_us;
  int64_t first_ms; /* -1 before the first token or byte */
  int64_t last_token_us;
  int status;
  bool streaming;
  bool done_seen; /* [DONE] has come */
  Verdict verdict;
  Tokens tokens; /* counted by us */
  Tokens used;   /* by the engine's count; -1 if not stated */
  int64_t bytes;
  SseSplitter sse;
  char *body;
  size_t body_len;
};

struct Request
{
  RequestDeps *deps;
  const CallerOps *caller; /* NULL once it has been answered or has gone */
  void *caller_data;
  RequestState state;
  int callbacks; /* outstanding ones that hold a pointer to this request */
  char id[REQUEST_ID_BYTES];
  char *billing_id;
  char *method;
  char *path;
  char *account;
  char *budget;
  char *pool;
  char *key; /* the caller's idempotency key or NULL */
  int priority;
  bool idempotent;
  Tokens price;     /* services */
  ModelBody *model; /* models */
  char *body;       /* services */
  size_t body_len;
  char **headers; /* services */
  size_t n_headers;
  uint64_t body_hash;
  int64_t received_us;
  int64_t deadline_ms;
  Timer *deadline;
  Timer *backoff;
  Reservation *reservation;
  Tokens reserved;
  Booking *booking;
  Attempt *attempt;
  int attempts;
  bool maybe_ran;               /* an earlier attempt may have reached a server */
  bool begun;                   /* the caller has part of the answer */
  bool blocked;                 /* the caller's buffer is full */
  char *tried[ROUTE_MAX_TRIED]; /* servers of failed attempts */
  size_t n_tried;
  int64_t backend_us; /* time spent on attempts, for the added latency */
  /* The answer that waits for its receipt. */
  int status;
  char *content_type;
  Err error; /* kind ERR_NONE: a good answer */
  Outcome outcome;
};

/* request.c */
Request *request_unref (Request *r); /* frees a request that is over; @return NULL if it did */

/* request_admit.c: everything that needs the configuration */
bool request_admit (Request *r, const RequestInput *in, const Config *config, Err *err);

/* request_events.c */
extern const BackendEvents request_backend_events;

/* request_attempt.c */
/* Whether a failure there proves that the server did not run the request. */
bool request_not_run_at (FailurePoint point);
void request_fail_attempt (Request *r, Attempt *a, FailurePoint point, ErrKind kind);
void request_try (Request *r);
void request_drop_attempt (Request *r, bool failed, FailurePoint point);
void request_deadline_in_attempt (Request *r);

/* request_stream.c */
BackendFlow request_stream_bytes (Request *r, Attempt *a, const char *bytes, size_t len);

/* request_finish.c */
void request_refuse (Request *r, const Err *err, Outcome outcome);
void request_succeed (Request *r, Attempt *a);
void request_cut_short (Request *r, Attempt *a, ErrKind kind, const char *detail);
void request_answer_error (Request *r, const Err *err, Outcome outcome);
Tokens request_spent (const Request *r, const Attempt *a);
void request_log_failure (const Request *r, const Err *err, Outcome outcome);
