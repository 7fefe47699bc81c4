/** @file
 * A timer service under virtual time. Timers fire in the order of their times, then of their starts. */
#pragma once

#include <stdbool.h>

#include "core/timers.h"

typedef struct VirtualTimers VirtualTimers;

VirtualTimers *virtual_timers_new (const void *ctx, int64_t now_ms);

Timers *virtual_timers_service (VirtualTimers *timers);

/** Advances the clock to the next timer and fires it. @return false if there is none. */
bool virtual_timers_step (VirtualTimers *timers);

/** Fires all timers up to @p until_ms and sets the clock to it. @return the number of steps. */
int64_t virtual_timers_run (VirtualTimers *timers, int64_t until_ms);

/** @return the time of the next timer, or INT64_MAX. */
int64_t virtual_timers_next_ms (const VirtualTimers *timers);

/** Timers on the same clock that can be frozen, to simulate a suspended process: timers that are due during the
 * freeze fire at its end. The clock keeps running. */
typedef struct FreezableTimers FreezableTimers;

FreezableTimers *freezable_timers_new (const void *ctx, VirtualTimers *timers);
Timers *freezable_timers_service (FreezableTimers *freezable);
void freezable_timers_freeze (FreezableTimers *freezable, int64_t until_ms);
