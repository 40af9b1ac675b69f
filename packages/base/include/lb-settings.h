#ifndef LB_SETTINGS_H
#define LB_SETTINGS_H

#include "lb-error.h"

struct json_object;

typedef enum
{
  LB_SETTING_TEXT,   /* JSON string, stored in a char array of LbSettingSpec.size bytes */
  LB_SETTING_INT,    /* JSON integer from min to max, stored as int64_t */
  LB_SETTING_REAL,   /* JSON number from min to max, stored as double */
  LB_SETTING_BOOL,   /* JSON boolean, stored as bool */
  LB_SETTING_CHOICE, /* JSON string that is one of choices, stored as its index (int) */
  LB_SETTING_OBJECT, /* JSON object, stored in a struct that LbSettingSpec.fields describes */
  LB_SETTING_ARRAY   /* JSON array, stored as a heap pointer and an element count */
} LbSettingType;

/* Describes one key of a JSON object and where its value is stored in a C struct. An array is
 * stored as a heap pointer at offset and an element count (size_t) at count_offset. Its elements
 * are structs of size bytes that fields describes; if fields is NULL, they are strings (LbName). */
typedef struct LbSettingSpec
{
  const char *key;
  LbSettingType type;
  size_t offset;
  size_t size;
  bool required;
  double min;
  double max;
  const char *const *choices;         /* allowed strings, terminated by NULL */
  const struct LbSettingSpec *fields; /* specs of a nested object's keys; the last has key NULL */
  size_t count_offset;
} LbSettingSpec;

/* Parses JSON with comments. If it is invalid, returns NULL and sets error->where to file, line and
 * column. */
struct json_object *
lb_settings_parse (const char *text, size_t length, const char *file, LbError *error);
struct json_object *lb_settings_read_file (const char *path, LbError *error);

/* Fills target from the object, checking the name, type and range of each key. An error's where has
 * the file and the key path. Absent keys leave their fields unchanged, so the caller sets the
 * defaults in target first. */
bool lb_settings_fill_struct (struct json_object *object,
                              const LbSettingSpec *specs,
                              void *target,
                              const char *file,
                              LbError *error);

#endif
