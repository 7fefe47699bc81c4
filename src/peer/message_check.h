/** @file
 * Checks the numbers of messages between hosts. A host of another release, or another program at the address, may send
 * any; sums and differences of those that pass do not overflow. */
#pragma once

#include <stdbool.h>

#include "proto/peer.pb-c.h"

/** @return false if an amount, an age or a rate is beyond its range. Messages of unknown kinds pass. */
bool peer_message_is_valid (const Pond__Envelope *env);
