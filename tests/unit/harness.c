#include "harness.h"

#include <stdio.h>
#include <string.h>

#include <CUnit/TestRun.h>

#include "core/invariant.h"
#include "core/log.h"

static const char *expected_name;
static int n_violations;

static void
on_violation (void *data, const char *name, const char *detail)
{
  (void)data;
  if (expected_name && !strcmp (expected_name, name))
    {
      n_violations++;
      return;
    }
  fprintf (stderr, "invariant %s violated: %s\n", name, detail);
  CU_FAIL ("invariant violated");
}

void
harness_expect_violation (const char *name)
{
  expected_name = name;
  n_violations = 0;
}

int
harness_violations (void)
{
  return n_violations;
}

static void
on_test_complete (const CU_pTest test, const CU_pSuite suite, const CU_pFailureRecord failure)
{
  (void)suite;
  expected_name = NULL;
  for (CU_pFailureRecord f = failure; f; f = f->pNext)
    fprintf (stderr, "%s: %s:%u: %s\n", test->pName, f->strFileName, f->uiLineNumber,
             f->strCondition);
}

int
harness_run (const char *suite, const TestCase *cases, size_t n)
{
  CU_pSuite s;
  unsigned failed;

  log_set_level (LOG_LEVEL_CRIT);
  invariant_set_hook (on_violation, NULL);
  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  s = CU_add_suite (suite, NULL, NULL);
  for (size_t i = 0; i < n; i++)
    CU_add_test (s, cases[i].name, cases[i].fn);
  CU_set_test_complete_handler (on_test_complete);
  CU_run_all_tests ();
  failed = CU_get_number_of_tests_failed ();
  printf ("%s: %u passed, %u failed\n", suite, CU_get_number_of_tests_run () - failed, failed);
  CU_cleanup_registry ();
  return failed ? 1 : 0;
}
