#include "lt-resources.h"

#include <criterion/criterion.h>
#include <json-c/json.h>

/* A reply with a null where a text belongs ended the command with a crash in place of a line. */
Test (text, null_is_empty)
{
  struct json_object *object = json_tokener_parse ("{\"kind\": null, \"n\": 7}");

  cr_assert_str_eq (lt_json_text (object, "kind"), "");
  cr_assert_str_eq (lt_json_text (object, "absent"), "");
  cr_assert_str_eq (lt_json_text (object, "n"), "7");
  json_object_put (object);
}
