/** @file
 * The point at which an attempt to send a request to a backend server failed. */
#pragma once

typedef enum
{
  FAIL_BEFORE_CONNECT,     /* no network operation was started */
  FAIL_CONNECT,            /* no connection was established; no byte was sent */
  FAIL_REJECTED,           /* the server stated that it did not run the request */
  FAIL_PARTLY_SENT,        /* the server may have received part of the request */
  FAIL_NO_RESPONSE,        /* the request was sent, in a time-out maybe only in part; no response */
  FAIL_RESPONSE_TRUNCATED, /* the response is incomplete or invalid */
  FAIL_RESPONSE_MISMATCHED /* the response belongs to another request */
} FailurePoint;
