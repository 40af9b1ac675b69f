#include "ln-settings.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

static bool
read_settings_text (LnSettings *settings, const char *text, LbError *error)
{
  char path[] = "/tmp/lentilspindle-settings-XXXXXX";
  int fd = mkstemp (path);
  size_t length = strlen (text);

  cr_assert_eq (write (fd, text, length), (ssize_t)length);
  close (fd);
  ln_settings_init (settings);
  bool ok = ln_settings_read (settings, path, error);
  unlink (path);
  return ok;
}

static void
expect_settings_error (const char *text, LbErrorCode code, const char *where)
{
  LnSettings settings;
  LbError error = { 0 };

  cr_assert_not (read_settings_text (&settings, text, &error), "expected an error: %s", text);
  cr_assert_eq (error.code, code, "%s: expected the error type of this case, got %s", text,
                lb_error_name (error.code));
  cr_assert (strstr (error.where, where), "%s: expected the place of this case, got %s", text,
             error.where);
  cr_assert (error.detail[0]);
  ln_settings_clear (&settings);
}

Test (settings, each_error_names_the_line_or_key)
{
  expect_settings_error ("{\n  \"http\": {,}\n}", LB_ERROR_BAD_JSON, ":2:");
  expect_settings_error ("[]", LB_ERROR_BAD_VALUE, "(top)");
  expect_settings_error ("{\"htp\": {}}", LB_ERROR_UNKNOWN_KEY, "htp");
  expect_settings_error ("{\"http\": {\"max_body\": 1}}", LB_ERROR_UNKNOWN_KEY, "http.max_body");
  expect_settings_error ("{\"http\": {\"max_body_bytes\": \"1\"}}", LB_ERROR_BAD_VALUE,
                         "http.max_body_bytes");
  expect_settings_error ("{\"http\": {\"max_body_bytes\": 1}}", LB_ERROR_OUT_OF_RANGE,
                         "http.max_body_bytes");
  expect_settings_error ("{\"http\": 4}", LB_ERROR_BAD_VALUE, "http");
  expect_settings_error ("{\"platform\": {\"kind\": \"disk\"}}", LB_ERROR_BAD_VALUE,
                         "platform.kind");
  expect_settings_error ("{\"platform\": {\"kind\": \"http\"}}", LB_ERROR_BAD_VALUE,
                         "platform.address");
  expect_settings_error ("{\"instance\": {\"caller_address\": \"here\"}}", LB_ERROR_BAD_VALUE,
                         "instance.caller_address");
  expect_settings_error ("{\"instance\": {\"caller_address\": \"127.0.0.1:70000\"}}",
                         LB_ERROR_BAD_VALUE, "instance.caller_address");
  expect_settings_error ("{\"instance\": {\"peer_address\": \"0.0.0.0:7000\"}}", LB_ERROR_BAD_VALUE,
                         "instance.peer_address");
  expect_settings_error ("{\"instance\": {\"entry_address\": \"[::]:7000\"}}", LB_ERROR_BAD_VALUE,
                         "instance.entry_address");
  expect_settings_error ("{\"cluster\": {\"seeds\": [\"127.0.0.1:1\"]}}", LB_ERROR_BAD_VALUE,
                         "cluster.key");
  expect_settings_error ("{\"cluster\": {\"key\": \"k\", \"seeds\": [7]}}", LB_ERROR_BAD_VALUE,
                         "cluster.seeds[0]");
  expect_settings_error ("{\"cluster\": {\"key\": \"k\", \"seeds\": [\"x\"]}}", LB_ERROR_BAD_VALUE,
                         "cluster.seeds");
  expect_settings_error ("{\"calls\": {\"policy\": \"luck\"}}", LB_ERROR_BAD_VALUE, "calls.policy");
  expect_settings_error ("{\"calls\": {\"retry_budget\": -1}}", LB_ERROR_OUT_OF_RANGE,
                         "calls.retry_budget");
  expect_settings_error ("{\"log\": {\"level\": \"loud\"}}", LB_ERROR_BAD_VALUE, "log.level");
}

Test (settings, missing_file_is_an_io_error)
{
  LnSettings settings;
  LbError error = { 0 };

  ln_settings_init (&settings);
  cr_assert_not (ln_settings_read (&settings, "/tmp/lentilspindle-no-such-file", &error));
  cr_assert_eq (error.code, LB_ERROR_IO);
  ln_settings_clear (&settings);
}

Test (settings, comments_are_allowed_and_values_are_read)
{
  LnSettings settings;
  LbError error = { 0 };

  cr_assert (read_settings_text (
                 &settings,
                 "{ // one\n \"instance\": {\"name\": \"i7\", \"data_centre\": \"hall-b\"},"
                 " /* two */ \"cluster\": {\"key\": \"k\", \"seeds\": [\"127.0.0.1:1\","
                 " \"127.0.0.1:2\"]}, \"drain\": {\"drain_ms\": 5}, \"seed\": 9 }",
                 &error),
             "expected valid settings, got an error: %s %s", error.where, error.detail);
  cr_assert_str_eq (settings.instance.name, "i7");
  cr_assert_str_eq (settings.instance.data_centre, "hall-b");
  cr_assert_eq (settings.cluster.n_seeds, 2);
  cr_assert_str_eq (settings.cluster.seeds[1], "127.0.0.1:2");
  cr_assert_eq (settings.drain.drain_ms, 5);
  cr_assert_eq (settings.seed, 9);
  cr_assert_eq (settings.http.max_connections, 4096);
  ln_settings_clear (&settings);
}
