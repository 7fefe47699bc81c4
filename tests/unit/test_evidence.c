/* Who is to blame for the ends of servers. */
#include <talloc.h>

#include "harness.h"
#include "quarantine/evidence.h"

#define MAX_KEYS 16

enum
{
  FIRST_PART = 1, /* that sound requests share */
  GUILTY_PART,
  OTHER_PART
};

static QuarantineKey
part (uint64_t id)
{
  return (QuarantineKey){ QUARANTINE_PROMPT_PART, id };
}

/* An exchange of a request with two parts is cut off. */
static void
cut (Evidence *e, uint64_t first, uint64_t second, uint64_t server, int64_t ms)
{
  QuarantineKey keys[] = { part (first), part (second) };
  EvidenceCut c = {
    .keys = keys, .n_keys = 2, .instance = server, .request = server * 100 + second, .cut_ms = ms
  };

  evidence_add_cut (e, &c);
}

/* As cut(), and the server has ended. */
static void
end (Evidence *e, uint64_t first, uint64_t second, uint64_t server, int64_t ms)
{
  cut (e, first, second, server, ms);
  evidence_add_end (e, server, ms);
}

/* @return the id of the key that is to blame, or 0. */
static uint64_t
judge (Evidence *e, int64_t ms)
{
  EvidenceVerdict v;
  size_t n;

  return evidence_judge (e, ms, &v, &n) ? v.key.id : 0;
}

static bool
sound (Evidence *e, uint64_t id, int64_t sent_ms)
{
  QuarantineKey key = part (id);

  return evidence_add_sound (e, &key, 1, sent_ms);
}

static void
third_end_at_another_time_decides (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);
  EvidenceVerdict v;
  size_t n;

  end (e, FIRST_PART, GUILTY_PART, 1, 1000);
  end (e, FIRST_PART, GUILTY_PART, 2, 2000);
  CU_ASSERT_EQUAL (judge (e, 5000), 0);
  end (e, FIRST_PART, GUILTY_PART, 3, 3000);
  CU_ASSERT (evidence_judge (e, 3000, &v, &n));
  CU_ASSERT_EQUAL (v.key.id, GUILTY_PART);
  CU_ASSERT_FALSE (v.in_doubt);
  CU_ASSERT_EQUAL (judge (e, 9000), 0);
  talloc_free (e);
}

/* Guards against blaming a part for connections that were reset while the servers went on. */
static void
cut_exchange_whose_server_goes_on_counts_nothing (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);

  for (uint64_t i = 1; i <= 6; i++)
    cut (e, FIRST_PART, GUILTY_PART, i, (int64_t)i * 1000);
  CU_ASSERT_EQUAL (judge (e, 7000), 0);
  talloc_free (e);
}

/* Guards against blaming a part for servers that lose power together. */
static void
servers_that_end_together_count_once (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);

  for (uint64_t i = 1; i <= 6; i++)
    end (e, FIRST_PART, GUILTY_PART, i, 1000 + (int64_t)i * 50);
  CU_ASSERT_EQUAL (judge (e, 9000), 0);
  talloc_free (e);
}

/* Guards against a part that ends all servers of a service each time they are back, and one end of which counts. */
static void
servers_that_end_together_twice_blame_a_part_in_doubt (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);
  EvidenceVerdict v;
  size_t n;

  for (uint64_t i = 1; i <= 3; i++)
    end (e, FIRST_PART, GUILTY_PART, i, 1000 + (int64_t)i * 50);
  end (e, FIRST_PART, GUILTY_PART, 4, 4000);
  CU_ASSERT_EQUAL (judge (e, 6000), 0);
  end (e, FIRST_PART, GUILTY_PART, 5, 4050);
  CU_ASSERT_EQUAL (judge (e, 6000), 0);
  CU_ASSERT (evidence_judge (e, 6500, &v, &n));
  CU_ASSERT_EQUAL (v.key.id, GUILTY_PART);
  CU_ASSERT (v.in_doubt);
  talloc_free (e);
}

/* Guards against a request that a host sends to one server after the other, all within half a second. */
static void
ends_under_one_request_that_is_repeated_count_each (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);
  QuarantineKey key = part (GUILTY_PART);
  EvidenceVerdict v;
  size_t n;

  for (uint64_t i = 1; i <= 3; i++)
    {
      EvidenceCut c = {
        .keys = &key, .n_keys = 1, .instance = i, .request = 7, .cut_ms = 1000 + (int64_t)i * 50
      };

      evidence_add_cut (e, &c);
      evidence_add_end (e, i, c.cut_ms);
    }
  CU_ASSERT (evidence_judge (e, 2000, &v, &n));
  CU_ASSERT_EQUAL (v.key.id, GUILTY_PART);
  CU_ASSERT (v.in_doubt);
  talloc_free (e);
}

/* Three servers end together under sends of the same request. */
static Evidence *
end_under_same_request (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);
  QuarantineKey keys[] = { part (FIRST_PART), { QUARANTINE_REQUEST, GUILTY_PART } };

  for (uint64_t i = 1; i <= 3; i++)
    {
      EvidenceCut c
          = { .keys = keys, .n_keys = 2, .instance = i, .request = i, .cut_ms = 1000 + (int64_t)i };

      evidence_add_cut (e, &c);
      evidence_add_end (e, i, c.cut_ms);
    }
  return e;
}

/* Guards against a request that ends all servers of a service at once and is then sent as before. */
static void
servers_that_end_together_under_the_same_request_blame_it_in_doubt (void)
{
  Evidence *e = end_under_same_request ();
  EvidenceVerdict v;
  size_t n;

  CU_ASSERT_EQUAL (judge (e, 1003), 0);
  CU_ASSERT_EQUAL (judge (e, 1502), 0);
  CU_ASSERT (evidence_judge (e, 1503, &v, &n));
  CU_ASSERT_EQUAL (v.key.kind, QUARANTINE_REQUEST);
  CU_ASSERT (v.in_doubt);
  CU_ASSERT_EQUAL (judge (e, 9000), 0);
  talloc_free (e);
}

static void
sound_answer_clears_the_same_request (void)
{
  Evidence *e = end_under_same_request ();
  QuarantineKey key = { QUARANTINE_REQUEST, GUILTY_PART };

  CU_ASSERT_EQUAL (judge (e, 1003), 0);
  CU_ASSERT (evidence_add_sound (e, &key, 1, 1500));
  CU_ASSERT_EQUAL (judge (e, 9000), 0);
  talloc_free (e);
}

/* Guards against a server that only refuses connections for a while, and whose resets then count as ends. */
static void
server_that_answers_again_has_not_ended (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);

  for (uint64_t i = 1; i <= 3; i++)
    {
      end (e, FIRST_PART, GUILTY_PART, i, (int64_t)i * 1000);
      evidence_add_alive (e, i, false, (int64_t)i * 1000 + 100);
    }
  CU_ASSERT_FALSE (evidence_has_ended (e, 1));
  CU_ASSERT_EQUAL (judge (e, 9000), 0);
  end (e, FIRST_PART, GUILTY_PART, 4, 4000);
  evidence_add_alive (e, 4, false, 3900);
  CU_ASSERT (evidence_has_ended (e, 4));
  talloc_free (e);
}

/* Guards against servers whose starts are not known, and which count only once, however often they end. */
static void
server_without_known_starts_counts_each_time (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);
  QuarantineKey key = part (GUILTY_PART);

  for (int64_t i = 1; i <= 3; i++)
    {
      EvidenceCut c = { .keys = &key,
                        .n_keys = 1,
                        .instance = 9,
                        .has_unknown_start = true,
                        .request = (uint64_t)i,
                        .cut_ms = i * 10000 };

      evidence_add_cut (e, &c);
      evidence_add_cut (e, &c);
      evidence_add_end (e, 9, c.cut_ms + 100);
      evidence_add_alive (e, 9, true, c.cut_ms + 5000);
    }
  CU_ASSERT_EQUAL (judge (e, 40000), GUILTY_PART);
  talloc_free (e);
}

/* Guards against ends that are proved late, all at once, and blame a part with sound answers in between. */
static void
sound_answer_clears_ends_that_are_proved_later (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);

  for (uint64_t i = 1; i <= 3; i++)
    cut (e, FIRST_PART, GUILTY_PART, i, (int64_t)i * 1000);
  CU_ASSERT (sound (e, FIRST_PART, 2500));
  for (uint64_t i = 1; i <= 3; i++)
    evidence_add_end (e, i, 4000);
  CU_ASSERT_EQUAL (judge (e, 4000), GUILTY_PART);
  CU_ASSERT_EQUAL (judge (e, 9000), 0);
  talloc_free (e);
}

static void
sound_answer_to_an_earlier_request_clears_nothing (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);

  for (uint64_t i = 1; i <= 3; i++)
    end (e, FIRST_PART, GUILTY_PART, i, (int64_t)i * 1000);
  CU_ASSERT_FALSE (sound (e, GUILTY_PART, 999));
  CU_ASSERT_EQUAL (judge (e, 4000), GUILTY_PART);
  talloc_free (e);
}

/* Guards against stopping everything when servers end for reasons of their own. */
static void
servers_are_to_blame_if_many_parts_look_guilty (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);

  for (uint64_t i = 1; i <= 3; i++)
    for (uint64_t p = 10; p < 14; p++)
      cut (e, p, p + 10, i, (int64_t)i * 1000);
  for (uint64_t i = 1; i <= 3; i++)
    evidence_add_end (e, i, (int64_t)i * 1000);
  CU_ASSERT_EQUAL (judge (e, 60000), 0);
  talloc_free (e);
}

/* Two parts look guilty: the one that stops fewer requests goes, once the other one could have been cleared. */
static void
first_part_is_given_time_to_be_cleared (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);

  for (uint64_t i = 1; i <= 3; i++)
    {
      cut (e, FIRST_PART, OTHER_PART + i, i, (int64_t)i * 1000);
      end (e, FIRST_PART, GUILTY_PART, i, (int64_t)i * 1000);
    }
  CU_ASSERT_EQUAL (judge (e, 3000), 0);
  CU_ASSERT_EQUAL (judge (e, 4000), GUILTY_PART);
  CU_ASSERT_EQUAL (judge (e, 9000), 0);
  talloc_free (e);
}

/* Guards against a caller that invents parts until a guilty one is forgotten. */
static void
invented_parts_displace_no_part_with_ends (void)
{
  Evidence *e = evidence_new (NULL, MAX_KEYS);

  end (e, FIRST_PART, GUILTY_PART, 1, 1000);
  end (e, FIRST_PART, GUILTY_PART, 2, 2000);
  for (uint64_t i = 0; i < 1000; i++)
    cut (e, 100 + 2 * i, 101 + 2 * i, 50 + i, 2500);
  CU_ASSERT_EQUAL (evidence_n_keys (e), MAX_KEYS);
  end (e, FIRST_PART, GUILTY_PART, 3, 3000);
  CU_ASSERT_EQUAL (judge (e, 3000), GUILTY_PART);
  talloc_free (e);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "third_end_at_another_time_decides", third_end_at_another_time_decides },
    { "cut_exchange_whose_server_goes_on_counts_nothing",
      cut_exchange_whose_server_goes_on_counts_nothing },
    { "servers_that_end_together_count_once", servers_that_end_together_count_once },
    { "servers_that_end_together_twice_blame_a_part_in_doubt",
      servers_that_end_together_twice_blame_a_part_in_doubt },
    { "ends_under_one_request_that_is_repeated_count_each",
      ends_under_one_request_that_is_repeated_count_each },
    { "servers_that_end_together_under_the_same_request_blame_it_in_doubt",
      servers_that_end_together_under_the_same_request_blame_it_in_doubt },
    { "sound_answer_clears_the_same_request", sound_answer_clears_the_same_request },
    { "server_that_answers_again_has_not_ended", server_that_answers_again_has_not_ended },
    { "server_without_known_starts_counts_each_time",
      server_without_known_starts_counts_each_time },
    { "sound_answer_clears_ends_that_are_proved_later",
      sound_answer_clears_ends_that_are_proved_later },
    { "sound_answer_to_an_earlier_request_clears_nothing",
      sound_answer_to_an_earlier_request_clears_nothing },
    { "servers_are_to_blame_if_many_parts_look_guilty",
      servers_are_to_blame_if_many_parts_look_guilty },
    { "first_part_is_given_time_to_be_cleared", first_part_is_given_time_to_be_cleared },
    { "invented_parts_displace_no_part_with_ends", invented_parts_displace_no_part_with_ends },
  };

  return harness_run ("evidence", CASES, sizeof CASES / sizeof CASES[0]);
}
