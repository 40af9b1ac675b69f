#include "lc-change.h"
#include "lb-settings.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define POOL "{\"kind\":\"pool\",\"name\":\"reader\"}"
#define SUBSCRIPTION "{\"kind\":\"subscription\",\"name\":\"t\",\"pool\":\"reader\","
#define ENGINE(name, address)                                                                      \
  "{\"kind\":\"endpoint\",\"type\":\"engine\",\"name\":\"" name "\",\"pool\":\"reader\","          \
  "\"address\":\"" address "\"}"

static LcResourceSet *
parse_resource_list (const char *list, LbError *error)
{
  char text[2048];

  snprintf (text, sizeof text, "{\"revision\": 3, \"resources\": [%s]}", list);
  struct json_object *object = lb_settings_parse (text, strlen (text), "r.json", error);
  LcResourceSet *set = object ? lc_resource_set_from_json (object, "r.json", error) : NULL;
  json_object_put (object);
  return set;
}

static LcResourceSet *
apply_json_change_to_set (const LcResourceSet *set, const char *text, LbError *error)
{
  struct json_object *object = json_tokener_parse (text);
  LcResourceSet *next = lc_change_apply_to_resource_set (set, object, "c.json", error);

  json_object_put (object);
  return next;
}

Test (resources, json_round_trip_preserves_resources)
{
  LbError error;
  LcResourceSet *set
      = parse_resource_list (POOL "," SUBSCRIPTION "\"preset\":\"staleness\"},"
                                  "{\"kind\":\"version_bound\",\"name\":\"b\","
                                  "\"subscription\":\"t\",\"max_lag\":2}," //
                             ENGINE ("e2", "127.0.0.1:2") "," ENGINE ("e1", "127.0.0.1:1"),
                             &error);
  struct json_object *first = lc_resource_set_to_json (set);
  LcResourceSet *again = lc_resource_set_from_json (first, "again", &error);
  struct json_object *second = lc_resource_set_to_json (again);

  cr_assert_eq (set->revision, 3);
  cr_assert_float_eq (lc_resource_set_find_subscription (set, "t")->idle_weight, 0.1, 1e-9);
  cr_assert_eq (lc_resource_set_max_lag (set, "t"), 2);
  cr_assert_str_eq (lc_resource_set_find_endpoint (set, "e1")->address, "127.0.0.1:1");
  cr_assert (json_object_equal (first, second));
  json_object_put (first);
  json_object_put (second);
  lc_resource_set_free (set);
  lc_resource_set_free (again);
}

Test (resources, invalid_resources_are_rejected_with_code_and_location)
{
  static const struct
  {
    const char *list;
    LbErrorCode code;
    const char *where;
  } faults[] = {
    { POOL "," POOL, LB_ERROR_BAD_VALUE, "r.json: pool/reader" },
    { "{\"kind\":\"pol\",\"name\":\"reader\"}", LB_ERROR_BAD_VALUE, "r.json: pol/reader" },
    { "{\"name\":\"reader\"}", LB_ERROR_MISSING_KEY, "r.json: resources[0]" },
    { "7", LB_ERROR_BAD_VALUE, "r.json: resources[0]" },
    { "{\"kind\":\"pool\",\"name\":\"a/b\"}", LB_ERROR_BAD_VALUE, "r.json: pool/a/b" },
    { "{\"kind\":\"pool\",\"name\":\"p\",\"live_reserve\":2}", LB_ERROR_OUT_OF_RANGE,
      "r.json: pool/p: live_reserve" },
    { "{\"kind\":\"pool\",\"name\":\"p\",\"size\":2}", LB_ERROR_UNKNOWN_KEY,
      "r.json: pool/p: size" },
    { SUBSCRIPTION "\"share\":1}", LB_ERROR_BAD_REFERENCE, "r.json: subscription/t" },
    { POOL "," SUBSCRIPTION "\"scorer\":\"s\"}", LB_ERROR_BAD_REFERENCE, "r.json: subscription/t" },
    { ENGINE ("e1", "127.0.0.1:1"), LB_ERROR_BAD_REFERENCE, "r.json: endpoint/e1" },
    { POOL "," ENGINE ("e1", "localhost:1"), LB_ERROR_BAD_VALUE, "r.json: endpoint/e1" },
    { POOL "," ENGINE ("e1", "127.0.0.1:1") "," ENGINE ("e2", "127.0.0.1:1"),
      LB_ERROR_BAD_REFERENCE, NULL },
    { POOL
      "," ENGINE ("e1",
                  "127.0.0.1:1") ",{\"kind\":\"endpoint\",\"type\":\"service\","
                                 "\"name\":\"s\",\"pool\":\"reader\",\"address\":\"127.0.0.1:2\"}",
      LB_ERROR_BAD_REFERENCE, "r.json: endpoint/s" },
  };

  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      LbError error = { .code = LB_OK };
      cr_assert_null (parse_resource_list (faults[i].list, &error),
                      "fault %zu: expected the resources to be rejected", i);
      cr_assert_eq (error.code, faults[i].code, "fault %zu: unexpected error %s", i,
                    lb_error_name (error.code));
      if (faults[i].where)
        cr_assert_str_eq (error.where, faults[i].where);
    }
}

/* A set that was built by a change must equal the set parsed from its JSON. */
static void
assert_set_equals_its_json_round_trip (const LcResourceSet *set)
{
  LbError error;
  struct json_object *object = lc_resource_set_to_json (set);
  LcResourceSet *again = lc_resource_set_from_json (object, "again", &error);
  struct json_object *second = lc_resource_set_to_json (again);

  cr_assert (json_object_equal (object, second));
  json_object_put (object);
  json_object_put (second);
  lc_resource_set_free (again);
}

Test (change, changed_set_stays_sorted_by_name)
{
  LbError error;
  LcResourceSet *set
      = parse_resource_list (POOL "," ENGINE ("e3", "127.0.0.1:3") "," ENGINE ("e5", "127.0.0.1:5"),
                             &error);
  LcResourceSet *next = apply_json_change_to_set (
      set,
      "{\"apply\":[" ENGINE ("e4", "127.0.0.1:4") "," ENGINE ("e9",
                                                              "127.0.0.1:9") //
      "," ENGINE ("e1", "127.0.0.1:1") "," ENGINE ("e3", "127.0.0.1:33") "]}",
      &error);

  cr_assert_eq (next->n_endpoints, 5);
  cr_assert_str_eq (lc_resource_set_find_endpoint (next, "e3")->address, "127.0.0.1:33");
  cr_assert_str_eq (lc_resource_set_find_endpoint (next, "e9")->address, "127.0.0.1:9");
  assert_set_equals_its_json_round_trip (next);
  lc_resource_set_free (set);
  lc_resource_set_free (next);
}

Test (change, change_adds_replaces_deletes_and_increments_the_revision)
{
  LbError error;
  LcResourceSet *set = parse_resource_list (POOL "," ENGINE ("e1", "127.0.0.1:1"), &error);
  LcResourceSet *next = apply_json_change_to_set (
      set,
      "{\"apply\":[" ENGINE ("e2",
                             "127.0.0.1:2") ",{\"kind\":\"pool\",\"name\":"
                                            "\"reader\",\"weight_version\":9}],"
                                            "\"delete\":[{\"kind\":\"endpoint\",\"name\":\"e1\"}]}",
      &error);

  cr_assert_eq (next->revision, 4);
  cr_assert_null (lc_resource_set_find_endpoint (next, "e1"));
  cr_assert_not_null (lc_resource_set_find_endpoint (next, "e2"));
  cr_assert_eq (lc_resource_set_find_pool (next, "reader")->weight_version, 9);
  assert_set_equals_its_json_round_trip (next);
  lc_resource_set_free (set);
  lc_resource_set_free (next);
}

Test (change, change_with_an_invalid_result_is_rejected)
{
  LbError error;
  LcResourceSet *set = parse_resource_list (POOL "," ENGINE ("e1", "127.0.0.1:1"), &error);

  cr_assert_null (
      apply_json_change_to_set (set, "{\"delete\":[{\"kind\":\"pool\",\"name\":\"reader\"}]}",
                                &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_REFERENCE);
  cr_assert_null (
      apply_json_change_to_set (set, "{\"delete\":[{\"kind\":\"pool\",\"name\":\"x\"}]}", &error));
  cr_assert_eq (error.code, LB_ERROR_UNKNOWN_RESOURCE);
  cr_assert_null (apply_json_change_to_set (set, "{\"apply\":[" POOL "," POOL "]}", &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_VALUE);
  cr_assert_null (apply_json_change_to_set (set, "{\"aply\":[]}", &error));
  cr_assert_eq (error.code, LB_ERROR_UNKNOWN_KEY);
  lc_resource_set_free (set);
}
