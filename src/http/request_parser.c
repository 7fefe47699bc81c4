#include "http/server_impl.h"

#include <string.h>

#include <talloc.h>

/* A head above the limit is read up to this multiple of it, so that the client usually gets a response and can use
 * the connection again. */
#define MAX_HEAD_FACTOR 4

static Connection *
connection_of (http_parser *parser)
{
  return parser->data;
}

static int
on_target (http_parser *parser, const char *bytes, size_t len)
{
  Connection *c = connection_of (parser);

  if (!c->call)
    c->call = call_new (c);
  request_head_add (&c->call->head, c->call, REQUEST_HEAD_TARGET, bytes, len);
  return 0;
}

static int
add_to_line (http_parser *parser, RequestHeadPart part, const char *bytes, size_t len)
{
  HttpCall *call = connection_of (parser)->call;

  if (!call->head_complete)
    request_head_add (&call->head, call, part, bytes, len);
  return 0;
}

static int
on_name (http_parser *parser, const char *bytes, size_t len)
{
  return add_to_line (parser, REQUEST_HEAD_NAME, bytes, len);
}

static int
on_value (http_parser *parser, const char *bytes, size_t len)
{
  return add_to_line (parser, REQUEST_HEAD_VALUE, bytes, len);
}

static bool
is_version_1_1 (const http_parser *parser)
{
  return parser->http_major == 1 && parser->http_minor >= 1;
}

static const char CONTINUE[] = "HTTP/1.1 100 Continue\r\n\r\n";

static bool
has_body (const http_parser *parser)
{
  return (parser->flags & F_CHUNKED)
         || ((parser->flags & F_CONTENTLENGTH) && parser->content_length > 0);
}

static int
on_head_complete (http_parser *parser)
{
  Connection *c = connection_of (parser);
  HttpCall *call = c->call;

  call->head_complete = true;
  call->method = http_method_str ((enum http_method)parser->method);
  call->keep_alive = http_should_keep_alive (parser);
  call->accepts_chunks = is_version_1_1 (parser);
  request_head_complete (&call->head, call);
  if (parser->http_major != 1)
    call->fault = HTTP_FAULT_FRAMING;
  if (call_check_head (call))
    {
      if (call_waits_to_send (call) && call->accepts_chunks && has_body (parser))
        output_buffer_append (&c->output, c, CONTINUE, sizeof CONTINUE - 1);
      return 0;
    }
  call->received = true;
  call->keep_alive = false;
  http_parser_pause (parser, 1);
  return 0;
}

static int
on_body (http_parser *parser, const char *bytes, size_t len)
{
  call_append_body (connection_of (parser)->call, bytes, len);
  return 0;
}

static int
on_complete (http_parser *parser)
{
  connection_of (parser)->call->received = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings SETTINGS = { .on_url = on_target,
                                               .on_header_field = on_name,
                                               .on_header_value = on_value,
                                               .on_headers_complete = on_head_complete,
                                               .on_body = on_body,
                                               .on_message_complete = on_complete };

void
request_parser_init (Connection *c)
{
  http_parser_init (&c->parser, HTTP_REQUEST);
  c->parser.data = c;
  c->scan = (HeadScan){ 0 };
}

/* What follows cannot be told from the rest of this request. */
static void
fail (Connection *c, HttpFault fault)
{
  if (!c->call)
    c->call = call_new (c);
  if (!c->call->head_complete)
    request_head_drop (&c->call->head);
  if (!c->call->fault)
    c->call->fault = fault;
  c->call->received = true;
  c->call->keep_alive = false;
}

static void
limit_raw_head (Connection *c, size_t n)
{
  HttpCall *call = c->call;

  if (!call || call->head_complete)
    return;
  call->raw_head_bytes += n;
  if (call->raw_head_bytes > MAX_HEAD_FACTOR * c->server->max_header_bytes)
    fail (c, HTTP_FAULT_HEADERS_TOO_LARGE);
}

size_t
request_parser_read (Connection *c, const char *bytes, size_t len)
{
  enum http_errno error;
  size_t n;

  if (!head_scan (&c->scan, bytes, len))
    {
      fail (c, HTTP_FAULT_FRAMING);
      return len;
    }
  n = http_parser_execute (&c->parser, &SETTINGS, bytes, len);
  error = HTTP_PARSER_ERRNO (&c->parser);
  if (error != HPE_OK && error != HPE_PAUSED)
    {
      fail (c, HTTP_FAULT_FRAMING);
      return len;
    }
  limit_raw_head (c, n);
  return n;
}
