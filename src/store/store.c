#include "store/store.h"

const char *
store_result_name (StoreResult result)
{
  switch (result)
    {
    case STORE_DONE:
      return "done";
    case STORE_CONFLICT:
      return "conflict";
    case STORE_REFUSED:
      return "refused";
    case STORE_UNKNOWN:
      return "unknown";
    case STORE_HISTORY_GONE:
      break;
    }
  return "history_gone";
}
