/** @file
 * Checks the lines of a response's head as they came, and whether a part of another response can be in it: a server that has begun
 * a second answer to the request before leaves bytes on its connection to which the head of the next answer is joined
 * (RFC 9112, sections 4 and 5). One loop's thread. */
#pragma once

#include <stdbool.h>
#include <stddef.h>

typedef enum
{
  RESPONSE_HEAD_SOUND,
  RESPONSE_HEAD_BAD_STATUS_LINE,
  RESPONSE_HEAD_BAD_LINE, /* no name or colon, a name that is no token, a folded line, a control byte */
  RESPONSE_HEAD_BAD_LENGTH,   /* no number, or a second one */
  RESPONSE_HEAD_TWO_RESPONSES /* a status line within a line */
} ResponseHeadFault;

typedef struct
{
  bool
      is_reused; /* the connection has had an exchange before, so that bytes of its response may be left */
  bool has_status_line;
  bool has_length;
} ResponseHead;

/** Reads the next line, with its end. After the empty line of an interim (1xx) head the next head begins. */
ResponseHeadFault response_head_add_line (ResponseHead *head, const char *line, size_t len);

/** @return the name of the fault in log lines and counters. */
const char *response_head_fault_name (ResponseHeadFault fault);

/** @return whether a status line begins at @p at, of which @p len bytes are there. */
bool response_head_begins_at (const char *at, size_t len);
