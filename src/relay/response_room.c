#include "relay/response_room.h"

#include <glib.h>
#include <talloc.h>

#include "core/counter.h"
#include "core/list.h"

/* What the responses of a client account hold. */
typedef struct
{
  char *name;
  size_t used_bytes;
  unsigned n_claims;
} AccountUse;

struct ResponseRoom
{
  ResponseRoomOptions options;
  size_t used_bytes;
  GHashTable *accounts; /* AccountUse by name */
  List waiting;         /* of RoomClaim, in the order in which they asked */
  Timer *wake;          /* NULL: not due */
  Counter *held;
};

struct RoomClaim
{
  ResponseRoom *room;
  AccountUse *account;
  ListNode node; /* in the list of those that wait */
  bool is_waiting;
  size_t held_bytes;
  size_t wanted_bytes; /* while it waits */
  void (*granted) (void *data);
  void *data;
};

/* --- Bytes ------------------------------------------------------------------------------- */

/* A response that is larger than all of the room is let in alone. */
static bool
fits_room (const RoomClaim *c)
{
  const ResponseRoom *room = c->room;
  size_t others = room->used_bytes - c->held_bytes;

  return others == 0 || others + c->wanted_bytes <= room->options.limit_bytes;
}

static bool
fits_account (const RoomClaim *c)
{
  size_t others = c->account->used_bytes - c->held_bytes;

  return others == 0 || others + c->wanted_bytes <= c->room->options.account_limit_bytes;
}

static void
hold (RoomClaim *c, size_t bytes)
{
  ResponseRoom *room = c->room;

  counter_add (room->held, (int64_t)bytes - (int64_t)c->held_bytes);
  room->used_bytes = room->used_bytes - c->held_bytes + bytes;
  c->account->used_bytes = c->account->used_bytes - c->held_bytes + bytes;
  c->held_bytes = bytes;
}

/* --- Those that wait --------------------------------------------------------------------- */

static void
stop_waiting (RoomClaim *c)
{
  if (c->is_waiting)
    list_remove (&c->node);
  c->is_waiting = false;
}

/* An account that has used its part lets the others pass; for room of all, the first one is waited for. */
static RoomClaim *
first_that_fits (const ResponseRoom *room)
{
  for (ListNode *n = list_first (&room->waiting); n; n = list_next (&room->waiting, n))
    {
      RoomClaim *c = LIST_ENTRY (n, RoomClaim, node);

      if (!fits_account (c))
        continue;
      return fits_room (c) ? c : NULL;
    }
  return NULL;
}

static void
on_wake (void *data)
{
  ResponseRoom *room = data;
  RoomClaim *c;

  room->wake = NULL;
  while ((c = first_that_fits (room)))
    {
      stop_waiting (c);
      hold (c, c->wanted_bytes);
      c->granted (c->data);
    }
}

/* Not at once: the caller may be inside a callback of the response that ends. */
static void
schedule_wake (ResponseRoom *room)
{
  if (!room->wake && !list_is_empty (&room->waiting))
    room->wake = timers_start (room->options.timers, room, 0, on_wake, room);
}

/* --- Claims ------------------------------------------------------------------------------ */

static AccountUse *
get_account (ResponseRoom *room, const char *name)
{
  AccountUse *a = g_hash_table_lookup (room->accounts, name);

  if (a)
    return a;
  a = talloc_zero (room, AccountUse);
  a->name = talloc_strdup (a, name);
  g_hash_table_insert (room->accounts, a->name, a);
  return a;
}

static void
leave_account (RoomClaim *c)
{
  AccountUse *a = c->account;

  if (--a->n_claims > 0)
    return;
  g_hash_table_remove (c->room->accounts, a->name);
  talloc_free (a);
}

static int
claim_destroy (RoomClaim *c)
{
  stop_waiting (c);
  hold (c, 0);
  leave_account (c);
  schedule_wake (c->room);
  return 0;
}

RoomClaim *
room_claim_new (const void *ctx, ResponseRoom *room, const char *account,
                void (*granted) (void *data), void *data)
{
  RoomClaim *c = talloc_zero (ctx, RoomClaim);

  c->room = room;
  c->account = get_account (room, account ? account : "");
  c->account->n_claims++;
  c->granted = granted;
  c->data = data;
  talloc_set_destructor (c, claim_destroy);
  return c;
}

bool
room_claim_reserve (RoomClaim *c, size_t bytes, size_t most)
{
  if (c->is_waiting)
    return false;
  if (bytes <= c->held_bytes)
    return true;
  if (bytes <= RESPONSE_ROOM_SMALL_BYTES)
    {
      hold (c, bytes);
      return true;
    }
  c->wanted_bytes = most > bytes ? most : bytes;
  if (list_is_empty (&c->room->waiting) && fits_account (c) && fits_room (c))
    {
      hold (c, c->wanted_bytes);
      return true;
    }
  c->is_waiting = true;
  list_append (&c->room->waiting, &c->node);
  schedule_wake (c->room);
  return false;
}

void
room_claim_settle (RoomClaim *c, size_t bytes)
{
  stop_waiting (c);
  if (bytes < c->held_bytes)
    hold (c, bytes);
  schedule_wake (c->room);
}

/* --- Set-up ------------------------------------------------------------------------------ */

size_t
response_room_used_bytes (const ResponseRoom *room)
{
  return room->used_bytes;
}

static int
room_destroy (ResponseRoom *room)
{
  g_hash_table_unref (room->accounts);
  return 0;
}

ResponseRoom *
response_room_new (const void *ctx, const ResponseRoomOptions *options)
{
  ResponseRoom *room = talloc_zero (ctx, ResponseRoom);

  room->options = *options;
  room->accounts = g_hash_table_new (g_str_hash, g_str_equal);
  room->held = gauge_get ("pond_response_bytes", "",
                          "Bytes of responses that are read from servers or wait for clients.");
  list_init (&room->waiting);
  talloc_set_destructor (room, room_destroy);
  return room;
}
