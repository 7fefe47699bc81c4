/** @file
 * The rows of budgets in the store. The rows of one account form one part, so that a transaction covers
 * them. */
#pragma once

#include "budget/account.h"
#include "store/store.h"

#define BUDGET_TABLE       "budgets"
#define BUDGET_ACCOUNT_ROW "account"
#define BUDGET_HOST_PREFIX "host:"

/* Written by the first transaction of an era of the store, and checked by all: one that knows nothing of the era yet
 * finds another version than it checks. */
#define BUDGET_ERA_ROW   "era"
#define BUDGET_ROW_BYTES 384

/** Writes a row's value. @return its length. */
size_t budget_row_write (const BudgetRow *row, char text[BUDGET_ROW_BYTES]);
size_t budget_host_row_write (const BudgetHostRow *row, char text[BUDGET_ROW_BYTES]);

/** Reads a row's value. @return false if it cannot be read. */
bool budget_row_read (const StoreRow *stored, BudgetRow *row);
bool budget_host_row_read (const StoreRow *stored, BudgetHostRow *row);
