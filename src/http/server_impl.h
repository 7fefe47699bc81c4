/* Shared by server.c (daemon, connections), server_request.c (what libmicrohttpd reports of a request)
 * and call.c (one request and its answer). */
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
  size_t max_body;
  size_t max_header;
  int64_t read_timeout_ms;
  int64_t idle_timeout_ms;
  char *timeout_answer;
  struct tevent_fd *daemon_event;
  struct tevent_fd *hangup_event;
  int wake_fd;
  struct tevent_fd *wake_event;
  bool run_scheduled;
  bool close_after_answer;
  int hangup_fd; /* epoll set that reports clients that close; a suspended connection is not
                    in libmicrohttpd's own set */
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
  int64_t since_ms; /* of the connection, or of the end of its last request */
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
  HttpFault fault;
  bool delivered; /* request was called */
  bool suspended;
  bool queued; /* libmicrohttpd has the response */
  bool aborted;
  bool gone;
  struct MHD_Response *response;
  int status;
  /* Streamed answers: bytes that libmicrohttpd has not taken yet. */
  bool streaming;
  bool ended;
  bool blocked;
  struct tevent_immediate *drain_now;
  char *out;
  size_t out_at;
  size_t out_len;
  size_t out_size;
};

/** Has MHD_run() called from the loop, after the events that are ready now. */
void server_run_soon (HttpServer *server);

void call_resume (HttpCall *call);
void call_free (HttpCall *call);

/** Hands the response to libmicrohttpd, or closes the connection. For the access handler only. */
enum MHD_Result call_queue (HttpCall *call);

/** The client has left: tells the owner, and lets the connection end. */
void call_client_gone (HttpCall *call);

/* Callbacks of libmicrohttpd; cls is the server. */
void *server_on_request_line (void *cls, const char *uri, struct MHD_Connection *mhd);
enum MHD_Result server_on_access (void *cls, struct MHD_Connection *mhd, const char *url,
                                  const char *method, const char *version, const char *upload,
                                  size_t *upload_len, void **context);
void server_on_completed (void *cls, struct MHD_Connection *mhd, void **context,
                          enum MHD_RequestTerminationCode code);
