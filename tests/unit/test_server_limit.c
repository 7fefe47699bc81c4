/* Servers that name a limit: the rate of requests that they accept from all hosts together. */
#include <stdio.h>
#include <string.h>

#include "harness.h"
#include "limit_fleet.h"

/* Time after the first statement of a limit in which it must come into force. */
#define CONTACT_MS 3000

static const LimitFleetOptions FLEETS[] = {
  { .hosts = 9, .servers = 18, .requests_per_s = 150, .data_centres = 3, .seed = 1 },
  { .hosts = 84, .servers = 60, .requests_per_s = 440, .data_centres = 6, .seed = 2 },
  { .hosts = 350, .servers = 150, .requests_per_s = 650, .data_centres = 5, .seed = 3 },
};

/* Guards against a server that gets far more than the limit that it has named, summed over all hosts. */
static void
hosts_together_stay_within_a_server_limit (void)
{
  static const double LIMITS[] = { 0.2, 1.2, 1.6, 4 };

  for (size_t i = 0; i < sizeof FLEETS / sizeof FLEETS[0]; i++)
    {
      LimitFleet *f = limit_fleet_new (&FLEETS[i]);
      int64_t from_ms;

      limit_fleet_run (f, 3000);
      for (int s = 0; s < 4; s++)
        limit_fleet_set_limit (f, s, LIMITS[s]);
      from_ms = f->now_ms + CONTACT_MS;
      limit_fleet_run (f, 15000);
      for (int s = 0; s < 4; s++)
        CU_ASSERT (limit_fleet_worst_window (f, s, from_ms) <= limit_fleet_allowed (LIMITS[s]));
      CU_ASSERT_EQUAL (f->refused, 0);
      limit_fleet_free (f);
    }
}

int
main (int argc, char **argv)
{
  static const TestCase CASES[] = { { "hosts_together_stay_within_a_server_limit",
                                      hosts_together_stay_within_a_server_limit } };
  bool known_red = argc > 1 && !strcmp (argv[1], "known-red");

  return harness_run ("server_limit", CASES, known_red ? 1 : 0);
}
