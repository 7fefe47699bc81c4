/* Internal to this folder: streams.c (streams and servers), stream_lookup.c (questions of relays), streams_read.c (what the
 * store's rows say), streams_versions.c (what is to be written). */
#pragma once

#include <pthread.h>

#include <glib.h>

#include "core/counter.h"
#include "core/list.h"
#include "core/rng.h"
#include "streams/streams.h"

/* A version that the row of a service allows, and when a server with it was last in the list. */
typedef struct
{
  char name[VERSION_NAME_BYTES];
  int64_t seen_ms;
} SeenVersion;

typedef struct
{
  char *name;
  VersionSet set; /* as last read or written */
  int64_t row_version;
  int64_t confirmed_ms; /* start of the call that gave the set; 0: none yet */
  bool found;           /* in the read in progress */
  /* The row is older than the store's era, damaged or gone: versions may be missing in it. */
  bool lost;
  VersionSet before; /* as it was known before it was lost */
  /* The row has to be changed; it is read once more at this time, as another host may have done that. 0: no. */
  int64_t change_due_ms;
  SeenVersion seen[VERSION_SET_MAX];
  size_t n_seen;
} StreamService;

/* A server in the store's list. */
typedef struct
{
  StreamService *service;
  char version[VERSION_NAME_BYTES];
  int64_t removed_ms; /* its record is gone, perhaps because of an outage of the store; 0: no */
} StreamServer;

/* The answer, while it is posted to the executor of its callback. */
typedef struct LookupResult
{
  StreamLookup *lookup; /* NULL once it has been freed */
  StreamAnswer answer;
} LookupResult;

struct StreamLookup
{
  ListNode node; /* in waiting or reading; not linked once it was answered */
  Streams *streams;
  StreamQuery query;
  char *service;
  StreamLookup *next_same_key; /* of those that are read */
  bool found;
  bool uncertain; /* hosts disagree, or the host that began it is not certain */
  char version[VERSION_NAME_BYTES];
  LookupResult *result;
};

struct Streams
{
  StreamsOptions options;
  pthread_mutex_t lock; /* the lock "streams"; protects all that follows */
  Rng rng;
  int hosts;
  StreamTable *table;
  Counter *dropped; /* stream_table_dropped() */
  GHashTable *services;
  GHashTable *servers; /* StreamServer by id */
  List waiting;        /* lookups that came after the read in progress began */
  List reading;        /* lookups that the read in progress answers */
  GHashTable *by_key;  /* of reading: the first StreamLookup with the key */
  bool read_in_progress;
  int64_t read_started_ms;
  int64_t next_read_ms; /* not before this */
  bool write_in_progress;
  int64_t store_ahead_ms; /* of the host's clock */
  int64_t store_era;
  int64_t next_record_write_ms;
  int64_t next_check_ms;
};

/* streams_versions.c: the lock is held. */
StreamService *streams_service_get (Streams *s, const char *name);
/* Sets change_due_ms if the row of the service has to be changed. */
void streams_check_change (Streams *s, StreamService *service, int64_t now_ms);

/* streams_read.c: the lock is held. */
void streams_set_versions (StreamService *service, const VersionSet *set, int64_t row_version,
                           bool lost);

/* stream_lookup.c: the lock is held. */
void stream_lookups_begin_read (Streams *s);
void stream_lookups_found (void *data, StreamKey key, const char *version);
void stream_lookups_end_read (Streams *s, bool complete, int64_t now_ms);
