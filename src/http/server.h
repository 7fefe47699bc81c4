/** @file
 * HTTP server of one event loop: one libmicrohttpd daemon on tevent, without a thread of its own.
 * Every call and callback is on the loop's thread. A callback never runs inside another one of the
 * same call, except that http_call_answer() may be used inside request. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/loop.h"

typedef struct HttpServer HttpServer;
typedef struct HttpCall HttpCall;

typedef enum
{
  HTTP_FAULT_NONE,
  HTTP_FAULT_BODY_TOO_LARGE,
  HTTP_FAULT_HEADERS_TOO_LARGE,
  HTTP_FAULT_FRAMING /* the end of the body is ambiguous; the connection ends with the answer */
} HttpFault;

typedef struct
{
  /** A whole request is here, or one that breaks a limit (then it has no body). Answer it now or
   * later. */
  void (*request) (void *data, HttpCall *call, HttpFault fault);
  /** The buffer of a streamed answer has become empty after http_call_write() returned false. */
  void (*drained) (void *call_data, HttpCall *call);
  /** The client went away before the answer was complete. What is written from here on is dropped.
   * closed follows. */
  void (*gone) (void *call_data, HttpCall *call);
  /** The last event of a call that request was called for; @p call is freed after it. */
  void (*closed) (void *call_data, HttpCall *call);
} HttpServerEvents;

typedef struct
{
  const char *listen; /* "IP:port", port 0 chooses one */
  size_t max_body;
  size_t max_header;
  int64_t read_timeout_ms; /* to receive one request */
  int64_t idle_timeout_ms; /* of a connection without a request; 0 for read_timeout_ms */
  unsigned max_connections;
  const char *timeout_answer; /* JSON body of the 408 for a request that does not arrive in time */
  const HttpServerEvents *events;
  void *data;
} HttpServerOptions;

/** Opens the port. @return a talloc object under @p ctx, or NULL. The loop must not be running in
 * another thread yet. */
HttpServer *http_server_new (const void *ctx, Loop *loop, const HttpServerOptions *options);

uint16_t http_server_port (const HttpServer *server);

/** Calls that are being received or answered. */
size_t http_server_open_calls (const HttpServer *server);

/** Changes the times of HttpServerOptions. */
void http_server_set_timeouts (HttpServer *server, int64_t read_timeout_ms,
                               int64_t idle_timeout_ms);

/** Has every answer from now on end its connection. */
void http_server_close_after_answer (HttpServer *server, bool on);

/** Refuses new connections from now on, or no longer. */
void http_server_refuse_connections (HttpServer *server, bool on);

void http_call_set_data (HttpCall *call, void *call_data);
void *http_call_data (const HttpCall *call);

/* Valid until closed, but for the body. */
const char *http_call_method (const HttpCall *call);
/** Path and query as received, not decoded. */
const char *http_call_target (const HttpCall *call);
const char *http_call_header (const HttpCall *call, const char *name);
void http_call_each_header (const HttpCall *call,
                            void (*fn) (void *data, const char *name, const char *value),
                            void *data);

/** NUL-terminated; valid until http_call_drop_body() or closed. */
const char *http_call_body (const HttpCall *call, size_t *len);
void http_call_drop_body (HttpCall *call);

/** @return monotonic microseconds at which the request line had been read. */
int64_t http_call_started_us (const HttpCall *call);

/** @return milliseconds of the loop's clock at that time. */
int64_t http_call_started_ms (const HttpCall *call);

/** "Name: value" */
typedef struct
{
  const char *name;
  const char *value;
} HttpHeader;

/** The whole answer. The body is copied. */
void http_call_answer (HttpCall *call, int status, const HttpHeader *headers, size_t n_headers,
                       const char *body, size_t len);

/** Starts a streamed answer. */
void http_call_begin (HttpCall *call, int status, const HttpHeader *headers, size_t n_headers);

/** Adds to a streamed answer. @return false if much is waiting already (the bytes are taken all the
 * same): hold back until drained. */
bool http_call_write (HttpCall *call, const char *bytes, size_t len);

void http_call_end (HttpCall *call);

/** Closes the connection without an answer, or in the middle of a streamed one, after what has been
 * written to it. */
void http_call_abort (HttpCall *call);
