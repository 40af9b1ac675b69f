#ifndef LB_SETTINGS_H
#define LB_SETTINGS_H

#include "lb-error.h"

struct json_object;

typedef enum
{
  LB_SETTING_TEXT,   /* char array of size bytes */
  LB_SETTING_INT,    /* int64_t in min..max */
  LB_SETTING_REAL,   /* double in min..max */
  LB_SETTING_BOOL,   /* bool */
  LB_SETTING_CHOICE, /* int: index into choices */
  LB_SETTING_OBJECT, /* struct described by fields */
  LB_SETTING_ARRAY   /* array of count elements: see LbSettingSpec */
} LbSettingType;

/* Describes one key of a JSON object and where its value is stored in a C struct. An array is
 * stored as a heap pointer at offset and an element count (size_t) at count_offset; the element is
 * a struct of size bytes described by fields, or a name (LbName) when fields is NULL. */
typedef struct LbSettingSpec
{
  const char *key;
  LbSettingType type;
  size_t offset;
  size_t size;
  bool required;
  double min;
  double max;
  const char *const *choices;         /* terminated by NULL */
  const struct LbSettingSpec *fields; /* terminated by key NULL */
  size_t count_offset;
} LbSettingSpec;

/* Parses JSON with comments. Returns NULL on an error, which has file, line and column. */
struct json_object *
lb_settings_parse (const char *text, size_t length, const char *file, LbError *error);
struct json_object *lb_settings_read_file (const char *path, LbError *error);

/* Fills target from the object, checking the name, type and range of each key. The error has the
 * file and the key path. Absent keys leave their fields unchanged, so set the defaults first. */
bool lb_settings_apply (struct json_object *object,
                        const LbSettingSpec *specs,
                        void *target,
                        const char *file,
                        LbError *error);

#endif
