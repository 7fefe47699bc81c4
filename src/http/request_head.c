#include "http/request_head.h"

#include <string.h>
#include <strings.h>

#include <talloc.h>

#define FIRST_TEXT_BYTES 512
#define FIRST_LINES      16

/* Bytes of a header line other than its name and value: ": " and the end of the line. */
#define LINE_EXTRA_BYTES 4

void
request_head_drop (RequestHead *h)
{
  TALLOC_FREE (h->text);
  TALLOC_FREE (h->lines);
  h->text_len = 0;
  h->text_size = 0;
  h->n_lines = 0;
  h->lines_size = 0;
  h->is_too_large = true;
}

static void
append_text (RequestHead *h, const void *ctx, const char *bytes, size_t len)
{
  size_t size = h->text_size ? h->text_size : FIRST_TEXT_BYTES;

  while (size < h->text_len + len)
    size *= 2;
  if (size != h->text_size)
    {
      h->text = talloc_realloc_size (ctx, h->text, size);
      h->text_size = size;
    }
  memcpy (h->text + h->text_len, bytes, len);
  h->text_len += len;
}

/* Blanks behind a value are no part of it. */
static void
trim_value (RequestHead *h)
{
  const char *start = h->text + h->lines[h->n_lines - 1].value;

  while (h->text + h->text_len > start
         && (h->text[h->text_len - 1] == ' ' || h->text[h->text_len - 1] == '\t'))
    {
      h->text_len--;
      h->bytes--;
    }
}

static void
end_part (RequestHead *h, const void *ctx)
{
  if (h->part == REQUEST_HEAD_VALUE)
    trim_value (h);
  append_text (h, ctx, "", 1);
}

static void
begin_line (RequestHead *h, const void *ctx)
{
  if (h->n_lines == h->lines_size)
    {
      h->lines_size = h->lines_size ? 2 * h->lines_size : FIRST_LINES;
      h->lines = talloc_realloc (ctx, h->lines, RequestHeadLine, (unsigned)h->lines_size);
    }
  h->lines[h->n_lines++] = (RequestHeadLine){ .name = (uint32_t)h->text_len };
  h->bytes += LINE_EXTRA_BYTES;
}

static void
begin_part (RequestHead *h, const void *ctx, RequestHeadPart part)
{
  end_part (h, ctx);
  h->part = part;
  if (part == REQUEST_HEAD_NAME)
    begin_line (h, ctx);
  else
    h->lines[h->n_lines - 1].value = (uint32_t)h->text_len;
}

bool
request_head_add (RequestHead *h, const void *ctx, RequestHeadPart part, const char *bytes,
                  size_t len)
{
  if (h->is_too_large)
    return false;
  if (part != h->part)
    begin_part (h, ctx, part);
  h->bytes += len;
  if (h->bytes > h->max_bytes + len)
    {
      request_head_drop (h);
      return false;
    }
  append_text (h, ctx, bytes, len);
  return true;
}

void
request_head_complete (RequestHead *h, const void *ctx)
{
  if (h->is_too_large)
    return;
  end_part (h, ctx);
  if (h->bytes > h->max_bytes)
    request_head_drop (h);
}

const char *
request_head_target (const RequestHead *h)
{
  return h->text ? h->text : "";
}

const char *
request_head_value (const RequestHead *h, const char *name)
{
  for (size_t i = 0; i < h->n_lines; i++)
    if (!strcasecmp (h->text + h->lines[i].name, name))
      return h->text + h->lines[i].value;
  return NULL;
}

void
request_head_each (const RequestHead *h,
                   void (*fn) (void *data, const char *name, const char *value), void *data)
{
  for (size_t i = 0; i < h->n_lines; i++)
    fn (data, h->text + h->lines[i].name, h->text + h->lines[i].value);
}
