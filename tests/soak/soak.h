/** @file
 * One randomised run of several hosts' budgets on a store with faults, under virtual time. The same seed
 * and number repeat a run exactly. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "fakes/fake_store.h"

typedef struct
{
  uint64_t seed;
  uint64_t run;
  FakeStoreFault lie;
  bool drills; /* the store goes back to copies; then no host is killed or cut off from the store */
  bool trace;  /* print the events */
} SoakOptions;

typedef struct
{
  int violations;
  char first[96]; /* name of the first violated invariant, "" for none */
  uint64_t requests;
  uint64_t refused;
} SoakResult;

void soak_run (const SoakOptions *options, SoakResult *result);
