/** @file
 * Encoding of the budget rows in the store. All rows of one account form one partition, so that a transaction can
 * cover them. */
#pragma once

#include "budget/account.h"
#include "store/store.h"

#define BUDGET_TABLE       "budgets"
#define BUDGET_ACCOUNT_ROW "account"
#define BUDGET_HOST_PREFIX "host:"

/* Written by the first transaction on the account in each era (restore generation) of the store, and checked by every
 * transaction: that of a host that does not know of the era fails, because it checks an outdated version. */
#define BUDGET_ERA_ROW "era"

#define BUDGET_ROW_BYTES 384

/** Encode the value of a row. @return its length in bytes without the terminating NUL. */
size_t budget_row_encode (const BudgetRow *row, char text[BUDGET_ROW_BYTES]);
size_t budget_host_row_encode (const BudgetHostRow *row, char text[BUDGET_ROW_BYTES]);

/** Decode the value of a row. @return false if it is malformed. */
bool budget_row_decode (const StoreRow *stored, BudgetRow *row);
bool budget_host_row_decode (const StoreRow *stored, BudgetHostRow *row);
