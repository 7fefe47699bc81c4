/* Internals of the evidence: evidence.c (records), evidence_judge.c (verdicts). */
#pragma once

#include <glib.h>

#include "core/list.h"
#include "quarantine/evidence.h"

/* Servers that end within this time of each other may have one cause outside them, and count as one end. */
#define SAME_CAUSE_MS 500

#define MAX_ENDED 256

typedef struct
{
  uint64_t instance;
  int64_t proved_ms;
} EndedServer;

typedef struct
{
  uint64_t instance;
  uint64_t request;
  int64_t cut_ms;
  bool ended; /* the server is proved to have ended */
  bool untold;
} CutRecord;

typedef struct
{
  ListNode node; /* in the order of the last record */
  QuarantineKey key;
  size_t depth; /* place among the keys of the request: the higher, the more specific */
  CutRecord records[EVIDENCE_MAX_RECORDS]; /* in order of time */
  size_t n_records;
  int64_t blamed_ms; /* since when it may be to blame; 0: it is not */
  bool reported;     /* by evidence_next_suspect() */
} Suspect;

struct Evidence
{
  GHashTable *suspects; /* by key */
  List by_age;
  size_t max_keys;
  EndedServer ended[MAX_ENDED]; /* a ring */
  size_t n_ended;
};

/* evidence.c */
void evidence_free_suspect (Evidence *e, Suspect *s);
void evidence_remove_record (Suspect *s, size_t i);

/* evidence_judge.c */
int evidence_count_ends (const Suspect *s);
