/** @file
 * Runs one CUnit suite per test program and prints "N passed, N failed" as the last line. */
#pragma once

#include <CUnit/CUnit.h>

typedef struct
{
  const char *name;
  void (*fn) (void);
} TestCase;

/** Runs the cases. A violated invariant fails the running case unless the case expects the violation.
 * @return the exit code for main(). */
int harness_run (const char *suite, const TestCase *cases, size_t n);

/** Makes the running case count violations of this invariant instead of failing on them, until it ends.
 * @param name the invariant; NULL to expect no violations again. */
void harness_expect_violation (const char *name);

/** @return the number of violations since the last call of harness_expect_violation(). */
int harness_violations (void);
