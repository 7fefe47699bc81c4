/* Shared by server.c (listener, set-up and time limits), connection.c (socket of one connection), request_parser.c (requests) and
 * call.c (one request and its response). */
#pragma once

#include <sys/types.h>

#include <http_parser.h>

#include "core/list.h"
#include "http/head_scan.h"
#include "http/listener.h"
#include "http/output_buffer.h"
#include "http/request_head.h"
#include "http/server.h"

typedef struct Connection Connection;

/* Bytes that are received at once. */
#define HTTP_RECEIVE_BYTES ((size_t)32 << 10)

struct HttpServer
{
  Loop *loop;
  const HttpServerEvents *events;
  void *data;
  size_t max_body_bytes;
  size_t max_header_bytes;
  BufferQuota *body_quota;
  int64_t read_timeout_ms;
  int64_t idle_timeout_ms;
  int64_t take_timeout_ms;
  char *timeout_body;
  char *receive_buffer; /* of the connection that is being read */
  bool close_after_response;
  bool stopping; /* no request is reported any more */
  int hangup_fd; /* epoll set that reports clients that close their connection while their request is
                     being answered, when nothing is read */
  struct tevent_fd *hangup_event;
  Listener *listener;
  List connections;
  List idle;            /* of Connection, by idle_node: between requests, the longest idle first */
  size_t n_connections; /* at most one more than max_connections */
  size_t max_connections;
  bool has_no_room; /* bytes are on the way on all idle connections */
  size_t open_calls;
};

struct Connection
{
  ListNode node;
  ListNode idle_node;
  bool is_idle; /* in the server's list */
  HttpServer *server;
  HttpCall *call; /* NULL between requests */
  int fd;
  struct tevent_fd *event;
  struct tevent_immediate *progress_event;
  http_parser parser;
  HeadScan scan; /* of the request that the parser reads */
  char *unread;  /* bytes behind the request that is being answered; NULL: none */
  size_t n_unread;
  OutputBuffer output;
  int64_t taken_ms; /* when the socket took bytes of the output last, or the output was empty */
  bool is_draining; /* the last response has been sent; what the client still sends is discarded */
  size_t drained_bytes;
  int64_t idle_since_ms; /* start of the connection, or end of its last request */
  int64_t idle_limit_ms; /* that was in force then */
};

struct HttpCall
{
  HttpServer *server;
  Connection *connection;
  void *data;
  const char *method;
  RequestHead head;
  size_t raw_head_bytes; /* as received, with blanks that the head does not count */
  int64_t started_us;
  int64_t started_ms;
  int64_t deadline_ms; /* of the client; 0: unknown */
  char *body;
  size_t body_len;
  size_t body_quota_bytes; /* acquired for it */
  HttpFault fault;
  int n_spared;       /* sweeps that found it late, but with bytes that were not read */
  bool head_complete; /* header lines that follow are trailers */
  bool received;      /* nothing more is read for it */
  bool delivered;     /* the request event was reported */
  bool
      keep_alive; /* the client wants to reuse the connection, and it can be told where the request ends */
  bool accepts_chunks;
  bool has_response;
  bool has_body; /* the response may have one */
  bool is_chunked;
  bool aborted;
  bool client_gone;
  bool ended; /* the response is complete */
  bool write_blocked;
};

/** Takes a connection over that has been accepted. */
void connection_add (HttpServer *server, int fd);

/** Closes the connection. Its call, if any, is reported as closed. */
void connection_close (Connection *connection);

/** The connection waits for its next request from now on. */
void connection_set_idle (Connection *connection);

/** A request has begun on the connection, or it is about to end. */
void connection_set_busy (Connection *connection);

/** Makes room for a connection, if there are as many as are allowed, by closing the one that has been idle for longest. */
void server_make_room (HttpServer *server);

/** @return whether the client takes none of a response that waits for it, or is past its deadline. */
bool connection_is_taken_too_slowly (Connection *connection, int64_t now_ms);

/** As connection_close(), so that no response can look complete. What the client has not taken is discarded. */
void connection_reset (Connection *connection);

/** Sends what waits, and goes on with the connection, once the loop has returned from the current event. */
void connection_schedule_progress (Connection *connection);

/** @return whether bytes have arrived that were not read. */
bool connection_has_unread_bytes (const Connection *connection);

/** Starts to expect a request. */
void request_parser_init (Connection *connection);

/** Reads bytes of requests, at most up to the end of one; sets up the connection's call and delivers it when it is
 * complete. @return the number of bytes read; the rest belongs to later requests. */
size_t request_parser_read (Connection *connection, const char *bytes, size_t len);

/** The head is known: checks what does not depend on the body. @return false if the body must not be read. */
bool call_check_head (HttpCall *call);

/** @return whether the client sends its body only after "100 Continue". */
bool call_waits_to_send (const HttpCall *call);

HttpCall *call_new (Connection *connection);
void call_append_body (HttpCall *call, const char *bytes, size_t len);

/** Reports the request, unless its client has left. @return false if the connection must be closed. */
bool call_deliver (HttpCall *call);

/** Handles a client that has closed its connection: reports client_gone and aborts the call. */
void call_client_gone (HttpCall *call);

/** The last of a call: reports closed if it was delivered, and frees it. */
void call_finish (HttpCall *call);
