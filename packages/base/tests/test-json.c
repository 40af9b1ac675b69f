#include "lb-json.h"
#include "lb-json-keys.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

static struct json_object *object;

static void
parse_test_json_object (void)
{
  object = json_tokener_parse ("{\"text\":\"abc\",\"int\":7,\"real\":1.5,\"bool\":true,"
                               "\"digits\":\"12\",\"null\":null,\"array\":[1],\"object\":{}}");
}

static void
release_test_json_object (void)
{
  json_object_put (object);
}

TestSuite (json, .init = parse_test_json_object, .fini = release_test_json_object);

Test (json, members_of_the_right_type_are_returned)
{
  cr_assert (json_object_is_type (lb_json_member (object, "array"), json_type_array));
  cr_assert_str_eq (lb_json_text (object, "text", "no"), "abc");
  cr_assert_eq (lb_json_int (object, "int", -1), 7);
  cr_assert (lb_json_bool (object, "bool", false));
}

Test (json, absent_null_and_other_types_give_the_fallback)
{
  static const char *const keys[]
      = { "absent", "null", "real", "array", "object", "digits", "text", "int", "bool" };

  cr_assert_null (lb_json_member (object, "absent"));
  cr_assert_null (lb_json_member (object, "null"));
  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    {
      const char *key = keys[i];
      if (strcmp (key, "text") != 0 && strcmp (key, "digits") != 0)
        {
          cr_assert_str_eq (lb_json_text (object, key, "no"), "no",
                            "expected the fallback for key %s", key);
          cr_assert_null (lb_json_text (object, key, NULL), "expected the NULL fallback for key %s",
                          key);
        }
      if (strcmp (key, "int") != 0)
        cr_assert_eq (lb_json_int (object, key, -1), -1, "expected the fallback for key %s", key);
      if (strcmp (key, "bool") != 0)
        cr_assert (lb_json_bool (object, key, true) && !lb_json_bool (object, key, false),
                   "expected the fallback for key %s", key);
    }
}

Test (json, non_objects_have_no_members)
{
  struct json_object *non_objects[]
      = { NULL, lb_json_member (object, "array"), lb_json_member (object, "text") };

  for (size_t i = 0; i < sizeof non_objects / sizeof non_objects[0]; i++)
    {
      cr_assert_null (lb_json_member (non_objects[i], "text"));
      cr_assert_str_eq (lb_json_text (non_objects[i], "text", "no"), "no");
      cr_assert_eq (lb_json_int (non_objects[i], "int", -1), -1);
      cr_assert (lb_json_bool (non_objects[i], "bool", true));
    }
}

static void
assert_duplicate_key_offset (const char *text, long expected)
{
  size_t offset = 0;
  bool found = lb_json_find_duplicate_key (text, strlen (text), &offset);

  cr_assert_eq (found, expected >= 0, "wrong result of the search for a duplicate key in %s", text);
  if (found)
    cr_assert_eq ((long)offset, expected,
                  "%s: expected the duplicate key at another offset than %zu", text, offset);
}

/* An operator duplicates a block of the settings file and changes the first copy. json-c silently
 * uses the second copy, so the change has no effect; the duplicate keys must be found. */
Test (keys, duplicate_key_is_found)
{
  assert_duplicate_key_offset ("{\"a\": 1, \"b\": 2, \"a\": 3}", 17);
  assert_duplicate_key_offset ("{\"o\": {\"x\": 1, \"x\": 2}}", 15);
  assert_duplicate_key_offset ("{\"a\": [1, {\"b\": 1 /* \"b\": */, \"b\" : 2}]}", 30);
  assert_duplicate_key_offset ("{\"a\": {\"a\": {\"a\": 1}}, \"b\": {\"a\": 1}}", -1);
  assert_duplicate_key_offset ("{\"a\": \"a\", \"b\": [\"a\", \"a\"]}", -1);
  assert_duplicate_key_offset ("{\"a\": 1, // \"a\": 2\n \"b\\\"\": 1, \"b\": 2}", -1);
  assert_duplicate_key_offset ("{\"a\": \"unended", -1);
  assert_duplicate_key_offset ("]]}{\"a\"", -1);
}
