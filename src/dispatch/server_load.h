/** @file
 * What a backend server last said of its load, to this host or to another one of the data centre, and how old that is.
 * No state but the struct; lock "dispatch". */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** A server's statement about its load. */
typedef struct
{
  int running;
  int waiting;
  int slots;        /* 0: not stated */
  int pace_percent; /* how long work takes on its machine, 100: as usual; 0: not stated */
  int64_t age_ms;
} LoadFigures;

typedef struct
{
  int64_t observed_ms; /* when the server stated it; 0: never */
  int64_t learned_ms;  /* when this host last learned of a change that other hosts should know */
  int running;
  int waiting;
  double pace; /* moving average; 1: as usual */
  bool heard;  /* another host has told it */
} ServerLoad;

typedef enum
{
  LOAD_APPLIED,
  LOAD_OLDER,        /* than what is known */
  LOAD_CONTRADICTORY /* no server can be in such a state */
} LoadVerdict;

/** @return whether a server with @p slots (0: unknown) can be in this state. */
bool load_figures_are_possible (const LoadFigures *figures, int slots);

/** Takes the figures over if they are newer than what is known. @param slots of the server; 0: unknown. @param heard
 * another host has told them. Contradictory figures of the server itself leave nothing known; those of another host
 * change nothing. */
LoadVerdict server_load_apply (ServerLoad *load, const LoadFigures *figures, int slots, bool heard,
                               int64_t now_ms);

/** @return the weight of what is known, from 1 (new) to 0 (old or nothing). */
double server_load_weight (const ServerLoad *load, int64_t now_ms);

/** @return the weight of what is usual at a server, where its own figures have lost theirs. */
double server_load_usual_weight (const ServerLoad *load, int64_t now_ms);

/** @return the factor by which work takes longer than usual on the server's machine, closer to 1 with age. */
double server_load_pace (const ServerLoad *load, int64_t now_ms);
