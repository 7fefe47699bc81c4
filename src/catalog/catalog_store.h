/** @file
 * Holds the newest catalog of this process. Lock "catalog"; any thread. */
#pragma once

#include "catalog/catalog.h"

typedef struct CatalogStore CatalogStore;

/** @return a talloc object under @p ctx, without a catalog. */
CatalogStore *catalog_store_new (const void *ctx);

/** Takes over one reference to @p catalog unless an equal or newer version is in force, which never
 * goes back. @return false in that case; the reference is dropped. */
bool catalog_store_set (CatalogStore *store, const Catalog *catalog);

/** @return a reference to the catalog in force, or NULL before the first one. */
const Catalog *catalog_store_get (CatalogStore *store);
