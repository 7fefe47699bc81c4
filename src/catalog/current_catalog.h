/** @file
 * Holds the current catalog of this process. Any thread; protected by the lock "catalog". */
#pragma once

#include "catalog/catalog.h"

typedef struct CurrentCatalog CurrentCatalog;

/** @return a talloc object under @p ctx that holds no catalog yet. */
CurrentCatalog *current_catalog_new (const void *ctx);

/** Replaces the current catalog if @p catalog has a higher version, and takes over one reference to it.
 * @return false if the current version is equal or higher; the reference is then released. */
bool current_catalog_set (CurrentCatalog *current, const Catalog *catalog);

/** @return a new reference to the current catalog, or NULL if none has been set. */
const Catalog *current_catalog_get (CurrentCatalog *current);
