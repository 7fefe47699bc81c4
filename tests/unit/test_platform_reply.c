/* Responses of the platform's store: values that come in pieces, and responses that cannot be read. */
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <talloc.h>

#include "harness.h"
#include "platform/platform_reply.h"

static const char ROWS[]
    = "{ \"rows\" : [{\"table\":\"t\",\"part\":\"p\",\"key\":\"a\\\"\\\\\",\"value\" : "
      "\"aGVsbG8+Pz8=\",\"version_number\":3},\n{\"key\":\"value\",\"value\":null,"
      "\"tombstone\":true,\"version_number\":4},{\"value\":\"\\u0061GVs\\r\\nbG8\\u002BPz8\\/\","
      "\"key\":\"c\"},{\"key\":\"d\",\"value\":\"\",\"other\":\"value\"}],"
      "\"version_number\":9,\"current_time_ms\":77.5,\"has_more\":true}";

static void
check_rows (const StoreReply *reply)
{
  const StoreRow *rows = reply->rows;

  CU_ASSERT_EQUAL (reply->n_rows, 4);
  if (!rows || reply->n_rows != 4)
    return;
  CU_ASSERT_EQUAL (reply->version, 9);
  CU_ASSERT_EQUAL (reply->time_ms, 77);
  CU_ASSERT (reply->has_more);
  CU_ASSERT_STRING_EQUAL (rows[0].key.table, "t");
  CU_ASSERT_STRING_EQUAL (rows[0].key.partition, "p");
  CU_ASSERT_STRING_EQUAL (rows[0].key.name, "a\"\\");
  CU_ASSERT_STRING_EQUAL (rows[0].value, "hello>??");
  CU_ASSERT_EQUAL (rows[0].len, 8);
  CU_ASSERT_EQUAL (rows[0].version, 3);
  CU_ASSERT_STRING_EQUAL (rows[1].key.name, "value");
  CU_ASSERT_PTR_NULL (rows[1].value);
  CU_ASSERT (rows[1].removed && !rows[0].removed);
  CU_ASSERT_STRING_EQUAL (rows[2].value, "hello>???");
  CU_ASSERT_EQUAL (rows[2].len, 9);
  CU_ASSERT_STRING_EQUAL (rows[3].value, "");
  CU_ASSERT_EQUAL (rows[3].len, 0);
}

/* Guards against a value that depends on where the network cuts the response. */
static void
response_may_be_cut_anywhere (void)
{
  for (size_t piece = 1; piece <= sizeof ROWS; piece++)
    for (size_t first = 0; first < piece && first < 24; first++)
      {
        PlatformReply *r = platform_reply_new (NULL);
        StoreReply reply = { 0 };
        size_t len = sizeof ROWS - 1;

        platform_reply_add (r, ROWS, first < len ? first : len);
        for (size_t i = first; i < len; i += piece)
          platform_reply_add (r, ROWS + i, len - i < piece ? len - i : piece);
        CU_ASSERT_PTR_NULL (platform_reply_parse (r, &reply));
        check_rows (&reply);
        talloc_free (r);
      }
}

/* Guards against rows of a response that ended too soon or is no response of the store. */
static void
unreadable_response_is_rejected (void)
{
  static const char *const BAD[] = { "",
                                     "[]",
                                     "\"x\"",
                                     "{\"rows\":[{\"key\":\"a\",\"value\":\"aG\nVs\"}]}",
                                     "{\"rows\":[{\"key\":\"a\",\"value\":\"aG\\Vs\"}]}",
                                     "{\"rows\":[{\"key\":\"a\",\"value\":\"aG\\u00gVs\"}]}",
                                     "{\"rows\":[{\"key\":\"a\",\"value\":\"aG\xffVs\"}]}",
                                     "{\"rows\":[{\"key\":\"a\",\"value\":\"aGVs\"\"aGVs\"}]}",
                                     "{\"rows\":[{\"key\":\"a\",\"value\":\"aGVs\"}]}}" };
  StoreReply reply;

  for (size_t i = 0; i < sizeof BAD / sizeof BAD[0]; i++)
    {
      PlatformReply *r = platform_reply_new (NULL);

      reply = (StoreReply){ 0 };
      platform_reply_add (r, BAD[i], strlen (BAD[i]));
      CU_ASSERT_PTR_NOT_NULL (platform_reply_parse (r, &reply));
      talloc_free (r);
    }
  for (size_t len = 0; len < sizeof ROWS - 1; len++)
    {
      PlatformReply *r = platform_reply_new (NULL);

      reply = (StoreReply){ 0 };
      platform_reply_add (r, ROWS, len);
      CU_ASSERT_PTR_NOT_NULL (platform_reply_parse (r, &reply));
      talloc_free (r);
    }
}

/* Guards against a table that is followed no more because of one odd row, and against that row. */
static void
odd_row_in_a_response_is_left_out (void)
{
  static const char *const ODD[] = { "7", "{\"value\":\"aGVs\"}", "{\"key\":\"\"}" };

  for (size_t i = 0; i < sizeof ODD / sizeof ODD[0]; i++)
    {
      PlatformReply *r = platform_reply_new (NULL);
      char *text
          = talloc_asprintf (r, "{\"rows\":[%s,{\"key\":\"b\",\"value\":\"aGVs\"}]}", ODD[i]);
      StoreReply reply = { 0 };

      platform_reply_add (r, text, strlen (text));
      CU_ASSERT_PTR_NULL (platform_reply_parse (r, &reply));
      CU_ASSERT_EQUAL_FATAL (reply.n_rows, 1);
      CU_ASSERT_STRING_EQUAL (reply.rows[0].key.name, "b");
      CU_ASSERT_EQUAL (reply.rows[0].len, 3);
      CU_ASSERT_STRING_EQUAL (reply.rows[0].value, "hel");
      talloc_free (r);
    }
}

/* Guards against a loop that stands still while a large response, which is complete, is decoded: what is left then
 * must not grow with the value. */
static void
little_is_left_at_the_end_of_a_large_response (void)
{
  const size_t len = 1600000;
  char *value = g_strnfill (len, 'x');
  char *text = g_base64_encode ((const guchar *)value, len);
  char *json = g_strdup_printf ("{\"rows\":[{\"key\":\"config\",\"value\":\"%s\"}]}", text);
  PlatformReply *r = platform_reply_new (NULL);
  StoreReply reply = { 0 };

  platform_reply_add (r, json, strlen (json));
  CU_ASSERT (platform_reply_n_unparsed (r) < 100);
  CU_ASSERT_PTR_NULL (platform_reply_parse (r, &reply));
  CU_ASSERT_EQUAL (reply.n_rows, 1);
  if (reply.n_rows == 1 && reply.rows)
    {
      CU_ASSERT_EQUAL (reply.rows[0].len, len);
      CU_ASSERT (reply.rows[0].len == len && memcmp (reply.rows[0].value, value, len) == 0);
    }
  talloc_free (r);
  g_free (json);
  g_free (text);
  g_free (value);
}

int
main (void)
{
  static const TestCase CASES[] = {
    { "response_may_be_cut_anywhere", response_may_be_cut_anywhere },
    { "unreadable_response_is_rejected", unreadable_response_is_rejected },
    { "odd_row_in_a_response_is_left_out", odd_row_in_a_response_is_left_out },
    { "little_is_left_at_the_end_of_a_large_response",
      little_is_left_at_the_end_of_a_large_response },
  };

  return harness_run ("platform_reply", CASES, sizeof CASES / sizeof CASES[0]);
}
