/** @file
 * What differs between the interfaces that the system speaks: names and formats of requests and answers.
 * A dialect decodes and encodes; it decides nothing. Stateless; any thread. */
#pragma once

#include "backend/backend.h"
#include "http/server.h"
#include "relay/relay_request.h"

typedef struct Dialect Dialect;

/** What a request is sent with. */
typedef struct
{
  const char *server; /* id of the server that is meant */
  int64_t time_left_ms;
  const char *last_event_id; /* the stream goes on after this event; or NULL */
} RelaySendParams;

typedef struct
{
  char **lines; /* "Name: value" */
  size_t n;
} HeaderLines;

/** One event of a stream. */
typedef struct
{
  Tokens tokens;   /* of output in it, at most */
  Tokens usage;    /* the engine's count of the whole request; -1 if it is not stated */
  bool hidden;     /* is not passed on */
  bool last;       /* the stream is complete after it */
  bool mismatched; /* belongs to another request */
} RelayEvent;

/** The body of an answer that is not streamed. */
typedef struct
{
  Tokens usage; /* as in RelayEvent */
  bool not_run;
} RelayResponseBody;

typedef struct
{
  /** Decodes a request. @p catalog may be NULL. The strings live as long as @p ctx.
   * @return false with the error to answer. */
  bool (*decode_request) (Dialect *dialect, const void *ctx, HttpCall *call, const Catalog *catalog,
                          RelayRequest *request, Err *err);
  /** Writes the headers of a request to a server. */
  void (*encode_request) (Dialect *dialect, const void *ctx, const RelayRequest *request,
                          const RelaySendParams *send, HeaderLines *headers);
  /** Decodes the head of an answer. */
  void (*decode_response_head) (Dialect *dialect, const RelayRequest *request, BackendCall *call,
                                RelayResponseHead *head);
  /** Reads one event of a stream. @return false if it is none. NULL: every event carries
   * RelayRequest.event_tokens. */
  bool (*decode_event) (Dialect *dialect, const RelayRequest *request, const char *event,
                        size_t len, RelayEvent *out);
  /** Reads a whole body. May be NULL. */
  void (*decode_response_body) (Dialect *dialect, const RelayRequest *request, int status,
                                const char *body, size_t len, RelayResponseBody *out);
  /** @return whether a header of an answer is passed on to the client. */
  bool (*forwards_response_header) (Dialect *dialect, const char *name);
  /** @return the body of an error answer, a talloc string under @p ctx. */
  char *(*encode_error) (Dialect *dialect, const void *ctx, const char *request_id, const Err *err,
                         Outcome outcome);
  /** @return what ends a stream that broke off, a talloc string under @p ctx. NULL: the connection
   * ends without the end of the stream. */
  char *(*encode_stream_error) (Dialect *dialect, const void *ctx, const char *request_id,
                                const Err *err);
  bool has_end_event; /* a stream without an event that is its last one is not complete */
} DialectOps;

struct Dialect
{
  const DialectOps *ops;
};
