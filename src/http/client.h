/** @file
 * HTTP client of one event loop: libcurl's multi interface on tevent. Used for backend servers (one
 * client per worker) and for the platform (control loop). Every call and callback is on the loop's
 * thread. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/loop.h"

typedef struct HttpClient HttpClient;
typedef struct HttpExchange HttpExchange;

/** The result of an exchange: how far it got before it failed. Only HTTP_FAILED_CONNECT and
 * HTTP_TIMED_OUT_CONNECT prove that no byte of the request has left this host. An exchange never sends
 * its request twice. */
typedef enum
{
  HTTP_COMPLETE,
  HTTP_FAILED_CONNECT,
  HTTP_FAILED_SENDING,     /* the request body was not sent completely */
  HTTP_FAILED_NO_RESPONSE, /* the whole request body was sent, no byte was received */
  HTTP_FAILED_PARTIAL, /* the response was truncated or malformed, or the exchange was aborted */
  HTTP_TIMED_OUT_CONNECT,
  HTTP_TIMED_OUT_NO_RESPONSE, /* the request was sent at least in part, no byte was received in time */
  HTTP_TIMED_OUT_PARTIAL
} HttpResult;

typedef struct
{
  /** The status line and headers are complete. Called just before the first body bytes or, without a
   * body, before done with HTTP_COMPLETE; not called if the exchange fails before that. May be NULL. */
  void (*headers) (void *data, HttpExchange *exchange, int status);
  /** Body bytes. @return false to pause: the same bytes are delivered again after
   * http_exchange_resume(). */
  bool (*body) (void *data, HttpExchange *exchange, const char *bytes, size_t len);
  /** The exchange has ended. Called exactly once, unless the exchange is freed before. It may be freed
   * here. */
  void (*done) (void *data, HttpExchange *exchange, HttpResult result);
} HttpEvents;

/** A header of the answer to a request for a tunnel. With this value, the tunnel ends in order only where the server has ended its
 * connection in order; it is reset if whoever passes the bytes on ends before that. */
#define TUNNEL_END_HEADER "Tunnel-End"
#define TUNNEL_END_PROVED "proved"

/** A response that never pauses, but never ends, is given up after this many times the limit of one that has not begun. */
#define STEADY_RESPONSE_FACTOR 8

typedef struct
{
  const char *method;
  const char *url;
  const char *const *headers; /* "Name: value" */
  size_t n_headers;
  const char *body;
  void *body_owner; /* talloc object with the body, is referenced; NULL: the body is copied */
  size_t body_len;
  int64_t connect_timeout_ms;
  /** Limit of the time from the start of the request to the end of the response; connecting has its own limit before
   * that. What had arrived when a limit was reached is read first, also if the loop was stalled. */
  int64_t timeout_ms;
  /** If not 0, once the response has begun, the limit is this time without a byte of it, and STEADY_RESPONSE_FACTOR times
   * timeout_ms for the whole response: a large one may take long on a link that is in use. */
  int64_t stall_timeout_ms;
  /** Opens a new connection, which no later exchange reuses. */
  bool own_connection;
  /** "IP:port" of an HTTP proxy that is asked for a tunnel to the server; NULL: connects directly. That it gives none proves like
   * a failed connect that nothing was sent. A response that has no other end than that of the connection is only complete if
   * the proxy has sent TUNNEL_END_HEADER. */
  const char *tunnel_over;
  /** An idle connection is not reused after this time; 0 for libcurl's default of 118 s. */
  int64_t max_idle_ms;
  /** Size of the receive buffer that each exchange keeps, at least 1024; 0 for libcurl's 16 KB. */
  size_t receive_buffer_bytes;
  /** Not on behalf of a client: its bytes are not counted in traffic.h. */
  bool is_control;
} HttpRequest;

/** @return a talloc object under @p ctx, or NULL. Free its exchanges before it. */
HttpClient *http_client_new (const void *ctx, Loop *loop);

/** @return the timer service of the client's loop. */
Timers *http_client_timers (const HttpClient *client);

/** To be called if an exchange was not answered although its server answers at once: connections can go silent without a
 * reset, and all of a host's then do. Those that are open now are not reused, except one on which an exchange completes. */
void http_client_doubt_connections (HttpClient *client);

/** Starts an exchange. @return a talloc object under @p ctx, which talloc_free() cancels, or NULL if it
 * could not be set up (nothing was sent). */
HttpExchange *http_client_start (HttpClient *client, const void *ctx, const HttpRequest *request,
                                 const HttpEvents *events, void *data);

/** Aborts the exchange from inside its headers or body callback, where it must not be freed. done
 * follows from the loop with HTTP_FAILED_PARTIAL, or HTTP_COMPLETE if the response has no body. */
void http_exchange_abort (HttpExchange *exchange);

/** @return the result that an unfinished exchange would have if it failed now. */
HttpResult http_exchange_failure_point (HttpExchange *exchange);

/** Resumes the exchange after a body callback that returned false. */
void http_exchange_resume (HttpExchange *exchange);

/** @return the value of a response header, or NULL; valid until the exchange is freed. */
const char *http_exchange_header (HttpExchange *exchange, const char *name);

/** As http_exchange_header(), for the interim responses (1xx) before the final one. */
const char *http_exchange_interim_header (HttpExchange *exchange, const char *name);

/** Calls @p fn for each header of the response, in order. */
void http_exchange_each_header (HttpExchange *exchange,
                                void (*fn) (void *data, const char *name, const char *value),
                                void *data);

int http_exchange_status (HttpExchange *exchange);

/** @return the status with which the proxy has answered the request for a tunnel; 0: not at all. */
int http_exchange_tunnel_status (HttpExchange *exchange);

/** @return whether the response has a length or chunks, or can have no body, so that its end is known by itself. Otherwise it
 * ends with its connection, also if its server has ended in the middle. To be called from headers on. */
bool http_exchange_has_framed_end (HttpExchange *exchange);

/** @return true if the exchange opened a new connection. */
bool http_exchange_opened_connection (HttpExchange *exchange);
