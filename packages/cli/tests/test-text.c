#include "lt-resources.h"

#include <criterion/criterion.h>
#include <json-c/json.h>

/* Guards against a crash of the command when a reply has null in place of text. */
Test (text, null_reads_as_empty_text)
{
  struct json_object *object = json_tokener_parse ("{\"kind\": null, \"n\": 7}");

  cr_assert_str_eq (lt_json_get_text (object, "kind"), "");
  cr_assert_str_eq (lt_json_get_text (object, "absent"), "");
  cr_assert_str_eq (lt_json_get_text (object, "n"), "7");
  json_object_put (object);
}
