#include "core/rng.h"

#include <math.h>

void
rng_seed (Rng *rng, uint64_t seed)
{
  rng->state = seed;
}

/* SplitMix64. */
uint64_t
rng_next (Rng *rng)
{
  uint64_t z = (rng->state += 0x9e3779b97f4a7c15u);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

uint64_t
rng_below (Rng *rng, uint64_t n)
{
  return n ? (uint64_t)(((unsigned __int128)rng_next (rng) * n) >> 64) : 0;
}

double
rng_unit (Rng *rng)
{
  return (double)(rng_next (rng) >> 11) * 0x1.0p-53;
}

bool
rng_chance (Rng *rng, double probability)
{
  return rng_unit (rng) < probability;
}

double
rng_exponential (Rng *rng, double mean)
{
  return -mean * log1p (-rng_unit (rng));
}
