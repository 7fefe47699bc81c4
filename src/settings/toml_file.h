/** @file
 * Reads and parses TOML files. Errors are added to a list of Problems. */
#pragma once

#include <stddef.h>

#include "settings/problems.h"
#include "settings/toml_reader.h"

/** Reads a whole file into memory; "-" is standard input. @return a zero-terminated talloc string under
 * @p ctx and its length in @p len, or NULL after adding an error. */
char *toml_file_read (const void *ctx, const char *path, size_t *len, Problems *problems);

/** Parses TOML text. @return the root table under @p ctx, or NULL after adding an error. */
TomlNode *toml_file_parse (const void *ctx, const char *text, size_t len, Problems *problems);
