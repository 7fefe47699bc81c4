/* Who may hold how many bytes of responses, and who goes on when some are released. */
#include <stdio.h>
#include <string.h>

#include <talloc.h>

#include "fakes/virtual_timers.h"
#include "harness.h"
#include "relay/response_room.h"

#define KB(n)         ((size_t)(n) << 10)
#define LIMIT         KB (1000)
#define ACCOUNT_LIMIT KB (500)
#define N_CLAIMS      12

typedef struct
{
  VirtualTimers *vt;
  ResponseRoom *room;
  RoomClaim *claims[N_CLAIMS];
  char granted[64]; /* letters of the claims, in the order in which they were granted */
  void *releases;   /* a claim that the next granted() frees */
} Fixture;

typedef struct
{
  Fixture *fixture;
  char letter;
} Owner;

static void
on_granted (void *data)
{
  Owner *o = data;
  Fixture *f = o->fixture;
  size_t len = strlen (f->granted);

  snprintf (f->granted + len, sizeof f->granted - len, "%c", o->letter);
  TALLOC_FREE (f->releases);
}

static Fixture *
fixture_new (void)
{
  Fixture *f = talloc_zero (NULL, Fixture);

  f->vt = virtual_timers_new (f, 1000);
  f->room = response_room_new (f, &(ResponseRoomOptions){ .timers = virtual_timers_service (f->vt),
                                                          .limit_bytes = LIMIT,
                                                          .account_limit_bytes = ACCOUNT_LIMIT });
  return f;
}

static void
fixture_free (Fixture *f)
{
  for (int i = 0; i < N_CLAIMS; i++)
    talloc_free (f->claims[i]);
  CU_ASSERT_EQUAL (response_room_used_bytes (f->room), 0);
  talloc_free (f);
}

/* @return whether the claim "a", "b" and so on by @p i has its bytes at once. */
static bool
claim (Fixture *f, int i, const char *account, size_t bytes)
{
  Owner *o = talloc (f, Owner);

  *o = (Owner){ f, (char)('a' + i) };
  f->claims[i] = room_claim_new (NULL, f->room, account, on_granted, o);
  return room_claim_reserve (f->claims[i], bytes, bytes);
}

static void
release (Fixture *f, int i)
{
  TALLOC_FREE (f->claims[i]);
  virtual_timers_run (f->vt, timers_now_ms (virtual_timers_service (f->vt)) + 1);
}

/* Guards against memory that grows with the number of clients which take their responses slowly. */
static void
responses_hold_no_more_than_the_limit (void)
{
  static const char *const ACCOUNTS[] = { "x", "y", "z" };
  Fixture *f = fixture_new ();
  int n = 0;

  for (int i = 0; i < N_CLAIMS; i++)
    n += claim (f, i, ACCOUNTS[i % 3], KB (150));
  CU_ASSERT_EQUAL (n, 6);
  CU_ASSERT_EQUAL (response_room_used_bytes (f->room), 6 * KB (150));
  release (f, 0);
  CU_ASSERT_STRING_EQUAL (f->granted, "g");
  release (f, 1);
  release (f, 2);
  CU_ASSERT_STRING_EQUAL (f->granted, "ghi");
  CU_ASSERT (response_room_used_bytes (f->room) <= LIMIT);
  fixture_free (f);
}

/* Guards against one client account whose clients take nothing, so that no response to another one is read on. */
static void
account_that_has_its_part_lets_others_pass (void)
{
  Fixture *f = fixture_new ();

  CU_ASSERT (claim (f, 0, "slow", KB (400)));
  CU_ASSERT_FALSE (claim (f, 1, "slow", KB (400)));
  CU_ASSERT_FALSE (claim (f, 2, "slow", KB (200)));
  claim (f, 3, "other", KB (400));
  claim (f, 4, NULL, KB (100));
  virtual_timers_run (f->vt, 2000);
  CU_ASSERT_STRING_EQUAL (f->granted, "de");
  release (f, 0);
  CU_ASSERT_STRING_EQUAL (f->granted, "deb");
  fixture_free (f);
}

/* Guards against a large response that waits for ever, because smaller ones that came later take what is released. */
static void
room_is_given_in_the_order_of_asking (void)
{
  Fixture *f = fixture_new ();

  CU_ASSERT (claim (f, 0, "x", KB (450)));
  CU_ASSERT (claim (f, 1, "y", KB (450)));
  CU_ASSERT_FALSE (claim (f, 2, "z", KB (480)));
  CU_ASSERT_FALSE (claim (f, 3, "u", KB (50)));
  virtual_timers_run (f->vt, 2000);
  CU_ASSERT_STRING_EQUAL (f->granted, "");
  release (f, 0);
  CU_ASSERT_STRING_EQUAL (f->granted, "cd");
  fixture_free (f);
}

/* Guards against small responses, such as those of bookings, that wait for large ones. */
static void
small_responses_do_not_wait (void)
{
  Fixture *f = fixture_new ();

  claim (f, 0, "x", KB (500));
  claim (f, 1, "y", KB (500));
  CU_ASSERT_FALSE (claim (f, 2, "z", KB (20)));
  CU_ASSERT (claim (f, 3, "x", RESPONSE_ROOM_SMALL_BYTES));
  CU_ASSERT (room_claim_reserve (f->claims[3], 100, KB (4000)));
  fixture_free (f);
}

/* Guards against a response that can never be read, as it is larger than the room, or than its account's part. */
static void
response_larger_than_the_room_is_let_in_alone (void)
{
  Fixture *f = fixture_new ();

  CU_ASSERT (claim (f, 0, "x", KB (600)));
  release (f, 0);
  CU_ASSERT (claim (f, 1, "x", KB (2000)));
  CU_ASSERT_FALSE (claim (f, 2, "y", KB (20)));
  release (f, 1);
  CU_ASSERT_STRING_EQUAL (f->granted, "c");
  fixture_free (f);
}

/* Guards against responses that begin together, hold a part each, and wait for each other. */
static void
response_that_has_begun_can_end (void)
{
  Fixture *f = fixture_new ();

  CU_ASSERT (claim (f, 0, "x", 1));
  CU_ASSERT (claim (f, 1, "y", 1));
  CU_ASSERT (room_claim_reserve (f->claims[0], KB (17), KB (400)));
  CU_ASSERT (room_claim_reserve (f->claims[1], KB (17), KB (400)));
  CU_ASSERT_EQUAL (response_room_used_bytes (f->room), KB (800));
  CU_ASSERT_FALSE (claim (f, 2, "z", KB (400)));
  CU_ASSERT (room_claim_reserve (f->claims[0], KB (400), KB (400)));
  CU_ASSERT (room_claim_reserve (f->claims[1], KB (400), KB (400)));
  room_claim_settle (f->claims[0], KB (100));
  virtual_timers_run (f->vt, 2000);
  CU_ASSERT_STRING_EQUAL (f->granted, "c");
  fixture_free (f);
}

/* Guards against a claim that is granted after it was freed, or after its response ended while it waited. */
static void
claims_that_end_while_they_wait_get_nothing (void)
{
  Fixture *f = fixture_new ();

  claim (f, 0, "x", KB (500));
  claim (f, 1, "y", KB (500));
  for (int i = 2; i < 6; i++)
    CU_ASSERT_FALSE (claim (f, i, "z", KB (100)));
  TALLOC_FREE (f->claims[2]);
  room_claim_settle (f->claims[3], 0);
  f->releases = f->claims[5];
  f->claims[5] = NULL;
  release (f, 0);
  CU_ASSERT_STRING_EQUAL (f->granted, "e");
  CU_ASSERT_EQUAL (response_room_used_bytes (f->room), KB (600));
  fixture_free (f);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "responses_hold_no_more_than_the_limit", responses_hold_no_more_than_the_limit },
    { "account_that_has_its_part_lets_others_pass", account_that_has_its_part_lets_others_pass },
    { "room_is_given_in_the_order_of_asking", room_is_given_in_the_order_of_asking },
    { "small_responses_do_not_wait", small_responses_do_not_wait },
    { "response_larger_than_the_room_is_let_in_alone",
      response_larger_than_the_room_is_let_in_alone },
    { "response_that_has_begun_can_end", response_that_has_begun_can_end },
    { "claims_that_end_while_they_wait_get_nothing", claims_that_end_while_they_wait_get_nothing },
  };

  return harness_run ("response_room", CASES, sizeof CASES / sizeof CASES[0]);
}
