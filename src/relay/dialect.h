/** @file
 * Codec of one API dialect: the names and formats of its requests and responses. A dialect only decodes and
 * encodes; all decisions are taken by the relay. Stateless; any thread. */
#pragma once

#include "backend/backend.h"
#include "http/server.h"
#include "relay/relay_request.h"

typedef struct Dialect Dialect;

/** The values of one attempt that are encoded into its request headers. */
typedef struct
{
  const char *server; /* id of the chosen server */
  int64_t time_left_ms;
  const char *last_event_id; /* resume the stream after this event; may be NULL */
} RelaySendParams;

typedef struct
{
  char **lines; /* "Name: value" */
  size_t n;
} HeaderLines;

/** A decoded event of a stream. */
typedef struct
{
  Tokens tokens;   /* output tokens that the event counts as */
  Tokens usage;    /* reported for the whole request; -1 if none */
  bool hidden;     /* must not be forwarded */
  bool last;       /* the final event of the stream */
  bool mismatched; /* belongs to another request */
} RelayEvent;

/** The decoded body of a response that is not streamed. */
typedef struct
{
  Tokens usage; /* as in RelayEvent */
  bool not_run; /* the server states that it did not run the request */
} RelayResponseBody;

typedef struct
{
  /** Decodes a client's request. @p catalog is NULL if the host has no configuration yet. The
   * decoded strings are valid as long as both @p ctx and @p call.
   * @return false with the error to send to the client. */
  bool (*decode_request) (Dialect *dialect, const void *ctx, HttpCall *call, const Catalog *catalog,
                          RelayRequest *request, Err *err);
  /** Encodes the headers of the request to a server. */
  void (*encode_request) (Dialect *dialect, const void *ctx, const RelayRequest *request,
                          const RelaySendParams *send, HeaderLines *headers);
  /** Decodes the head of a server's response. */
  void (*decode_response_head) (Dialect *dialect, const RelayRequest *request, BackendCall *call,
                                RelayResponseHead *head);
  /** @return the id of the server that wrote the response, as in RelaySendParams, or NULL if it doesn't say; valid as long as
   * the call. May be NULL if no service has a health path. */
  const char *(*decode_server_id) (Dialect *dialect, BackendCall *call);
  /** Decodes one event of a stream. @return false if it is malformed. May be NULL: each event then
   * counts as RelayRequest.event_tokens. */
  bool (*decode_event) (Dialect *dialect, const RelayRequest *request, const char *event,
                        size_t len, RelayEvent *out);
  /** Decodes a complete body. May be NULL. */
  void (*decode_response_body) (Dialect *dialect, const RelayRequest *request, int status,
                                const char *body, size_t len, RelayResponseBody *out);
  /** @return whether a response header is forwarded to the client. */
  bool (*forwards_response_header) (Dialect *dialect, const char *name);
  /** @return the body of an error response, a talloc string under @p ctx. */
  char *(*encode_error) (Dialect *dialect, const void *ctx, const char *request_id, const Err *err,
                         Outcome outcome);
  /** @return the event that ends an interrupted stream, a talloc string under @p ctx. May be NULL: the
   * connection to the client is then aborted. */
  char *(*encode_stream_error) (Dialect *dialect, const void *ctx, const char *request_id,
                                const Err *err);
  /** The header by which servers say which request they answer. NULL: they do not, or not in a header. */
  const char *answer_id_header;
  bool has_end_event; /* a stream is complete only after an event with RelayEvent.last */
} DialectOps;

struct Dialect
{
  const DialectOps *ops;
};
