/** @file
 * HTTP client of one event loop: libcurl multi on tevent. Used towards backend servers (one per
 * worker) and the platform (control loop). Every call and callback is on the loop's thread. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/loop.h"

typedef struct HttpClient HttpClient;
typedef struct HttpExchange HttpExchange;

/** How far an exchange got before it failed. Only HTTP_FAILED_CONNECT and HTTP_TIMED_OUT_CONNECT prove
 * that no byte of the request has left this host. A request is never sent twice by one exchange. */
typedef enum
{
  HTTP_COMPLETE,
  HTTP_FAILED_CONNECT,
  HTTP_FAILED_SENDING, /* some bytes were sent */
  HTTP_FAILED_SILENT,  /* all was sent, nothing came back */
  HTTP_FAILED_PARTIAL, /* the answer broke off */
  HTTP_TIMED_OUT_CONNECT,
  HTTP_TIMED_OUT_SILENT, /* sent, at least in part; nothing came back in time */
  HTTP_TIMED_OUT_PARTIAL
} HttpResult;

typedef struct
{
  /** The status line and headers are complete. May be NULL. */
  void (*headers) (void *data, HttpExchange *exchange, int status);
  /** Body bytes. @return false to pause: the same bytes come again after http_exchange_resume(). */
  bool (*body) (void *data, HttpExchange *exchange, const char *bytes, size_t len);
  /** The end, called exactly once unless the exchange is freed before. It may be freed here. */
  void (*done) (void *data, HttpExchange *exchange, HttpResult result);
} HttpEvents;

typedef struct
{
  const char *method;
  const char *url;
  const char *const *headers; /* "Name: value" */
  size_t n_headers;
  const char *body; /* copied */
  size_t body_len;
  int64_t connect_timeout_ms;
  int64_t timeout_ms;
  /** Opens a connection of its own, which no later exchange uses. */
  bool own_connection;
  /** A kept connection that was idle for longer is not used; 0 for libcurl's limit of 118 s. */
  int64_t max_idle_ms;
  /** Bytes read at once, at least 1024; 0 for libcurl's 16 KB, which each exchange keeps. */
  size_t receive_buffer;
} HttpRequest;

/** @return a talloc object under @p ctx, or NULL. Free its exchanges before it. */
HttpClient *http_client_new (const void *ctx, Loop *loop);

/** @return the timer service of the client's loop. */
Timers *http_client_timers (const HttpClient *client);

/** Starts an exchange. @return a talloc object under @p ctx; talloc_free() cancels it. NULL if it
 * could not be set up (nothing was sent). */
HttpExchange *http_client_start (HttpClient *client, const void *ctx, const HttpRequest *request,
                                 const HttpEvents *events, void *data);

/** Breaks the exchange off from inside its headers or body callback, where it must not be freed. done
 * follows from the loop with HTTP_FAILED_PARTIAL. */
void http_exchange_abort (HttpExchange *exchange);

/** @return how far an unfinished exchange has got, as the result it would have if it failed now. */
HttpResult http_exchange_reached (HttpExchange *exchange);

/** Goes on after a body callback that returned false. */
void http_exchange_resume (HttpExchange *exchange);

/** @return the value of an answer header, or NULL; valid until the exchange is freed. */
const char *http_exchange_header (HttpExchange *exchange, const char *name);

/** As http_exchange_header() for the interim answers (1xx) before the answer. */
const char *http_exchange_early_header (HttpExchange *exchange, const char *name);

/** Calls @p fn for each header of the answer, in order. */
void http_exchange_each_header (HttpExchange *exchange,
                                void (*fn) (void *data, const char *name, const char *value),
                                void *data);

int http_exchange_status (HttpExchange *exchange);

/** @return true if the exchange opened a new connection. */
bool http_exchange_is_connected_anew (HttpExchange *exchange);
