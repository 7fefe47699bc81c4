/** @file
 * The head of one request as it is received: its target and header lines, in one block of memory that grows with them.
 * It counts the bytes by which a head is limited, and drops what it holds once there are too many. One loop's thread. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  uint32_t name;  /* offset in the text */
  uint32_t value; /* the same */
} RequestHeadLine;

typedef enum
{
  REQUEST_HEAD_TARGET,
  REQUEST_HEAD_NAME,
  REQUEST_HEAD_VALUE
} RequestHeadPart;

typedef struct
{
  size_t max_bytes;
  size_t bytes; /* of the target, and of each line with ": " and its end */
  bool is_too_large;
  RequestHeadPart part; /* that bytes were added to last */
  char *text;           /* strings, each with its NUL */
  size_t text_len;
  size_t text_size;
  RequestHeadLine *lines;
  size_t n_lines;
  size_t lines_size;
} RequestHead;

/** Adds bytes of a part of the head; a part may come in pieces. Parts come in the order target, then name and value of
 * each line. @p ctx: owner of the memory, a talloc object. @return false once the head is too large. */
bool request_head_add (RequestHead *head, const void *ctx, RequestHeadPart part, const char *bytes,
                       size_t len);

/** Frees what was received; from then on the head is too large. */
void request_head_drop (RequestHead *head);

/** Ends the last part. To be called once, before the functions below. */
void request_head_complete (RequestHead *head, const void *ctx);

/** @return the target; empty if the head was too large. */
const char *request_head_target (const RequestHead *head);

/** @return the value of the first line with this name, in any case of letters; NULL if there is none. */
const char *request_head_value (const RequestHead *head, const char *name);

/** Calls @p fn for each line in the order received. */
void request_head_each (const RequestHead *head,
                        void (*fn) (void *data, const char *name, const char *value), void *data);
