#include "lb-settings.h"

#include "lb-alloc.h"
#include "lb-json-keys.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_KEY_PATH_BYTES 160
#define MAX_SETTINGS_FILE_BYTES (4 << 20)

static bool store_object_setting (struct json_object *object,
                                  const LbSettingSpec *specs,
                                  char *target,
                                  const char *file,
                                  const char *path,
                                  LbError *error);

static bool
set_setting_error (
    LbError *error, LbErrorCode code, const char *file, const char *path, const char *expected)
{
  char where[LB_NAME_MAX + MAX_KEY_PATH_BYTES + 2];

  snprintf (where, sizeof where, "%s: %s", file, path[0] ? path : "(top)");
  return lb_error_set (error, code, where, "%s", expected);
}

static void
get_line_and_column (const char *text, size_t offset, int *line, int *column)
{
  *line = 1;
  *column = 1;
  for (size_t i = 0; i < offset; i++)
    {
      bool is_newline = text[i] == '\n';
      *line += is_newline;
      *column = is_newline ? 1 : *column + 1;
    }
}

struct json_object *
lb_settings_parse (const char *text, size_t length, const char *file, LbError *error)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *object = NULL;
  char where[LB_NAME_MAX + 192];
  int line, column;

  object = json_tokener_parse_ex (tokener, text, (int)length);
  size_t end = json_tokener_get_parse_end (tokener);
  enum json_tokener_error parse_error = json_tokener_get_error (tokener);
  if (parse_error == json_tokener_continue && object == NULL)
    parse_error = json_tokener_error_parse_eof;
  while (end < length && strchr (" \t\r\n", text[end]))
    end++;
  if (parse_error == json_tokener_success && end == length && object)
    goto out;

  get_line_and_column (text, end, &line, &column);
  snprintf (where, sizeof where, "%s:%d:%d", file, line, column);
  lb_error_set (error, LB_ERROR_BAD_JSON, where, "%s",
                parse_error == json_tokener_success ? "expected one JSON value and nothing after it"
                                                    : json_tokener_error_desc (parse_error));
  json_object_put (object);
  object = NULL;
out:
  json_tokener_free (tokener);
  return object;
}

static bool
has_no_duplicate_keys (const char *text, size_t length, const char *path, LbError *error)
{
  char where[LB_NAME_MAX + 192];
  size_t offset;
  int line, column;

  if (!lb_json_find_duplicate_key (text, length, &offset))
    return true;
  get_line_and_column (text, offset, &line, &column);
  snprintf (where, sizeof where, "%s:%d:%d", path, line, column);
  return lb_error_set (error, LB_ERROR_BAD_JSON, where,
                       "expected each key once per object, got it a second time");
}

struct json_object *
lb_settings_read_file (const char *path, LbError *error)
{
  struct json_object *object = NULL;
  char *text = NULL;
  FILE *in = fopen (path, "r");

  if (!in)
    {
      lb_error_set (error, LB_ERROR_IO, path, "cannot open the file");
      return NULL;
    }
  text = lb_malloc (MAX_SETTINGS_FILE_BYTES + 1);
  size_t length = fread (text, 1, MAX_SETTINGS_FILE_BYTES + 1, in);
  if (ferror (in))
    lb_error_set (error, LB_ERROR_IO, path, "cannot read the file");
  else if (length > MAX_SETTINGS_FILE_BYTES)
    lb_error_set (error, LB_ERROR_BODY_TOO_LARGE, path, "expected at most %d bytes",
                  MAX_SETTINGS_FILE_BYTES);
  else
    object = lb_settings_parse (text, length, path, error);
  if (object && !has_no_duplicate_keys (text, length, path, error))
    {
      json_object_put (object);
      object = NULL;
    }
  free (text);
  fclose (in);
  return object;
}

static bool
store_text_setting (struct json_object *value,
                    const LbSettingSpec *spec,
                    char *field,
                    const char *file,
                    const char *path,
                    LbError *error)
{
  if (!json_object_is_type (value, json_type_string))
    return set_setting_error (error, LB_ERROR_BAD_VALUE, file, path, "expected a string");
  if ((size_t)json_object_get_string_len (value) >= spec->size)
    return set_setting_error (error, LB_ERROR_OUT_OF_RANGE, file, path,
                              "expected a shorter string");
  lb_strlcpy (field, json_object_get_string (value), spec->size);
  return true;
}

static bool
store_number_setting (struct json_object *value,
                      const LbSettingSpec *spec,
                      char *field,
                      const char *file,
                      const char *path,
                      LbError *error)
{
  char expected[96];
  bool is_integer = spec->type == LB_SETTING_INT;
  double number = json_object_get_double (value);

  if (is_integer ? !json_object_is_type (value, json_type_int)
                 : !json_object_is_type (value, json_type_int)
                       && !json_object_is_type (value, json_type_double))
    return set_setting_error (error, LB_ERROR_BAD_VALUE, file, path,
                              is_integer ? "expected a whole number" : "expected a number");
  if (!(number >= spec->min && number <= spec->max))
    {
      snprintf (expected, sizeof expected, "expected a number from %g to %g", spec->min, spec->max);
      return set_setting_error (error, LB_ERROR_OUT_OF_RANGE, file, path, expected);
    }
  if (is_integer)
    *(int64_t *)field = json_object_get_int64 (value);
  else
    *(double *)field = number;
  return true;
}

static bool
store_choice_setting (struct json_object *value,
                      const LbSettingSpec *spec,
                      char *field,
                      const char *file,
                      const char *path,
                      LbError *error)
{
  char expected[160] = "expected one of:";
  const char *text
      = json_object_is_type (value, json_type_string) ? json_object_get_string (value) : "";

  for (int i = 0; spec->choices[i]; i++)
    {
      if (strcmp (spec->choices[i], text) == 0)
        {
          *(int *)field = i;
          return true;
        }
      size_t used = strlen (expected);
      snprintf (expected + used, sizeof expected - used, " %s", spec->choices[i]);
    }
  return set_setting_error (error, LB_ERROR_BAD_VALUE, file, path, expected);
}

static bool
store_array_setting (struct json_object *value,
                     const LbSettingSpec *spec,
                     char *target,
                     const char *file,
                     const char *path,
                     LbError *error)
{
  if (!json_object_is_type (value, json_type_array))
    return set_setting_error (error, LB_ERROR_BAD_VALUE, file, path, "expected an array");

  const LbSettingSpec name_spec = { .type = LB_SETTING_TEXT, .size = sizeof (LbName) };
  size_t count = json_object_array_length (value);
  size_t element_size = spec->fields ? spec->size : sizeof (LbName);
  char *elements = lb_calloc (count, element_size);

  free (*(void **)(target + spec->offset));
  *(void **)(target + spec->offset) = elements;
  *(size_t *)(target + spec->count_offset) = count;
  for (size_t i = 0; i < count; i++)
    {
      char element_path[MAX_KEY_PATH_BYTES];
      struct json_object *element = json_object_array_get_idx (value, i);
      char *element_target = elements + i * element_size;

      snprintf (element_path, sizeof element_path, "%s[%zu]", path, i);
      bool ok = spec->fields ? store_object_setting (element, spec->fields, element_target, file,
                                                     element_path, error)
                             : store_text_setting (element, &name_spec, element_target, file,
                                                   element_path, error);
      if (!ok)
        return false;
    }
  return true;
}

static bool
store_setting (struct json_object *value,
               const LbSettingSpec *spec,
               char *target,
               const char *file,
               const char *path,
               LbError *error)
{
  char *field = target + spec->offset;

  switch (spec->type)
    {
    case LB_SETTING_TEXT:
      return store_text_setting (value, spec, field, file, path, error);
    case LB_SETTING_INT:
    case LB_SETTING_REAL:
      return store_number_setting (value, spec, field, file, path, error);
    case LB_SETTING_BOOL:
      if (!json_object_is_type (value, json_type_boolean))
        return set_setting_error (error, LB_ERROR_BAD_VALUE, file, path, "expected true or false");
      *(bool *)field = json_object_get_boolean (value);
      return true;
    case LB_SETTING_CHOICE:
      return store_choice_setting (value, spec, field, file, path, error);
    case LB_SETTING_OBJECT:
      return store_object_setting (value, spec->fields, field, file, path, error);
    case LB_SETTING_ARRAY:
      return store_array_setting (value, spec, target, file, path, error);
    }
  return set_setting_error (error, LB_ERROR_INTERNAL, file, path, "unknown setting type");
}

static const LbSettingSpec *
find_setting_spec_by_key (const LbSettingSpec *specs, const char *key)
{
  for (; specs->key; specs++)
    if (strcmp (specs->key, key) == 0)
      return specs;
  return NULL;
}

static bool
has_all_required_keys (struct json_object *object,
                       const LbSettingSpec *specs,
                       const char *file,
                       const char *path,
                       LbError *error)
{
  char key_path[MAX_KEY_PATH_BYTES];

  for (; specs->key; specs++)
    if (specs->required && !json_object_object_get_ex (object, specs->key, NULL))
      {
        snprintf (key_path, sizeof key_path, "%s%s%s", path, path[0] ? "." : "", specs->key);
        return set_setting_error (error, LB_ERROR_MISSING_KEY, file, key_path,
                                  "required key is missing");
      }
  return true;
}

static bool
store_object_setting (struct json_object *object,
                      const LbSettingSpec *specs,
                      char *target,
                      const char *file,
                      const char *path,
                      LbError *error)
{
  if (!json_object_is_type (object, json_type_object))
    return set_setting_error (error, LB_ERROR_BAD_VALUE, file, path, "expected an object");

  json_object_object_foreach (object, key, value)
  {
    char key_path[MAX_KEY_PATH_BYTES];
    const LbSettingSpec *spec = find_setting_spec_by_key (specs, key);

    snprintf (key_path, sizeof key_path, "%s%s%s", path, path[0] ? "." : "", key);
    if (!spec)
      return set_setting_error (error, LB_ERROR_UNKNOWN_KEY, file, key_path, "unknown key");
    if (!store_setting (value, spec, target, file, key_path, error))
      return false;
  }
  return has_all_required_keys (object, specs, file, path, error);
}

bool
lb_settings_fill_struct (struct json_object *object,
                         const LbSettingSpec *specs,
                         void *target,
                         const char *file,
                         LbError *error)
{
  return store_object_setting (object, specs, target, file, "", error);
}
