/* Servers of several software versions in one service: a stream goes on only at the version that began it. */
#include <string.h>

#include "dispatch/server_version.h"
#include "harness.h"

/* Guards against two versions that are taken for one because of how their names are stored. */
static void
versions_are_told_apart_by_their_whole_names (void)
{
  char prefix[] = "0123456789012345678901234567890123456789012345678901234567890123";
  char longer[] = "0123456789012345678901234567890123456789012345678901234567890123x";
  char other[] = "0123456789012345678901234567890123456789012345678901234567890123y";
  const char *const names[] = { "", "v1", "v1 ", "V1", "v1.1", prefix, longer, other };
  char a[SERVER_VERSION_BYTES];
  char b[SERVER_VERSION_BYTES];

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    for (size_t j = 0; j < sizeof names / sizeof names[0]; j++)
      {
        server_version_set (a, names[i]);
        server_version_set (b, names[j]);
        CU_ASSERT_EQUAL (!strcmp (a, b), i == j);
      }
  server_version_set (a, longer);
  server_version_set (b, a);
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
  server_version_set (a, NULL);
  CU_ASSERT_STRING_EQUAL (a, "");
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "versions_are_told_apart_by_their_whole_names",
      versions_are_told_apart_by_their_whole_names },
  };

  return harness_run ("versions", CASES, sizeof CASES / sizeof CASES[0]);
}
