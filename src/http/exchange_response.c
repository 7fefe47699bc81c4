/* What is known of the response of an exchange: its head, and how far it has come. */
#include "http/client_impl.h"

#include <string.h>
#include <strings.h>

static const char *
find_header (HttpExchange *x, const char *name, unsigned origin)
{
  struct curl_header *header;

  if (curl_easy_header (x->easy, name, 0, origin, -1, &header) != CURLHE_OK)
    return NULL;
  return header->value;
}

const char *
http_exchange_header (HttpExchange *x, const char *name)
{
  return find_header (x, name, CURLH_HEADER);
}

const char *
http_exchange_interim_header (HttpExchange *x, const char *name)
{
  return find_header (x, name, CURLH_1XX);
}

void
http_exchange_each_header (HttpExchange *x,
                           void (*fn) (void *data, const char *name, const char *value), void *data)
{
  struct curl_header *header = NULL;

  while ((header = curl_easy_nextheader (x->easy, CURLH_HEADER, -1, header)))
    fn (data, header->name, header->value);
}

bool
http_exchange_opened_connection (HttpExchange *x)
{
  long connects = 0;

  curl_easy_getinfo (x->easy, CURLINFO_NUM_CONNECTS, &connects);
  return connects > 0;
}

int
http_exchange_status (HttpExchange *x)
{
  long status = 0;

  curl_easy_getinfo (x->easy, CURLINFO_RESPONSE_CODE, &status);
  return (int)status;
}

int
http_exchange_tunnel_status (HttpExchange *x)
{
  long status = 0;

  curl_easy_getinfo (x->easy, CURLINFO_HTTP_CONNECTCODE, &status);
  return (int)status;
}

HttpResult
exchange_failure (HttpExchange *x, bool timed_out)
{
  curl_off_t uploaded = 0;

  if (x->response_started)
    return timed_out ? HTTP_TIMED_OUT_PARTIAL : HTTP_FAILED_PARTIAL;
  if (!x->request_started)
    return timed_out ? HTTP_TIMED_OUT_CONNECT : HTTP_FAILED_CONNECT;
  if (timed_out)
    return HTTP_TIMED_OUT_NO_RESPONSE;
  curl_easy_getinfo (x->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  return (size_t)uploaded < x->body_len ? HTTP_FAILED_SENDING : HTTP_FAILED_NO_RESPONSE;
}

HttpResult
http_exchange_failure_point (HttpExchange *x)
{
  return exchange_failure (x, false);
}

static bool
is_chunked (HttpExchange *x)
{
  const char *codings = find_header (x, "Transfer-Encoding", CURLH_HEADER);
  const char *last = codings ? strrchr (codings, ',') : NULL;

  last = last ? last + 1 : codings;
  if (last)
    last += strspn (last, " \t");
  return last && !strncasecmp (last, "chunked", 7);
}

/* libcurl goes on without a length if it can't use the stated one. */
static bool
has_length (HttpExchange *x)
{
  curl_off_t length = -1;

  curl_easy_getinfo (x->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  return length >= 0;
}

bool
http_exchange_has_framed_end (HttpExchange *x)
{
  int status = http_exchange_status (x);

  return x->is_head || status == 204 || status == 304 || is_chunked (x) || has_length (x);
}

/* A server that closes its connection with a part of the request still on the way resets it then, and only its kernel knows
 * whether its response had come to an end: libcurl sees the end in order that comes first. */
static bool
request_was_read (HttpExchange *x)
{
  curl_off_t uploaded = 0;

  curl_easy_getinfo (x->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  return (size_t)uploaded == x->body_len && !x->closed_unread;
}

/* @return whether all of a response with a length has come, although the rest of its request could not be sent. */
static bool
has_come_whole (HttpExchange *x, CURLcode code)
{
  curl_off_t length = -1;
  curl_off_t received = 0;

  if (code != CURLE_SEND_ERROR || x->is_head || is_chunked (x))
    return false;
  curl_easy_getinfo (x->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  curl_easy_getinfo (x->easy, CURLINFO_SIZE_DOWNLOAD_T, &received);
  return length >= 0 && received == length;
}

HttpResult
exchange_result (HttpExchange *x, CURLcode code)
{
  bool is_complete = (code == CURLE_OK || has_come_whole (x, code)) && !x->aborted;

  /* libcurl takes a connection that is closed in the middle of a head for the end of a response without a body. */
  if (is_complete && x->head_complete
      && (http_exchange_has_framed_end (x) || (x->proves_end && request_was_read (x))))
    return HTTP_COMPLETE;
  return exchange_failure (x, code == CURLE_OPERATION_TIMEDOUT || x->timed_out);
}
