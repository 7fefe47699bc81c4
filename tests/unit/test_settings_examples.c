#include "harness.h"

#include <glob.h>
#include <string.h>

#include <talloc.h>

#include "settings/settings.h"
#include "ticket/ticket.h"

/* The patterns are relative: test programs run in the root of the source tree. */

static size_t
check_files (const char *pattern, bool tickets)
{
  glob_t files;
  size_t n;

  if (glob (pattern, 0, NULL, &files) != 0)
    return 0;
  n = files.gl_pathc;
  for (size_t i = 0; i < n; i++)
    {
      Problems *p = problems_new (NULL, files.gl_pathv[i]);
      void *read = tickets ? (void *)ticket_load (p, files.gl_pathv[i], p)
                           : (void *)settings_load (p, files.gl_pathv[i], p);

      CU_ASSERT_PTR_NOT_NULL (read);
      fputs (problems_print (p, p), stderr);
      talloc_free (p);
    }
  globfree (&files);
  return n;
}

/* Guards against example files that validation rejects, for instance after a change of the schema. */
static void
every_example_is_accepted (void)
{
  CU_ASSERT_EQUAL (check_files ("examples/hringras/hr-*.toml", false), 9);
  CU_ASSERT_EQUAL (check_files ("examples/krattgarden/kr-*.toml", false), 8);
  CU_ASSERT_EQUAL (check_files ("examples/*/ticket-*.toml", true), 4);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "every_example_is_accepted", every_example_is_accepted },
  };

  return harness_run ("settings_examples", CASES, sizeof CASES / sizeof CASES[0]);
}
