/** @file
 * Checks the bytes of a request's head for forms that readers understand in different ways, which the library's parser takes:
 * a name that is no token, such as one with a blank before its colon, a folded line, a bare CR, a control byte (RFC 9112, sections 2.2,
 * 5.1 and 5.2; RFC 9110, sections 5.5 and 5.6.2). One loop's thread. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  bool has_request_line;
  bool is_complete; /* the empty line behind the head has come */
  bool after_cr;
  bool in_name;    /* of a header line: before its colon */
  size_t line_len; /* bytes of the current line, without its end */
} HeadScan;

/** Reads bytes of a message, of which those behind the head are ignored. @return false if the head is malformed. */
bool head_scan (HeadScan *scan, const char *bytes, size_t len);
