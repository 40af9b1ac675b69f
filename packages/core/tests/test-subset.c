#include "lc-subset.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_PAGE_ROWS 500
#define KEY_SIZE 32

typedef struct
{
  char key[KEY_SIZE];
  LcSubsetRow columns;
  bool is_in_subset;
} Row;

typedef struct
{
  Row *rows;
  size_t n_rows;
  size_t n_rows_read; /* number of rows read by the latest list */
  size_t n_pages;     /* number of pages read by the latest list */
} Table;

static int
compare_row_keys (const void *a, const void *b)
{
  return strcmp (((const Row *)a)->key, ((const Row *)b)->key);
}

static void
make_random_row_key (char *key)
{
  snprintf (key, KEY_SIZE, "%08lx%08lx", random (), random ());
}

/* Every fifth endpoint is a plain service; the other endpoints are engines with six models. */
static void
table_init_with_random_endpoints (Table *table, size_t n_rows)
{
  srandom (7);
  *table = (Table){ .rows = LB_NEW_ARRAY (Row, n_rows), .n_rows = n_rows };
  for (size_t i = 0; i < n_rows; i++)
    {
      make_random_row_key (table->rows[i].key);
      table->rows[i].columns = (LcSubsetRow){ .service = i % 5 == 0 ? "plain" : "engines",
                                              .n_models = i % 5 == 0 ? 0 : 6,
                                              .slots = 6 };
    }
  qsort (table->rows, n_rows, sizeof *table->rows, compare_row_keys);
}

static LbTime now = LB_SEC;

static void
update_subset_from_table_pages (LcSubset *subset, Table *table)
{
  bool more = true;

  now += LB_SEC;
  lc_subset_begin_list (subset, now);
  table->n_rows_read = 0;
  table->n_pages = 0;
  for (size_t i = 0; i < table->n_rows; i++)
    table->rows[i].is_in_subset = false;
  while (more)
    {
      size_t end = table->n_rows_read + (size_t)lc_subset_page_size (subset);
      bool is_last = end > table->n_rows;
      end = is_last ? table->n_rows : end;
      for (size_t i = table->n_rows_read; i < end; i++)
        table->rows[i].is_in_subset
            = lc_subset_add_row (subset, table->rows[i].key, &table->rows[i].columns);
      table->n_rows_read = end;
      table->n_pages++;
      more = lc_subset_end_page (subset, end > 0 ? table->rows[end - 1].key : "", is_last);
    }
}

static size_t
count_service_endpoints_in_subset (const Table *table, const char *service)
{
  size_t n = 0;

  for (size_t i = 0; i < table->n_rows; i++)
    n += table->rows[i].is_in_subset && strcmp (table->rows[i].columns.service, service) == 0;
  return n;
}

static LcSubset *
new_subset_with_required_services (void)
{
  LcSubset *subset = lc_subset_new ();

  lc_subset_add_required_service (subset, "plain");
  lc_subset_add_required_service (subset, "engines");
  return subset;
}

/* The number of endpoint rows that an instance reads and keeps must not grow with the number of
 * endpoints. */
Test (subset, size_does_not_depend_on_the_number_of_endpoints)
{
  const size_t sizes[] = { 10000, 20000 };

  for (size_t i = 0; i < 2; i++)
    {
      LcSubset *subset = new_subset_with_required_services ();
      Table table;

      table_init_with_random_endpoints (&table, sizes[i]);
      update_subset_from_table_pages (subset, &table);
      update_subset_from_table_pages (subset, &table);
      cr_assert_eq (table.n_pages, 1);
      cr_assert_leq (table.n_rows_read, MAX_PAGE_ROWS);
      cr_assert_eq (count_service_endpoints_in_subset (&table, "plain"), LC_SUBSET_MIN_ENDPOINTS);
      cr_assert_eq (count_service_endpoints_in_subset (&table, "engines"),
                    6 * LC_SUBSET_MIN_ENDPOINTS);
      lc_subset_free (subset);
      free (table.rows);
    }
}

/* In a small deployment, the subset must contain all endpoints. */
Test (subset, small_table_is_known_completely)
{
  LcSubset *subset = new_subset_with_required_services ();
  Table table;

  table_init_with_random_endpoints (&table, 450);
  for (int i = 0; i < 3; i++)
    {
      update_subset_from_table_pages (subset, &table);
      cr_assert_eq (table.n_pages, 1);
      cr_assert_eq (count_service_endpoints_in_subset (&table, "plain")
                        + count_service_endpoints_in_subset (&table, "engines"),
                    450);
    }
  lc_subset_free (subset);
  free (table.rows);
}

/* An instance knows only a subset of the endpoints in the table. A service whose rows have the last
 * keys in the table must have endpoints in the subset too. */
Test (subset, service_at_the_end_of_the_table_is_found)
{
  LcSubset *subset = new_subset_with_required_services ();
  Table table;

  table_init_with_random_endpoints (&table, 3000);
  for (size_t i = 2900; i < 3000; i++)
    table.rows[i].columns = (LcSubsetRow){ .service = "last", .slots = 1 };
  lc_subset_add_required_service (subset, "last");
  update_subset_from_table_pages (subset, &table);
  update_subset_from_table_pages (subset, &table);
  cr_assert_eq (count_service_endpoints_in_subset (&table, "last"), LC_SUBSET_MIN_ENDPOINTS);
  cr_assert_eq (count_service_endpoints_in_subset (&table, "plain"), LC_SUBSET_MIN_ENDPOINTS);
  lc_subset_free (subset);
  free (table.rows);
}

/* Leaving endpoints must stay in the subset of endpoints that an instance uses. If others replaced
 * them, endpoints would enter and leave the subset with each list of the table, and requests would
 * move along with them. */
Test (subset, churn_does_not_displace_other_endpoints)
{
  LcSubset *subset = new_subset_with_required_services ();
  Table table;

  table_init_with_random_endpoints (&table, 10000);
  update_subset_from_table_pages (subset, &table);
  for (size_t i = 0; i < 40; i++)
    table.rows[i * 10].columns.leaving = true;
  update_subset_from_table_pages (subset, &table);
  size_t n_in_subset = count_service_endpoints_in_subset (&table, "engines")
                       + count_service_endpoints_in_subset (&table, "plain");
  cr_assert_eq (n_in_subset, 7 * LC_SUBSET_MIN_ENDPOINTS,
                "leaving endpoints must stay in the subset");
  lc_subset_free (subset);
  free (table.rows);
}

Test (subset, lost_endpoints_are_replaced)
{
  LcSubset *subset = new_subset_with_required_services ();
  Table table;

  table_init_with_random_endpoints (&table, 10000);
  update_subset_from_table_pages (subset, &table);
  table.rows += 250;
  table.n_rows -= 250;
  update_subset_from_table_pages (subset, &table);
  cr_assert_eq (count_service_endpoints_in_subset (&table, "engines"), 6 * LC_SUBSET_MIN_ENDPOINTS);
  cr_assert_eq (count_service_endpoints_in_subset (&table, "plain"), LC_SUBSET_MIN_ENDPOINTS);
  lc_subset_free (subset);
  free (table.rows - 250);
}

/* The subset of engines that an instance uses must grow with its concurrent requests: a step of
 * 2,048 generations must not wait for the few engines of a small subset. */
Test (subset, grows_with_the_number_of_concurrent_requests)
{
  LcSubset *subset = new_subset_with_required_services ();
  Table table;

  table_init_with_random_endpoints (&table, 10000);
  update_subset_from_table_pages (subset, &table);
  lc_subset_set_demand (subset, "m", 2048);
  update_subset_from_table_pages (subset, &table);
  cr_assert_geq (count_service_endpoints_in_subset (&table, "engines"), 6 * 2 * 2048 / 6);
  lc_subset_free (subset);
  free (table.rows);
}

/* All instances must use the same subset of a service's endpoints: those whose row keys do not
 * exceed the bound, a row key that is published for the service. */
Test (subset, subset_holds_the_rows_up_to_the_published_bounds)
{
  LcSubset *subset = new_subset_with_required_services ();
  Table table;

  table_init_with_random_endpoints (&table, 10000);
  lc_subset_set_bound (subset, "engines", table.rows[499].key);
  lc_subset_set_bound (subset, "plain", table.rows[399].key);
  update_subset_from_table_pages (subset, &table);
  update_subset_from_table_pages (subset, &table);
  for (size_t i = 0; i < table.n_rows; i++)
    {
      bool is_engine = table.rows[i].columns.n_models > 0;
      cr_assert_eq (table.rows[i].is_in_subset, i <= (is_engine ? 499 : 399),
                    "row %zu: expected the rows up to the bound, and no others, in the subset", i);
    }
  lc_subset_free (subset);
  free (table.rows);
}

/* Sustained high load must not overload the endpoints of the subset while endpoints outside it are
 * idle, so the subset must grow. */
Test (subset, grows_while_its_endpoints_are_overloaded)
{
  LcSubset *subset = new_subset_with_required_services ();
  Table table;

  table_init_with_random_endpoints (&table, 10000);
  update_subset_from_table_pages (subset, &table);
  lc_subset_grow_for_service (subset, "plain", now);
  lc_subset_grow_for_service (subset, "plain", now + LB_SEC);
  update_subset_from_table_pages (subset, &table);
  size_t n_in_subset = count_service_endpoints_in_subset (&table, "plain");
  cr_assert_geq (n_in_subset, LC_SUBSET_MIN_ENDPOINTS * 3 / 2 - 1);
  cr_assert_leq (n_in_subset, LC_SUBSET_MIN_ENDPOINTS * 3 / 2 + 1,
                 "the subset must grow at most once every few seconds");
  for (int i = 1; i <= 10; i++)
    {
      lc_subset_grow_for_service (subset, "plain", now + i * 4 * LB_SEC);
      update_subset_from_table_pages (subset, &table);
    }
  cr_assert_geq (count_service_endpoints_in_subset (&table, "plain"), 1900);
  lc_subset_free (subset);
  free (table.rows);
}

/* An instance chooses its subset of endpoints, and with it the range of row keys in the subset,
 * before most endpoints have registered. The subset must not include all endpoints that register
 * later with keys in this range. */
Test (subset, is_cut_when_many_endpoints_register_within_its_bounds)
{
  LcSubset *subset = new_subset_with_required_services ();
  Table few;
  Table all;

  table_init_with_random_endpoints (&few, 800);
  update_subset_from_table_pages (subset, &few);
  table_init_with_random_endpoints (&all, 10000);
  update_subset_from_table_pages (subset, &all);
  cr_assert_leq (count_service_endpoints_in_subset (&all, "engines"),
                 2 * 6 * LC_SUBSET_MIN_ENDPOINTS);
  update_subset_from_table_pages (subset, &all);
  cr_assert_eq (count_service_endpoints_in_subset (&all, "engines"), 6 * LC_SUBSET_MIN_ENDPOINTS);
  cr_assert_eq (count_service_endpoints_in_subset (&all, "plain"), LC_SUBSET_MIN_ENDPOINTS);
  update_subset_from_table_pages (subset, &all);
  cr_assert_eq (all.n_pages, 1);
  lc_subset_free (subset);
  free (few.rows);
  free (all.rows);
}

/* Endpoints of a service are searched for by reading more pages of the table. For a service without
 * endpoints, not every list may read the whole table. */
Test (subset, service_without_endpoints_is_searched_periodically)
{
  LcSubset *subset = new_subset_with_required_services ();
  Table table;
  size_t n_multi_page_lists = 0;

  table_init_with_random_endpoints (&table, 10000);
  lc_subset_add_required_service (subset, "absent");
  for (int i = 0; i < 30; i++)
    {
      update_subset_from_table_pages (subset, &table);
      n_multi_page_lists += table.n_pages > 1;
    }
  cr_assert_leq (n_multi_page_lists, 4);
  table.rows[9990].columns.service = "absent";
  for (int i = 0; i < 11; i++)
    update_subset_from_table_pages (subset, &table);
  cr_assert (table.rows[9990].is_in_subset);
  lc_subset_free (subset);
  free (table.rows);
}

/* The number of endpoints that the subset should have must not overflow while a service stays
 * overloaded although all of its endpoints are in the subset. */
Test (subset, does_not_grow_beyond_the_existing_endpoints)
{
  LcSubset *subset = new_subset_with_required_services ();
  Table table;

  table_init_with_random_endpoints (&table, 10000);
  update_subset_from_table_pages (subset, &table);
  update_subset_from_table_pages (subset, &table);
  for (int i = 1; i <= 200; i++)
    {
      lc_subset_grow_for_service (subset, "plain", now + i * 4 * LB_SEC);
      update_subset_from_table_pages (subset, &table);
    }
  cr_assert_eq (count_service_endpoints_in_subset (&table, "plain"), 2000);
  cr_assert_eq (count_service_endpoints_in_subset (&table, "engines"), 6 * LC_SUBSET_MIN_ENDPOINTS);
  lc_subset_free (subset);
  free (table.rows);
}
