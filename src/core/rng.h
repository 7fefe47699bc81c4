/** @file
 * Pseudo-random numbers from a seed, so that a run can be reproduced exactly. Not for cryptography. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint64_t state;
} Rng;

void rng_seed (Rng *rng, uint64_t seed);
uint64_t rng_next (Rng *rng);

/** @return a uniform number from 0 to n - 1, or 0 if n is 0. */
uint64_t rng_below (Rng *rng, uint64_t n);

/** @return a uniform number in [0, 1). */
double rng_unit (Rng *rng);

/** @return true with the given probability. */
bool rng_chance (Rng *rng, double probability);

/** @return a number from the exponential distribution with the given mean. */
double rng_exponential (Rng *rng, double mean);
