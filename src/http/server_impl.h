/* Shared by server.c (daemon and connections), server_request.c (libmicrohttpd's request callbacks) and
 * call.c (one request and its response). */
#pragma once

#include <sys/types.h>

#include <microhttpd.h>

#include "core/list.h"
#include "http/listener.h"
#include "http/server.h"

typedef struct Connection Connection;

struct HttpServer
{
  Loop *loop;
  const HttpServerEvents *events;
  void *data;
  struct MHD_Daemon *daemon;
  size_t max_body_bytes;
  size_t max_header_bytes;
  BufferQuota *body_quota;
  int64_t read_timeout_ms;
  int64_t idle_timeout_ms;
  char *timeout_body;
  struct tevent_fd *daemon_event;
  struct tevent_fd *hangup_event;
  int wake_fd;
  struct tevent_fd *wake_event;
  bool run_scheduled;
  bool close_after_response;
  bool stopping; /* no request is reported any more */
  int hangup_fd; /* epoll set that reports clients that close their connection; libmicrohttpd's
                    own set does not contain suspended connections */
  Listener *listener;
  List connections;
  size_t n_connections;
  size_t max_connections;
  size_t open_calls;
};

struct Connection
{
  ListNode node;
  HttpServer *server;
  HttpCall *call; /* NULL between requests */
  int fd;
  int64_t idle_since_ms; /* start of the connection, or end of its last request */
  int64_t idle_limit_ms; /* that was in force then */
};

struct HttpCall
{
  HttpServer *server;
  struct MHD_Connection *mhd;
  Connection *connection;
  void *data;
  char *method;
  char *target;
  int64_t started_us;
  int64_t started_ms;
  char *body;
  size_t body_len;
  size_t body_quota_bytes; /* acquired for it */
  HttpFault fault;
  int n_spared;   /* sweeps that found it late, but with bytes that were not read */
  bool delivered; /* the request event was reported */
  bool suspended;
  bool response_queued; /* the response was handed to libmicrohttpd */
  bool aborted;
  bool client_gone;
  struct MHD_Response *response;
  int status;
  /* Streamed responses: output holds bytes that libmicrohttpd has not read yet. */
  bool streaming;
  bool ended;
  bool write_blocked;
  struct tevent_immediate *writable_event;
  char *output;
  size_t output_start;
  size_t output_end;
  size_t output_size;
};

/** The connection waits for its next request from now on. */
void connection_set_idle (Connection *connection);

/** Schedules MHD_run() on the loop, after the events that are ready now. */
void server_schedule_run (HttpServer *server);

/** Resumes a suspended call, so that libmicrohttpd asks for its response or for more of its output. */
void call_resume (HttpCall *call);
void call_free (HttpCall *call);

/** Hands the response to libmicrohttpd, or closes the connection if there is none, the client has gone, or the
 * call was aborted before its response was streamed. To be called from the access handler only. */
enum MHD_Result call_queue_response (HttpCall *call);

/** Handles a client that has closed its connection: reports client_gone and aborts the call. */
void call_client_gone (HttpCall *call);

/* Callbacks of libmicrohttpd; cls is the HttpServer. */
void *server_on_request_line (void *cls, const char *uri, struct MHD_Connection *mhd);
enum MHD_Result server_on_access (void *cls, struct MHD_Connection *mhd, const char *url,
                                  const char *method, const char *version, const char *upload,
                                  size_t *upload_len, void **context);
void server_on_completed (void *cls, struct MHD_Connection *mhd, void **context,
                          enum MHD_RequestTerminationCode code);
