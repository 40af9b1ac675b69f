#include "lc-subset.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PAGE_ROWS 500
#define KEY_SIZE 32

typedef struct
{
  char key[KEY_SIZE];
  LcSubsetRow endpoint;
  bool held;
} Row;

typedef struct
{
  Row *rows;
  size_t n_rows;
  size_t n_read; /* by the last list */
  size_t n_pages;
} Table;

static int
by_key (const void *a, const void *b)
{
  return strcmp (((const Row *)a)->key, ((const Row *)b)->key);
}

static void
random_key (char *key)
{
  snprintf (key, KEY_SIZE, "%08lx%08lx", random (), random ());
}

/* One in five is a plain service, the others are engines of six models. */
static void
table_init (Table *table, size_t n_rows)
{
  srandom (7);
  *table = (Table){ .rows = LB_NEW_ARRAY (Row, n_rows), .n_rows = n_rows };
  for (size_t i = 0; i < n_rows; i++)
    {
      random_key (table->rows[i].key);
      table->rows[i].endpoint = (LcSubsetRow){ .service = i % 5 == 0 ? "plain" : "engines",
                                               .n_models = i % 5 == 0 ? 0 : 6,
                                               .slots = 6 };
    }
  qsort (table->rows, n_rows, sizeof *table->rows, by_key);
}

static LbTime now = LB_SEC;

static void
list (LcSubset *subset, Table *table)
{
  bool more = true;

  now += LB_SEC;
  lc_subset_begin_list (subset, now);
  table->n_read = 0;
  table->n_pages = 0;
  for (size_t i = 0; i < table->n_rows; i++)
    table->rows[i].held = false;
  while (more)
    {
      size_t end = table->n_read + (size_t)lc_subset_page_size (subset);
      bool is_last = end > table->n_rows;
      end = is_last ? table->n_rows : end;
      for (size_t i = table->n_read; i < end; i++)
        table->rows[i].held
            = lc_subset_add_row (subset, table->rows[i].key, &table->rows[i].endpoint);
      table->n_read = end;
      table->n_pages++;
      more = lc_subset_end_page (subset, end > 0 ? table->rows[end - 1].key : "", is_last);
    }
}

static size_t
count_held (const Table *table, const char *service)
{
  size_t n = 0;

  for (size_t i = 0; i < table->n_rows; i++)
    n += table->rows[i].held && strcmp (table->rows[i].endpoint.service, service) == 0;
  return n;
}

static LcSubset *
subset_new (void)
{
  LcSubset *subset = lc_subset_new ();

  lc_subset_expect_service (subset, "plain");
  lc_subset_expect_service (subset, "engines");
  return subset;
}

/* Guards against rows read and kept that grow with the endpoints. */
Test (subset, holds_as_many_of_ten_thousand_as_of_twenty_thousand)
{
  const size_t sizes[] = { 10000, 20000 };

  for (size_t i = 0; i < 2; i++)
    {
      LcSubset *subset = subset_new ();
      Table table;

      table_init (&table, sizes[i]);
      list (subset, &table);
      list (subset, &table);
      cr_assert_eq (table.n_pages, 1);
      cr_assert_leq (table.n_read, PAGE_ROWS);
      cr_assert_eq (count_held (&table, "plain"), LC_SUBSET_MIN_ENDPOINTS);
      cr_assert_eq (count_held (&table, "engines"), 6 * LC_SUBSET_MIN_ENDPOINTS);
      lc_subset_free (subset);
      free (table.rows);
    }
}

/* Guards against a small deployment that loses endpoints to a bound. */
Test (subset, a_small_table_is_known_whole)
{
  LcSubset *subset = subset_new ();
  Table table;

  table_init (&table, 450);
  for (int i = 0; i < 3; i++)
    {
      list (subset, &table);
      cr_assert_eq (table.n_pages, 1);
      cr_assert_eq (count_held (&table, "plain") + count_held (&table, "engines"), 450);
    }
  lc_subset_free (subset);
  free (table.rows);
}

/* Guards against a service without a known endpoint because its names are the last in order. */
Test (subset, a_service_at_the_end_of_the_order_is_found)
{
  LcSubset *subset = subset_new ();
  Table table;

  table_init (&table, 3000);
  for (size_t i = 2900; i < 3000; i++)
    table.rows[i].endpoint = (LcSubsetRow){ .service = "last", .slots = 1 };
  lc_subset_expect_service (subset, "last");
  list (subset, &table);
  list (subset, &table);
  cr_assert_eq (count_held (&table, "last"), LC_SUBSET_MIN_ENDPOINTS);
  cr_assert_eq (count_held (&table, "plain"), LC_SUBSET_MIN_ENDPOINTS);
  lc_subset_free (subset);
  free (table.rows);
}

/* Guards against endpoints that come and go with each list, with the work that they have. */
Test (subset, churn_moves_no_other_endpoint)
{
  LcSubset *subset = subset_new ();
  Table table;

  table_init (&table, 10000);
  list (subset, &table);
  for (size_t i = 0; i < 40; i++)
    table.rows[i * 10].endpoint.leaving = true;
  list (subset, &table);
  size_t held = count_held (&table, "engines") + count_held (&table, "plain");
  cr_assert_eq (held, 7 * LC_SUBSET_MIN_ENDPOINTS, "leaving ones keep their places");
  lc_subset_free (subset);
  free (table.rows);
}

Test (subset, lost_endpoints_are_replaced)
{
  LcSubset *subset = subset_new ();
  Table table;

  table_init (&table, 10000);
  list (subset, &table);
  table.rows += 250;
  table.n_rows -= 250;
  list (subset, &table);
  cr_assert_eq (count_held (&table, "engines"), 6 * LC_SUBSET_MIN_ENDPOINTS);
  cr_assert_eq (count_held (&table, "plain"), LC_SUBSET_MIN_ENDPOINTS);
  lc_subset_free (subset);
  free (table.rows - 250);
}

/* Guards against a step of 2,048 texts that waits for the engines of a small one. */
Test (subset, grows_with_the_requests_that_run_at_once)
{
  LcSubset *subset = subset_new ();
  Table table;

  table_init (&table, 10000);
  list (subset, &table);
  lc_subset_set_demand (subset, "m", 2048);
  list (subset, &table);
  cr_assert_geq (count_held (&table, "engines"), 6 * 2 * 2048 / 6);
  lc_subset_free (subset);
  free (table.rows);
}

/* Guards against two instances that use different endpoints: the publisher's bound counts. */
Test (subset, follows_the_bounds_that_were_published)
{
  LcSubset *subset = subset_new ();
  Table table;

  table_init (&table, 10000);
  lc_subset_set_bound (subset, "engines", table.rows[499].key);
  lc_subset_set_bound (subset, "plain", table.rows[399].key);
  list (subset, &table);
  list (subset, &table);
  for (size_t i = 0; i < table.n_rows; i++)
    {
      bool is_engine = table.rows[i].endpoint.n_models > 0;
      cr_assert_eq (table.rows[i].held, i <= (is_engine ? 499 : 399), "row %zu", i);
    }
  lc_subset_free (subset);
  free (table.rows);
}

/* Guards against a load that outgrows the subset while other endpoints are idle. */
Test (subset, grows_while_its_endpoints_are_crowded)
{
  LcSubset *subset = subset_new ();
  Table table;

  table_init (&table, 10000);
  list (subset, &table);
  lc_subset_grow (subset, "plain", now);
  lc_subset_grow (subset, "plain", now + LB_SEC);
  list (subset, &table);
  size_t held = count_held (&table, "plain");
  cr_assert_geq (held, LC_SUBSET_MIN_ENDPOINTS * 3 / 2 - 1);
  cr_assert_leq (held, LC_SUBSET_MIN_ENDPOINTS * 3 / 2 + 1, "once in a few seconds");
  for (int i = 1; i <= 10; i++)
    {
      lc_subset_grow (subset, "plain", now + i * 4 * LB_SEC);
      list (subset, &table);
    }
  cr_assert_geq (count_held (&table, "plain"), 1900);
  lc_subset_free (subset);
  free (table.rows);
}

/* Guards against a subset that was chosen while endpoints still registered, and takes in all that
 * come later. */
Test (subset, is_cut_when_the_endpoints_between_its_bounds_multiply)
{
  LcSubset *subset = subset_new ();
  Table few;
  Table all;

  table_init (&few, 800);
  list (subset, &few);
  table_init (&all, 10000);
  list (subset, &all);
  cr_assert_leq (count_held (&all, "engines"), 2 * 6 * LC_SUBSET_MIN_ENDPOINTS);
  list (subset, &all);
  cr_assert_eq (count_held (&all, "engines"), 6 * LC_SUBSET_MIN_ENDPOINTS);
  cr_assert_eq (count_held (&all, "plain"), LC_SUBSET_MIN_ENDPOINTS);
  list (subset, &all);
  cr_assert_eq (all.n_pages, 1);
  lc_subset_free (subset);
  free (few.rows);
  free (all.rows);
}

/* Guards against lists of the whole table, one after the other, for a service that has no endpoint.
 */
Test (subset, a_service_without_endpoints_is_looked_for_now_and_then)
{
  LcSubset *subset = subset_new ();
  Table table;
  size_t n_whole = 0;

  table_init (&table, 10000);
  lc_subset_expect_service (subset, "absent");
  for (int i = 0; i < 30; i++)
    {
      list (subset, &table);
      n_whole += table.n_pages > 1;
    }
  cr_assert_leq (n_whole, 4);
  table.rows[9990].endpoint.service = "absent";
  for (int i = 0; i < 11; i++)
    list (subset, &table);
  cr_assert (table.rows[9990].held);
  lc_subset_free (subset);
  free (table.rows);
}

/* Guards against a need that overflows while a service stays crowded with all its endpoints known.
 */
Test (subset, does_not_grow_beyond_the_endpoints_that_there_are)
{
  LcSubset *subset = subset_new ();
  Table table;

  table_init (&table, 10000);
  list (subset, &table);
  list (subset, &table);
  for (int i = 1; i <= 200; i++)
    {
      lc_subset_grow (subset, "plain", now + i * 4 * LB_SEC);
      list (subset, &table);
    }
  cr_assert_eq (count_held (&table, "plain"), 2000);
  cr_assert_eq (count_held (&table, "engines"), 6 * LC_SUBSET_MIN_ENDPOINTS);
  lc_subset_free (subset);
  free (table.rows);
}
