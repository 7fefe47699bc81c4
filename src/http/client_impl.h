/* Shared by client.c (libcurl multi on tevent) and the files of one exchange: exchange.c (its start, time limit and end), exchange_connection.c (its
 * connection), exchange_read.c (what libcurl reads), exchange_response.c (what is known of its response). */
#pragma once

#include <curl/curl.h>

#include "http/client.h"
#include "http/connection_table.h"
#include "http/response_head.h"

struct HttpClient
{
  Loop *loop;
  CURLM *multi;
  Timer *timeout_timer;
  Timer *reap_timer;
  ConnectionTable *connections;
};

struct HttpExchange
{
  HttpClient *client;
  CURL *easy;
  struct curl_slist *headers;
  const HttpEvents *events;
  void *data;
  const char *body;
  void *body_owner; /* a child, or referenced */
  size_t body_len;
  bool is_control;
  bool is_head;
  bool uses_tunnel;
  bool proves_end; /* the end of its connection is that of the server's connection */
  Timer *time_limit;
  int64_t timeout_ms;
  int64_t stall_timeout_ms;
  int64_t received_ms; /* when bytes of the response arrived last; set only with stall_timeout_ms */
  int64_t last_step_ms; /* when it opened a connection or, later, started the request; 0: not yet */
  bool in_multi;
  int opened_fd;         /* of the connection that it opened */
  int used_fd;           /* of the connection that carries it; -1: none yet */
  bool closed_unread;    /* its connection was closed before the other end had all of the request */
  bool stale_connection; /* the connection that libcurl chose must not be used */
  bool request_started;  /* libcurl has started to send the request on a connection */
  bool response_started; /* bytes of the response have arrived */
  ResponseHead head;     /* as far as it has come */
  bool head_complete;    /* the empty line after the head of the final response has arrived */
  bool headers_reported;
  bool aborted;
  bool timed_out;        /* on_progress() has ended it */
  curl_off_t body_bytes; /* at the last call of on_progress() */
  int idle_passes; /* of libcurl over the exchange, after its time limit and without a byte of the body */
  size_t head_bytes; /* of all response header lines, interim responses included */
  int head_lines;
};

/** Reports the exchanges that libcurl has completed. */
void client_reap (HttpClient *client);

/** Schedules client_reap() on the loop. */
void client_schedule_reap (HttpClient *client);

/* exchange.c */
/** @return the time that is left, less than 0 if it is over. */
int64_t exchange_time_left_ms (const HttpExchange *x, int64_t now);

/* exchange_connection.c */
/** @return the socket of the exchange's connection, or -1 if it has been closed. */
int exchange_connection_fd (const HttpExchange *x);
void exchange_shut_connection (HttpExchange *x);
/** Callbacks of libcurl. */
curl_socket_t exchange_open_socket (void *data, curlsocktype purpose,
                                    struct curl_sockaddr *address);
int exchange_close_socket (void *data, curl_socket_t fd);
int exchange_on_before_request (void *data, char *remote_ip, char *local_ip, int remote_port,
                                int local_port);

/* exchange_read.c */
void exchange_report_headers (HttpExchange *x);
/** Callbacks of libcurl. */
int exchange_on_progress (void *data, curl_off_t total, curl_off_t received, curl_off_t to_send,
                          curl_off_t sent);
size_t exchange_on_body (char *bytes, size_t size, size_t n, void *data);
size_t exchange_on_header (char *bytes, size_t size, size_t n, void *data);

/* exchange_response.c */
/** @return the result of an exchange that has failed. */
HttpResult exchange_failure (HttpExchange *x, bool timed_out);
/** @return the result of an exchange that libcurl has completed. */
HttpResult exchange_result (HttpExchange *x, CURLcode code);
