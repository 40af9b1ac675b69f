#include "ln-row-cache.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  char text[64];
} Content;

static int n_reads;

static bool
read_row (const LpRow *row, void *content, LbError *error, void *user)
{
  (void)user;
  n_reads++;
  snprintf (((Content *)content)->text, sizeof (Content), "%s", row->value);
  return row->value[0] == '{' || lb_error_set (error, LB_ERROR_BAD_VALUE, row->key, "nonsense");
}

static const LnRowCacheClass klass
    = { .size = sizeof (Content), .parse = read_row, .counter_prefix = "\"count\":" };

static const Content *
read_list (LnRowCache *cache, const char *value, int64_t version)
{
  const LpRow row = { .key = "t//a", .value = value, .version = version };
  LbError error = { 0 };

  ln_row_cache_begin_list (cache);
  const Content *content = ln_row_cache_parse (cache, &row, &error);
  ln_row_cache_end_list (cache);
  return content;
}

/* 90 endpoints and 295 instances write their rows each second or two, and each instance lists them
 * several times a second: two thirds of its processor time went into reading what it had read. */
Test (row_cache, what_says_the_same_is_not_read_again)
{
  LnRowCache *cache = ln_row_cache_new (&klass, NULL);

  n_reads = 0;
  cr_assert_not_null (read_list (cache, "{\"a\":1,\"count\":9,\"z\":2}", 5));
  cr_assert_not_null (read_list (cache, "{\"a\":1,\"count\":9,\"z\":2}", 5));
  cr_assert_not_null (read_list (cache, "{\"a\":1,\"count\":10,\"z\":2}", 6));
  cr_assert_not_null (read_list (cache, "{\"a\":1,\"count\": 11,\"z\":2}", 7));
  cr_assert_eq (n_reads, 1);
  ln_row_cache_free (cache);
}

/* Whatever else changes is taken at once: a state behind the count, one before it, a shorter text.
 */
Test (row_cache, what_says_something_else_is_read)
{
  static const char *const texts[] = { "{\"a\":1,\"count\":9,\"z\":2}",
                                       "{\"a\":2,\"count\":9,\"z\":2}",
                                       "{\"a\":2,\"count\":9,\"z\":3}",
                                       "{\"a\":2,\"count\":9}",
                                       "{\"a\":2}",
                                       "{\"a\":22}",
                                       "{\"a\":2,\"count\":x}" };
  LnRowCache *cache = ln_row_cache_new (&klass, NULL);

  n_reads = 0;
  for (int i = 0; i < (int)(sizeof texts / sizeof texts[0]); i++)
    {
      const Content *content = read_list (cache, texts[i], i + 1);
      cr_assert_str_eq (content->text, texts[i]);
      cr_assert_eq (n_reads, i + 1);
    }
  ln_row_cache_free (cache);
}

Test (row_cache, an_unreadable_row_stays_unreadable_until_it_changes)
{
  LnRowCache *cache = ln_row_cache_new (&klass, NULL);

  n_reads = 0;
  cr_assert_null (read_list (cache, "nonsense", 1));
  cr_assert_null (read_list (cache, "nonsense", 2));
  cr_assert_eq (n_reads, 1);
  cr_assert_not_null (read_list (cache, "{}", 3));
  ln_row_cache_free (cache);
}

/* A row goes and comes back: what it said before is not remembered. */
Test (row_cache, a_row_that_was_gone_is_read_again)
{
  LnRowCache *cache = ln_row_cache_new (&klass, NULL);

  n_reads = 0;
  read_list (cache, "{}", 1);
  ln_row_cache_begin_list (cache);
  ln_row_cache_end_list (cache);
  read_list (cache, "{}", 1);
  cr_assert_eq (n_reads, 2);
  ln_row_cache_free (cache);
}
