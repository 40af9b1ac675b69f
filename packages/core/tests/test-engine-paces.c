#include "lc-engine-paces.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <math.h>

static const LbName engines[] = { "i-0", "i-1", "i-2", "i-3", "i-4" };

#define N_ENGINES 5

Test (engine_paces, json_round_trip_keeps_paces)
{
  LcEnginePaces paces = { .n = 0 };
  LcEnginePaces read;

  lc_engine_paces_add (&paces, "i-0", 0.0123);
  lc_engine_paces_add (&paces, "i-1", 0);
  lc_engine_paces_add (&paces, "i-2", NAN);
  lc_engine_paces_add (&paces, "i-3", 1e9);
  cr_assert_eq (paces.n, 1);
  struct json_object *object = lc_engine_paces_to_json (&paces);
  lc_engine_paces_from_json (object, &read);
  cr_assert_eq (read.n, 1);
  cr_assert_eq (read.paces[0].engine, paces.paces[0].engine);
  cr_assert_eq (read.paces[0].token_us, 12300);
  json_object_put (object);
}

/* Rows may be damaged, or written by a later version. */
Test (engine_paces, unreadable_paces_are_ignored)
{
  static const char *const texts[] = { "[]",
                                       "4",
                                       "{\"x\": 4}",
                                       "{\"0000000g\": 4}",
                                       "{\"00000001\": \"4\"}",
                                       "{\"00000001\": -4}",
                                       "{\"00000001\": 0}",
                                       "{\"00000001\": 99999999999}" };
  LcEnginePaces paces;

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      struct json_object *object = json_tokener_parse (texts[i]);
      lc_engine_paces_from_json (object, &paces);
      cr_assert_eq (paces.n, 0, "%s", texts[i]);
      json_object_put (object);
    }
}

Test (engine_paces, capacity_is_slots_at_the_median_pace)
{
  static const double expected[N_ENGINES] = { 12, 3, 6, 6, 6 };
  LcPaceTable *table = lc_pace_table_new ();
  LcEnginePaces paces = { .n = 0 };
  double slots[N_ENGINES] = { 6, 6, 6, 0, 6 };

  lc_engine_paces_add (&paces, "i-0", 0.010);
  lc_engine_paces_add (&paces, "i-1", 0.040);
  lc_engine_paces_add (&paces, "i-2", 0.020);
  lc_engine_paces_add (&paces, "i-4", 0.019); /* equal but for errors of measurement */
  lc_pace_table_record (table, &paces, 100 * LB_SEC);
  lc_pace_table_convert_slots_to_capacities (table, engines, slots, N_ENGINES, 101 * LB_SEC);
  for (size_t i = 0; i < N_ENGINES; i++)
    cr_expect_float_eq (slots[i], expected[i], 0.7, "engine %zu: %f", i, slots[i]);
  cr_assert_eq (slots[4], slots[2]);
  lc_pace_table_free (table);
}

/* If the paces of engines that were replaced stayed, the division would go by them for ever. */
Test (engine_paces, outdated_paces_do_not_count)
{
  LcPaceTable *table = lc_pace_table_new ();
  LcEnginePaces paces = { .n = 0 };
  double slots[N_ENGINES] = { 6, 6, 6, 6, 6 };

  lc_engine_paces_add (&paces, "i-0", 0.010);
  lc_engine_paces_add (&paces, "i-1", 0.040);
  lc_pace_table_record (table, &paces, 100 * LB_SEC);
  lc_pace_table_convert_slots_to_capacities (table, engines, slots, N_ENGINES, 200 * LB_SEC);
  for (size_t i = 0; i < N_ENGINES; i++)
    cr_assert_eq (slots[i], 6);
  lc_pace_table_remove_outdated (table, 200 * LB_SEC);
  lc_pace_table_free (table);
}

/* Each instance reads every batch row. Paces that say only that all engines are equal would double
 * the bytes that an idle instance reads. */
Test (engine_paces, paces_of_equal_engines_are_not_stored)
{
  LcEnginePaces paces = { .n = 0 };

  lc_engine_paces_add (&paces, "i-0", 0.020);
  lc_engine_paces_add (&paces, "i-1", 0.021);
  lc_engine_paces_add (&paces, "i-2", 0.019);
  lc_engine_paces_clear_if_even (&paces);
  cr_assert_eq (paces.n, 0);
  lc_engine_paces_clear_if_even (&paces);
  lc_engine_paces_add (&paces, "i-0", 0.020);
  lc_engine_paces_add (&paces, "i-1", 0.020);
  lc_engine_paces_add (&paces, "i-2", 0.040);
  lc_engine_paces_clear_if_even (&paces);
  cr_assert_eq (paces.n, 3);
}
