#include "ticket/ticket_submit.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <talloc.h>

#include "core/json_integer.h"
#include "ticket/ticket_objects.h"

#define PAGE_ROWS    500
#define MAX_ATTEMPTS 8
#define BACKOFF_MS   150 /* plus a random time of up to as much */

typedef struct
{
  SubmitOptions options;
  const Ticket *ticket;
  SubmitFn done;
  void *data;
  TicketObjects *objects;
  TicketHead head;
  int64_t head_version;
  bool number_reused;    /* a ticket with this number and other content was accepted */
  bool already_accepted; /* a ticket with this number and the same content was accepted */
  int64_t accepted_seq;  /* its sequence number; 0: its row, of an earlier release, does not tell */
  char *page_start;      /* where the page being read starts, unless it is the first */
  int attempts;
  bool may_be_accepted; /* a transaction was sent whose outcome is unknown */
} Submission;

static const IntegerRange SEQUENCE_NUMBERS = { 0, INT64_MAX };

static void read_rows (Submission *s);

const char *
submit_status_name (SubmitStatus status)
{
  switch (status)
    {
    case SUBMIT_ACCEPTED:
      return "accepted";
    case SUBMIT_ALREADY_ACCEPTED:
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
finish (Submission *s, SubmitResult *result)
{
  s->done (s->data, result);
  talloc_free (s);
}

static void
finish_error (Submission *s, SubmitStatus status, ErrKind kind, const char *detail)
{
  Err err = ERR_INIT;
  SubmitResult result = { .status = status, .err = &err };

  err_set (&err, kind, "%s", detail);
  finish (s, &result);
}

/* --- Checks ------------------------------------------------------------------------------ */

/* @return whether the object exists once the ticket has been applied. */
static bool
exists_after_ticket (const Submission *s, const char *type, const char *name)
{
  char *row = talloc_asprintf (NULL, TICKET_OBJECT_PREFIX "%s/%s", type, name);
  const TicketObject *o = ticket_find_object (s->ticket, row);

  talloc_free (row);
  return o ? o->value != NULL : ticket_objects_value (s->objects, type, name) != NULL;
}

/* @return false, after reporting a conflict, if the ticket that wrote the object last has an equal or higher
 * number. */
static bool
check_no_later_ticket (Submission *s, const TicketObject *o)
{
  int64_t other_ticket = ticket_objects_last_ticket (s->objects, o->key);
  Err err = ERR_INIT;
  SubmitResult result
      = { .status = SUBMIT_REJECTED, .object = o->key, .other_ticket = other_ticket, .err = &err };

  if (other_ticket < (int64_t)s->ticket->number)
    return true;
  err_set (&err, ERR_TICKET_CONFLICT, "%s was set by ticket %" PRId64, o->key, other_ticket);
  finish (s, &result);
  return false;
}

/* @return an error message, a talloc string, if the account of a budget does not exist or has another
 * budget already; else NULL. */
static char *
budget_account_error (Submission *s, const TicketObject *o, const char *account)
{
  const char *other = ticket_objects_other_budget (s->objects, account, o->name);
  char *row = talloc_asprintf (s, TICKET_OBJECT_PREFIX "budget/%s", other ? other : "");
  bool other_remains = other && !ticket_find_object (s->ticket, row);

  talloc_free (row);
  if (!exists_after_ticket (s, "account", account))
    return talloc_asprintf (s,
                            "budget \"%s\" (line %d): account \"%s\" neither exists nor is in the "
                            "ticket",
                            o->name, o->line, account);
  if (other_remains)
    return talloc_asprintf (s,
                            "budget \"%s\" (line %d): account \"%s\" already has the budget \"%s\"",
                            o->name, o->line, account, other);
  return NULL;
}

static bool
check_budget_account (Submission *s, const TicketObject *o)
{
  json_t *json = o->value ? json_loads (o->value, 0, NULL) : NULL;
  const char *account = json_string_value (json_object_get (json, "account"));
  char *error
      = account && !strcmp (o->type, "budget") ? budget_account_error (s, o, account) : NULL;

  json_decref (json);
  if (!error)
    return true;
  finish_error (s, SUBMIT_REJECTED, ERR_BAD_TICKET, error);
  return false;
}

/* @return true if the ticket is to be written; otherwise the result has been reported. */
static bool
check_ticket (Submission *s)
{
  SubmitResult done = { .status = s->may_be_accepted ? SUBMIT_ACCEPTED : SUBMIT_ALREADY_ACCEPTED,
                        .seq = s->accepted_seq > 0 ? s->accepted_seq : s->head.seq };

  if (s->already_accepted)
    {
      finish (s, &done);
      return false;
    }
  if (s->number_reused)
    {
      finish_error (
          s, SUBMIT_REJECTED, ERR_TICKET_CONFLICT,
          "another ticket with the same number and different content was already accepted");
      return false;
    }
  for (size_t i = 0; i < s->ticket->n_objects; i++)
    if (!check_no_later_ticket (s, &s->ticket->objects[i])
        || !check_budget_account (s, &s->ticket->objects[i]))
      return false;
  return true;
}

/* --- Transaction ------------------------------------------------------------------------- */

static void
on_backoff_over (void *data)
{
  read_rows (data);
}

static void
retry_submission (Submission *s)
{
  if (++s->attempts >= MAX_ATTEMPTS)
    {
      finish_error (
          s, s->may_be_accepted ? SUBMIT_UNKNOWN : SUBMIT_FAILED, ERR_PLATFORM_UNAVAILABLE,
          "the store did not respond, or other tickets were accepted first in each attempt.");
      return;
    }
  timers_start (s->options.timers, s, BACKOFF_MS + (int64_t)rng_below (s->options.rng, BACKOFF_MS),
                on_backoff_over, s);
}

static void
on_written (void *data, const StoreReply *reply)
{
  Submission *s = data;
  SubmitResult done = { .status = SUBMIT_ACCEPTED, .seq = s->head.seq + 1 };

  if (reply->result == STORE_DONE)
    {
      finish (s, &done);
      return;
    }
  if (reply->result == STORE_UNKNOWN)
    s->may_be_accepted = true;
  retry_submission (s);
}

static StoreWrite
make_write (const void *ctx, const char *row, char *value)
{
  return (StoreWrite){ { TICKET_TABLE, "", talloc_strdup (ctx, row) }, value, strlen (value) };
}

static char *
object_row_value (const void *ctx, const Submission *s, const TicketObject *o)
{
  if (!o->value)
    return talloc_asprintf (ctx, "{\"ticket\":%" PRIu64 "}", s->ticket->number);
  return talloc_asprintf (ctx, "{\"ticket\":%" PRIu64 ",\"value\":%s}", s->ticket->number,
                          o->value);
}

static void
write_ticket (Submission *s)
{
  const Ticket *t = s->ticket;
  void *tmp = talloc_new (s);
  StoreCheck check = { { TICKET_TABLE, "", TICKET_HEAD_ROW }, s->head_version };
  StoreWrite *writes = talloc_array (tmp, StoreWrite, t->n_objects + 2);
  char *number = talloc_asprintf (tmp, TICKET_NUMBER_PREFIX "%" PRIu64, t->number);
  StoreTxn txn = { .checks = &check, .n_checks = 1, .writes = writes };

  for (size_t i = 0; i < t->n_objects; i++)
    writes[txn.n_writes++]
        = make_write (tmp, t->objects[i].key, object_row_value (tmp, s, &t->objects[i]));
  writes[txn.n_writes++] = make_write (
      tmp, number,
      talloc_asprintf (tmp, "{\"hash\":\"%s\",\"seq\":%" PRId64 "}", t->hash, s->head.seq + 1));
  writes[txn.n_writes++]
      = make_write (tmp, TICKET_HEAD_ROW,
                    talloc_asprintf (tmp, "{\"seq\":%" PRId64 ",\"ticket\":%" PRIu64 "}",
                                     s->head.seq + 1, t->number));
  store_txn (s->options.store, s, &txn, on_written, s);
  talloc_free (tmp);
}

/* --- Rows -------------------------------------------------------------------------------- */

static void
apply_number_row (Submission *s, const StoreRow *row)
{
  json_t *json = json_loadb (row->value, row->len, 0, NULL);
  const char *hash = json_string_value (json_object_get (json, "hash"));

  if (strtoull (row->key.name + strlen (TICKET_NUMBER_PREFIX), NULL, 10) == s->ticket->number)
    {
      s->already_accepted = hash && !strcmp (hash, s->ticket->hash);
      s->number_reused = !s->already_accepted;
      s->accepted_seq = json_integer_limited (json_object_get (json, "seq"), SEQUENCE_NUMBERS, 0);
    }
  json_decref (json);
}

static void
apply_row (Submission *s, const StoreRow *row)
{
  const char *name = row->key.name;

  if (!strcmp (name, TICKET_HEAD_ROW))
    {
      ticket_head_parse (row->value, row->len, &s->head);
      s->head_version = row->version;
    }
  else if (!strncmp (name, TICKET_NUMBER_PREFIX, strlen (TICKET_NUMBER_PREFIX)))
    apply_number_row (s, row);
  else
    ticket_objects_set (s->objects, name, row->value, row->len);
}

static void
on_page (void *data, const StoreReply *reply)
{
  Submission *s = data;

  if (reply->result != STORE_DONE)
    {
      retry_submission (s);
      return;
    }
  for (size_t i = 0; i < reply->n_rows; i++)
    apply_row (s, &reply->rows[i]);
  if (reply->has_more && reply->n_rows > 0)
    {
      StoreRange range = { .table = TICKET_TABLE, .partition = "", .limit = PAGE_ROWS };

      talloc_free (s->page_start);
      s->page_start = talloc_asprintf (s, "%s\x01", reply->rows[reply->n_rows - 1].key.name);
      range.from = s->page_start;
      store_range (s->options.store, s, &range, on_page, s);
      return;
    }
  if (check_ticket (s))
    write_ticket (s);
}

/* The transaction checks that the head row still has the version read with the first page. Every ticket
 * writes the head row, so no row that was read can have changed in the meantime. */
static void
read_rows (Submission *s)
{
  StoreRange range = { .table = TICKET_TABLE, .partition = "", .limit = PAGE_ROWS };

  talloc_free (s->objects);
  s->objects = ticket_objects_new (s);
  s->head = (TicketHead){ 0 };
  s->head_version = 0;
  s->already_accepted = false;
  s->number_reused = false;
  s->accepted_seq = 0;
  store_range (s->options.store, s, &range, on_page, s);
}

void *
ticket_submit (const void *ctx, const SubmitOptions *options, const Ticket *ticket, SubmitFn done,
               void *data)
{
  Submission *s = talloc_zero (ctx, Submission);

  s->options = *options;
  s->ticket = ticket;
  s->done = done;
  s->data = data;
  read_rows (s);
  return s;
}
