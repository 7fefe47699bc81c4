/** @file
 * HTTP server of one event loop: one libmicrohttpd daemon on tevent, without a thread of its own.
 * Every function and callback runs on the loop's thread. No callback runs inside another callback for the
 * same HttpCall. http_call_respond() may be used inside the request callback. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/buffer_quota.h"
#include "core/loop.h"

typedef struct HttpServer HttpServer;
typedef struct HttpCall HttpCall;

typedef enum
{
  HTTP_FAULT_NONE,
  HTTP_FAULT_BODY_TOO_LARGE,
  HTTP_FAULT_HEADERS_TOO_LARGE,
  HTTP_FAULT_NO_ROOM, /* the bodies of other requests use up the memory for them */
  HTTP_FAULT_FRAMING  /* ambiguous body length; the connection is closed after the response */
} HttpFault;

typedef struct
{
  /** A request was received completely, or it has a fault (then it has no body). The owner may respond
   * now or later. */
  void (*request) (void *data, HttpCall *call, HttpFault fault);
  /** The output buffer of a streamed response has become empty after http_call_write() returned
   * false. */
  void (*writable) (void *call_data, HttpCall *call);
  /** The client disconnected before the response was complete. Whatever is written after this is
   * discarded. closed follows. */
  void (*client_gone) (void *call_data, HttpCall *call);
  /** The last event of a call for which request was reported; @p call is freed after it. */
  void (*closed) (void *call_data, HttpCall *call);
} HttpServerEvents;

typedef struct
{
  const char *listen; /* "IP:port", port 0 for an ephemeral one */
  size_t max_body_bytes;
  size_t max_header_bytes;
  BufferQuota *body_quota; /* of all requests; must outlive the server; NULL: no limit */
  int64_t read_timeout_ms; /* limit from the request line to the end of the request */
  /** Limit for a connection until the headers of its next request have arrived; 0 for
   * read_timeout_ms. */
  int64_t idle_timeout_ms;
  /** Limit for a client that takes no byte of a response that waits for it; 0: none. */
  int64_t take_timeout_ms;
  unsigned max_connections;
  const char *timeout_body; /* JSON body of the 408 if a request body does not arrive in time */
  const HttpServerEvents *events;
  void *data;
} HttpServerOptions;

/** Opens the port. The loop must not be running in another thread yet. @return a talloc object under
 * @p ctx, or NULL. */
HttpServer *http_server_new (const void *ctx, Loop *loop, const HttpServerOptions *options);

uint16_t http_server_port (const HttpServer *server);

/** @return the number of calls whose request is being received or whose response is not complete. */
size_t http_server_open_calls (const HttpServer *server);

/** Changes the timeouts of HttpServerOptions. A shorter idle timeout applies to a connection from its next
 * response on, a longer one at once. */
void http_server_set_timeouts (HttpServer *server, int64_t read_timeout_ms,
                               int64_t idle_timeout_ms);

/** Enables or disables closing each connection after its next response. */
void http_server_close_after_response (HttpServer *server, bool on);

/** Closes the listening socket, so that the kernel refuses new connections, or opens it again. */
void http_server_refuse_connections (HttpServer *server, bool on);

void http_call_set_data (HttpCall *call, void *call_data);
void *http_call_data (const HttpCall *call);

/* The strings returned below are valid until closed, except for the body. */
const char *http_call_method (const HttpCall *call);
/** @return path and query as received, not decoded. */
const char *http_call_target (const HttpCall *call);
const char *http_call_header (const HttpCall *call, const char *name);
void http_call_each_header (const HttpCall *call,
                            void (*fn) (void *data, const char *name, const char *value),
                            void *data);

/** @return the NUL-terminated body, valid until http_call_free_body() or closed. */
const char *http_call_body (const HttpCall *call, size_t *len);

/** @return the talloc object that holds the body, or NULL. Who references it keeps the body for longer. */
void *http_call_body_owner (const HttpCall *call);

void http_call_free_body (HttpCall *call);

/** @return the monotonic time in microseconds at which the request line had been read. */
int64_t http_call_started_us (const HttpCall *call);

/** @return the same time in milliseconds of the loop's clock. */
int64_t http_call_started_ms (const HttpCall *call);

/** The client waits no longer than this, by the loop's clock: its connection is closed if it has not taken the response some time
 * after that. */
void http_call_set_deadline (HttpCall *call, int64_t deadline_ms);

/** One response header. */
typedef struct
{
  const char *name;
  const char *value;
} HttpHeader;

/** Sends a complete response. The body is copied. */
void http_call_respond (HttpCall *call, int status, const HttpHeader *headers, size_t n_headers,
                        const char *body, size_t len);

/** Starts a streamed response. */
void http_call_begin_response (HttpCall *call, int status, const HttpHeader *headers,
                               size_t n_headers);

/** Appends to a streamed response. The bytes are always taken. @return false if the output buffer has
 * reached its high-water mark: write no more until the writable event. */
bool http_call_write (HttpCall *call, const char *bytes, size_t len);

/** Completes a streamed response. */
void http_call_end_response (HttpCall *call);

/** Closes the connection without a response, or in the middle of a streamed one, after the bytes that
 * were written to it. */
void http_call_abort (HttpCall *call);
