/** @file
 * One randomised run of hosts that share budgets on a store with faults, under virtual time. A run is repeated
 * exactly by its seed and number. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "fakes/fake_store.h"

typedef struct
{
  uint64_t seed;
  uint64_t run;               /* number of the run */
  FakeStoreFault store_fault; /* deliberate fault that an invariant must catch */
  bool store_restores;        /* restore the store from backups; no store faults or killed hosts */
  bool trace;                 /* print the events */
} SoakOptions;

typedef struct
{
  int violations;
  char first_violation[96]; /* name of the invariant, "" for none */
  uint64_t requests;
  uint64_t refused; /* requests that were refused, or ended before they were served */
} SoakResult;

void soak_run (const SoakOptions *options, SoakResult *result);
