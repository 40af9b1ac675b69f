#include "ln-row-cache.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  char text[64];
} RowContent;

static int n_parsed;

static bool
parse_row (const LpRow *row, void *content, LbError *error, void *user)
{
  (void)user;
  n_parsed++;
  snprintf (((RowContent *)content)->text, sizeof (RowContent), "%s", row->value);
  return row->value[0] == '{' || lb_error_set (error, LB_ERROR_BAD_VALUE, row->key, "nonsense");
}

static const LnRowCacheClass klass
    = { .size = sizeof (RowContent), .parse = parse_row, .counter_prefix = "\"count\":" };

static const RowContent *
list_single_row_and_get_content (LnRowCache *cache, const char *value, int64_t version)
{
  const LpRow row = { .key = "t//a", .value = value, .version = version };
  LbError error = { 0 };

  ln_row_cache_begin_list (cache);
  const RowContent *content = ln_row_cache_get_content (cache, &row, &error);
  ln_row_cache_end_list (cache);
  return content;
}

/* With 90 endpoints and 295 instances that rewrite their rows every 1-2 s, and several lists a
 * second, parsing unchanged rows took two thirds of an instance's processor time. */
Test (row_cache, row_with_only_a_new_counter_is_not_parsed_again)
{
  LnRowCache *cache = ln_row_cache_new (&klass, NULL);

  n_parsed = 0;
  cr_assert_not_null (list_single_row_and_get_content (cache, "{\"a\":1,\"count\":9,\"z\":2}", 5));
  cr_assert_not_null (list_single_row_and_get_content (cache, "{\"a\":1,\"count\":9,\"z\":2}", 5));
  cr_assert_not_null (list_single_row_and_get_content (cache, "{\"a\":1,\"count\":10,\"z\":2}", 6));
  cr_assert_not_null (
      list_single_row_and_get_content (cache, "{\"a\":1,\"count\": 11,\"z\":2}", 7));
  cr_assert_eq (n_parsed, 1);
  ln_row_cache_free (cache);
}

/* A row must be parsed again after any change except that of the counter which each write
 * increments: a change of the text before or after the counter, or a shorter text. */
Test (row_cache, changed_row_is_parsed)
{
  static const char *const texts[] = { "{\"a\":1,\"count\":9,\"z\":2}",
                                       "{\"a\":2,\"count\":9,\"z\":2}",
                                       "{\"a\":2,\"count\":9,\"z\":3}",
                                       "{\"a\":2,\"count\":9}",
                                       "{\"a\":2}",
                                       "{\"a\":22}",
                                       "{\"a\":2,\"count\":x}" };
  LnRowCache *cache = ln_row_cache_new (&klass, NULL);

  n_parsed = 0;
  for (int i = 0; i < (int)(sizeof texts / sizeof texts[0]); i++)
    {
      const RowContent *content = list_single_row_and_get_content (cache, texts[i], i + 1);
      cr_assert_str_eq (content->text, texts[i]);
      cr_assert_eq (n_parsed, i + 1);
    }
  ln_row_cache_free (cache);
}

Test (row_cache, malformed_row_is_parsed_again_only_after_a_change)
{
  LnRowCache *cache = ln_row_cache_new (&klass, NULL);

  n_parsed = 0;
  cr_assert_null (list_single_row_and_get_content (cache, "nonsense", 1));
  cr_assert_null (list_single_row_and_get_content (cache, "nonsense", 2));
  cr_assert_eq (n_parsed, 1);
  cr_assert_not_null (list_single_row_and_get_content (cache, "{}", 3));
  ln_row_cache_free (cache);
}

/* When a list of the store does not contain a row, the cached content of that row must be evicted.
 * */
Test (row_cache, row_missing_from_a_list_is_parsed_again)
{
  LnRowCache *cache = ln_row_cache_new (&klass, NULL);

  n_parsed = 0;
  list_single_row_and_get_content (cache, "{}", 1);
  ln_row_cache_begin_list (cache);
  ln_row_cache_end_list (cache);
  list_single_row_and_get_content (cache, "{}", 1);
  cr_assert_eq (n_parsed, 2);
  ln_row_cache_free (cache);
}
