#include "ticket/ticket_submit.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "ticket/objects.h"

#define PAGE_ROWS  500
#define MAX_ROUNDS 8
#define BACKOFF_MS 150

typedef struct
{
  SubmitOptions options;
  const Ticket *ticket;
  SubmitFn done;
  void *data;
  TicketObjects *objects;
  TicketHead head;
  int64_t head_version;
  bool number_taken; /* by a ticket with another content */
  bool number_ours;
  char *page_from;
  int rounds;
  bool may_be_done; /* an earlier transaction had no answer */
} Submit;

static void read_rows (Submit *s);

const char *
submit_status_name (SubmitStatus status)
{
  switch (status)
    {
    case SUBMIT_ACCEPTED:
      return "accepted";
    case SUBMIT_ALREADY:
      return "already_accepted";
    case SUBMIT_REJECTED:
      return "rejected";
    case SUBMIT_FAILED:
      return "failed";
    case SUBMIT_UNKNOWN:
      break;
    }
  return "unknown";
}

static void
finish (Submit *s, SubmitResult *result)
{
  s->done (s->data, result);
  talloc_free (s);
}

static void
finish_error (Submit *s, SubmitStatus status, ErrKind kind, const char *detail)
{
  Err err = ERR_INIT;
  SubmitResult result = { .status = status, .err = &err };

  err_set (&err, kind, "%s", detail);
  finish (s, &result);
}

/* --- Checks ------------------------------------------------------------------------------ */

static bool
exists_after (const Submit *s, const char *type, const char *name)
{
  char *row = talloc_asprintf (NULL, TICKET_OBJECT_PREFIX "%s/%s", type, name);
  const TicketObject *o = ticket_find (s->ticket, row);

  talloc_free (row);
  return o ? o->value != NULL : ticket_objects_value (s->objects, type, name) != NULL;
}

/* @return false if another ticket with a number as high or higher has written the object. */
static bool
check_order (Submit *s, const TicketObject *o)
{
  int64_t winner = ticket_objects_ticket (s->objects, o->key);
  Err err = ERR_INIT;
  SubmitResult result
      = { .status = SUBMIT_REJECTED, .object = o->key, .winner = winner, .err = &err };

  if (winner < (int64_t)s->ticket->number)
    return true;
  err_set (&err, ERR_TICKET_CONFLICT, "%s was set by ticket %" PRId64, o->key, winner);
  finish (s, &result);
  return false;
}

/* @return what is wrong with a budget's account, a talloc string, or NULL. */
static char *
account_fault (Submit *s, const TicketObject *o, const char *account)
{
  const char *other = ticket_objects_budget (s->objects, account, o->name);
  char *row = talloc_asprintf (s, TICKET_OBJECT_PREFIX "budget/%s", other ? other : "");
  bool stays = other && !ticket_find (s->ticket, row);

  talloc_free (row);
  if (!exists_after (s, "account", account))
    return talloc_asprintf (s,
                            "budget \"%s\" (line %d): account \"%s\" neither exists nor is in the "
                            "ticket",
                            o->name, o->line, account);
  if (stays)
    return talloc_asprintf (s,
                            "budget \"%s\" (line %d): account \"%s\" has the budget \"%s\" already",
                            o->name, o->line, account, other);
  return NULL;
}

static bool
check_account (Submit *s, const TicketObject *o)
{
  json_t *json = o->value ? json_loads (o->value, 0, NULL) : NULL;
  const char *account = json_string_value (json_object_get (json, "account"));
  char *fault = account && !strcmp (o->type, "budget") ? account_fault (s, o, account) : NULL;

  json_decref (json);
  if (!fault)
    return true;
  finish_error (s, SUBMIT_REJECTED, ERR_BAD_TICKET, fault);
  return false;
}

/* @return whether the ticket is still to be written; else it has been answered. */
static bool
check (Submit *s)
{
  SubmitResult done
      = { .status = s->may_be_done ? SUBMIT_ACCEPTED : SUBMIT_ALREADY, .seq = s->head.seq };

  if (s->number_ours)
    {
      finish (s, &done);
      return false;
    }
  if (s->number_taken)
    {
      finish_error (s, SUBMIT_REJECTED, ERR_TICKET_CONFLICT,
                    "a ticket of this number with other content was accepted");
      return false;
    }
  for (size_t i = 0; i < s->ticket->n_objects; i++)
    if (!check_order (s, &s->ticket->objects[i]) || !check_account (s, &s->ticket->objects[i]))
      return false;
  return true;
}

/* --- Transaction ------------------------------------------------------------------------- */

static void
on_again (void *data)
{
  read_rows (data);
}

static void
try_again (Submit *s)
{
  if (++s->rounds >= MAX_ROUNDS)
    {
      finish_error (s, s->may_be_done ? SUBMIT_UNKNOWN : SUBMIT_FAILED, ERR_PLATFORM_UNAVAILABLE,
                    "the store does not answer, or other tickets keep winning.");
      return;
    }
  timers_start (s->options.timers, s, BACKOFF_MS + (int64_t)rng_below (s->options.rng, BACKOFF_MS),
                on_again, s);
}

static void
on_written (void *data, const StoreReply *reply)
{
  Submit *s = data;
  SubmitResult done = { .status = SUBMIT_ACCEPTED, .seq = s->head.seq + 1 };

  if (reply->result == STORE_DONE)
    {
      finish (s, &done);
      return;
    }
  if (reply->result == STORE_UNKNOWN)
    s->may_be_done = true;
  try_again (s);
}

static StoreWrite
write_of (const void *ctx, const char *row, char *value)
{
  return (StoreWrite){ { TICKET_TABLE, "", talloc_strdup (ctx, row) }, value, strlen (value) };
}

static char *
object_value (const void *ctx, const Submit *s, const TicketObject *o)
{
  if (!o->value)
    return talloc_asprintf (ctx, "{\"ticket\":%" PRIu64 "}", s->ticket->number);
  return talloc_asprintf (ctx, "{\"ticket\":%" PRIu64 ",\"value\":%s}", s->ticket->number,
                          o->value);
}

static void
write_ticket (Submit *s)
{
  const Ticket *t = s->ticket;
  void *tmp = talloc_new (s);
  StoreCheck check = { { TICKET_TABLE, "", TICKET_HEAD_ROW }, s->head_version };
  StoreWrite *writes = talloc_array (tmp, StoreWrite, t->n_objects + 2);
  char *number = talloc_asprintf (tmp, TICKET_NUMBER_PREFIX "%" PRIu64, t->number);
  StoreTxn txn = { .checks = &check, .n_checks = 1, .writes = writes };

  for (size_t i = 0; i < t->n_objects; i++)
    writes[txn.n_writes++]
        = write_of (tmp, t->objects[i].key, object_value (tmp, s, &t->objects[i]));
  writes[txn.n_writes++]
      = write_of (tmp, number, talloc_asprintf (tmp, "{\"hash\":\"%s\"}", t->hash));
  writes[txn.n_writes++]
      = write_of (tmp, TICKET_HEAD_ROW,
                  talloc_asprintf (tmp, "{\"seq\":%" PRId64 ",\"ticket\":%" PRIu64 "}",
                                   s->head.seq + 1, t->number));
  store_txn (s->options.store, s, &txn, on_written, s);
  talloc_free (tmp);
}

/* --- Rows -------------------------------------------------------------------------------- */

static void
take_number (Submit *s, const StoreRow *row)
{
  json_t *json = json_loadb (row->value, row->len, 0, NULL);
  const char *hash = json_string_value (json_object_get (json, "hash"));

  if (strtoull (row->key.name + strlen (TICKET_NUMBER_PREFIX), NULL, 10) == s->ticket->number)
    {
      s->number_ours = hash && !strcmp (hash, s->ticket->hash);
      s->number_taken = !s->number_ours;
    }
  json_decref (json);
}

static void
take_row (Submit *s, const StoreRow *row)
{
  const char *name = row->key.name;

  if (!strcmp (name, TICKET_HEAD_ROW))
    {
      ticket_head_read (row->value, row->len, &s->head);
      s->head_version = row->version;
    }
  else if (!strncmp (name, TICKET_NUMBER_PREFIX, strlen (TICKET_NUMBER_PREFIX)))
    take_number (s, row);
  else
    ticket_objects_set (s->objects, name, row->value, row->len);
}

static void
on_page (void *data, const StoreReply *reply)
{
  Submit *s = data;

  if (reply->result != STORE_DONE)
    {
      try_again (s);
      return;
    }
  for (size_t i = 0; i < reply->n_rows; i++)
    take_row (s, &reply->rows[i]);
  if (reply->has_more && reply->n_rows > 0)
    {
      StoreRange range = { .table = TICKET_TABLE, .partition = "", .limit = PAGE_ROWS };

      talloc_free (s->page_from);
      s->page_from = talloc_asprintf (s, "%s\x01", reply->rows[reply->n_rows - 1].key.name);
      range.from = s->page_from;
      store_range (s->options.store, s, &range, on_page, s);
      return;
    }
  if (check (s))
    write_ticket (s);
}

/* The head's version is read with the first page and checked by the transaction, so that nothing of what
 * was read can have changed in between. */
static void
read_rows (Submit *s)
{
  StoreRange range = { .table = TICKET_TABLE, .partition = "", .limit = PAGE_ROWS };

  talloc_free (s->objects);
  s->objects = ticket_objects_new (s);
  s->head = (TicketHead){ 0 };
  s->head_version = 0;
  s->number_ours = false;
  s->number_taken = false;
  store_range (s->options.store, s, &range, on_page, s);
}

void *
ticket_submit (const void *ctx, const SubmitOptions *options, const Ticket *ticket, SubmitFn done,
               void *data)
{
  Submit *s = talloc_zero (ctx, Submit);

  s->options = *options;
  s->ticket = ticket;
  s->done = done;
  s->data = data;
  read_rows (s);
  return s;
}
