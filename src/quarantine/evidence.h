/** @file
 * Decides which requests are to blame for the ends of servers. Answers the load in which requests with one key in
 * common end every server that begins to answer them, among sound requests that share their other keys, and servers
 * that end for reasons of their own.
 *
 * An exchange that is cut off before its answer is known to be sound is recorded for each of its keys. The record
 * counts once its server is proved to have ended. A sound answer to a request that was sent later removes the record
 * from the keys of that request. A key with ends at three different times is to blame, unless so many keys are that the
 * servers must be. With as many servers that ended at fewer times a key may be to blame in doubt. No I/O, no clock. Lock "quarantine". */
#pragma once

#include <stddef.h>

#include "quarantine/quarantine_key.h"

/** Ends of servers, at different times, after which a key is to blame. */
#define EVIDENCE_ENDS 3

#define EVIDENCE_MAX_RECORDS 8

typedef struct Evidence Evidence;

/** An exchange that was cut off. */
typedef struct
{
  const QuarantineKey *keys; /* the later ones are the more specific ones */
  size_t n_keys;
  uint64_t instance;      /* hash of the server's start */
  bool has_unknown_start; /* all starts of the server have the same hash */
  uint64_t request;       /* hash of the request's id */
  int64_t cut_ms;
  bool untold; /* the other hosts are told only if the server turns out to have ended */
} EvidenceCut;

/** Why a key is to blame. */
typedef struct
{
  QuarantineKey key;
  int ends;
  uint64_t instances[EVIDENCE_MAX_RECORDS]; /* of the servers that ended, hashes */
  size_t n_instances;
  int64_t first_ms; /* the first of the ends */
  bool in_doubt;    /* the servers may have ended together, for a reason of their own */
} EvidenceVerdict;

/** @return a talloc object under @p ctx that keeps at most @p max_keys keys. */
Evidence *evidence_new (const void *ctx, size_t max_keys);

/** @return the number of keys with records. */
size_t evidence_n_keys (const Evidence *evidence);

void evidence_add_cut (Evidence *evidence, const EvidenceCut *cut);

/** The server has ended, whatever it was that ended it. @return the number of keys that this concerns. */
size_t evidence_add_end (Evidence *evidence, uint64_t instance, int64_t now_ms);

/** @return whether a server has ended and has a record, each once, that the other hosts are to be told of now. */
bool evidence_next_untold (Evidence *evidence, uint64_t instance, QuarantineKey *key,
                           EvidenceCut *cut);

/** @return whether the server is known to have ended. */
bool evidence_has_ended (Evidence *evidence, uint64_t instance);

/** The server has answered a request that was sent to it at @p sent_ms: if it is thought to have ended before, it has
 * not, or it has started again if its starts are not known. */
void evidence_add_alive (Evidence *evidence, uint64_t instance, bool has_unknown_start,
                         int64_t sent_ms);

/** A request with these keys that was sent at @p sent_ms has a sound answer. @return whether a record was removed that
 * the other hosts know of. */
bool evidence_add_sound (Evidence *evidence, const QuarantineKey *keys, size_t n_keys,
                         int64_t sent_ms);

/** Other hosts have seen these servers end under requests with the key, at different times. */
void evidence_add_told (Evidence *evidence, QuarantineKey key, const uint64_t *instances, size_t n,
                        int64_t now_ms);

/** @return whether a key, each once, is one end short of blame, and has not been cleared for a while. */
bool evidence_next_suspect (Evidence *evidence, int64_t now_ms, EvidenceVerdict *suspect);

/** Removes records that are too old to count. */
void evidence_expire (Evidence *evidence, int64_t now_ms);

/** @return whether a key is to blame. Its records are removed then, and those of the same ends from all other keys.
 * @param n_blamed set to the number of groups of keys that may be to blame; above
 * EVIDENCE_MAX_BLAMED none of them is. */
bool evidence_judge (Evidence *evidence, int64_t now_ms, EvidenceVerdict *verdict,
                     size_t *n_blamed);

#define EVIDENCE_MAX_BLAMED 3
