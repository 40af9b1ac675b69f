#include "lb-error.h"
#include "lb-list.h"
#include "lb-settings.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

typedef struct
{
  LbName name;
  int64_t port;
} Server;

typedef struct
{
  Server server;
  bool verbose;
} Settings;

static const LbSettingSpec server_specs[] = {
  { .key = "name",
    .type = LB_SETTING_TEXT,
    .offset = offsetof (Server, name),
    .size = LB_NAME_MAX },
  { .key = "port",
    .type = LB_SETTING_INT,
    .offset = offsetof (Server, port),
    .min = 0,
    .max = 65535 },
  { .key = NULL },
};

static const LbSettingSpec specs[] = {
  { .key = "server",
    .type = LB_SETTING_OBJECT,
    .offset = offsetof (Settings, server),
    .fields = server_specs,
    .required = true },
  { .key = "verbose", .type = LB_SETTING_BOOL, .offset = offsetof (Settings, verbose) },
  { .key = NULL },
};

static LbError
parse_test_settings (const char *text, Settings *settings)
{
  LbError error = { .code = LB_OK };
  struct json_object *object = lb_settings_parse (text, strlen (text), "s.json", &error);

  memset (settings, 0, sizeof *settings);
  if (object)
    lb_settings_fill_struct (object, specs, settings, "s.json", &error);
  json_object_put (object);
  return error;
}

Test (settings, comments_and_known_keys_are_accepted)
{
  Settings settings;
  LbError error
      = parse_test_settings ("{ /* where */ \"server\": { \"name\": \"a\", \"port\": 80 } }",
                             &settings);

  cr_assert_eq (error.code, LB_OK);
  cr_assert_eq (settings.server.port, 80);
}

Test (settings, errors_have_file_and_key_path)
{
  Settings settings;
  LbError error = parse_test_settings ("{\"server\": {\"port\": 70000}}", &settings);

  cr_assert_eq (error.code, LB_ERROR_OUT_OF_RANGE);
  cr_assert_str_eq (error.where, "s.json: server.port");
  error = parse_test_settings ("{\"server\": {\"prot\": 1}}", &settings);
  cr_assert_eq (error.code, LB_ERROR_UNKNOWN_KEY);
  cr_assert_str_eq (error.where, "s.json: server.prot");
  error = parse_test_settings ("{}", &settings);
  cr_assert_eq (error.code, LB_ERROR_MISSING_KEY);
}

Test (settings, bad_json_is_reported_with_line_and_column)
{
  Settings settings;
  LbError error = parse_test_settings ("{\n  \"server\": }", &settings);

  cr_assert_eq (error.code, LB_ERROR_BAD_JSON);
  cr_assert_str_eq (error.where, "s.json:2:13");
  cr_assert_eq (parse_test_settings ("{\"server\": {", &settings).code, LB_ERROR_BAD_JSON);
}

Test (error, every_error_type_has_a_unique_name)
{
  for (int code = 0; code < LB_N_ERRORS; code++)
    {
      cr_assert_not_null (lb_error_name ((LbErrorCode)code), "error code %d has no name", code);
      cr_assert_eq (lb_error_from_name (lb_error_name ((LbErrorCode)code)), code);
    }
}

typedef struct
{
  LbLink link;
  int value;
} Element;

Test (list, elements_can_be_removed_while_iterating)
{
  Element items[3] = { { .value = 1 }, { .value = 2 }, { .value = 3 } };
  LbList list;
  int sum = 0;

  lb_list_init (&list);
  for (int i = 0; i < 3; i++)
    lb_list_append (&list, &items[i].link);
  LB_LIST_FOREACH (&list, Element, link, item)
  {
    sum += item->value;
    lb_list_remove (&list, &item->link);
  }
  cr_assert_eq (sum, 6);
  cr_assert (lb_list_is_empty (&list));
}
