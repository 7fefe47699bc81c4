/* Shared by client.c (libcurl multi on tevent) and exchange.c (one exchange). */
#pragma once

#include <curl/curl.h>

#include "http/client.h"

struct HttpClient
{
  Loop *loop;
  CURLM *multi;
  Timer *timeout_timer;
  Timer *reap_timer;
};

struct HttpExchange
{
  HttpClient *client;
  CURL *easy;
  struct curl_slist *headers;
  const HttpEvents *events;
  void *data;
  char *body;
  size_t body_len;
  bool in_multi;
  bool request_started;  /* libcurl has started to send the request on a connection */
  bool response_started; /* bytes of the response have arrived */
  bool headers_reported;
  bool aborted;
  size_t head_bytes; /* of all response header lines, interim responses included */
  int head_lines;
};

/** Reports the exchanges that libcurl has completed. */
void client_reap (HttpClient *client);

/** Schedules client_reap() on the loop. */
void client_schedule_reap (HttpClient *client);
