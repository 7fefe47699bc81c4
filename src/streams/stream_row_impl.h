/* Internal to this folder: the form of the row of a host. */
#pragma once

#include "streams/stream_table.h"
#include "streams/version_set.h"

/* A row: mark, time, number of names, names with their lengths, then for each stream its key and the index of the name. */
#define ROW_MARK     "S1"
#define KEY_BYTES    6
#define ENTRY_BYTES  (KEY_BYTES + 1)
#define MAX_VERSIONS 32
#define UNCERTAIN    255 /* index in place of a version's */
