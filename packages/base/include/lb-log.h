#ifndef LB_LOG_H
#define LB_LOG_H

#include "lb-error.h"

typedef enum
{
  LB_LOG_DEBUG,
  LB_LOG_INFO,
  LB_LOG_WARNING,
  LB_LOG_ERROR,
  LB_LOG_OFF
} LbLogLevel;

typedef enum
{
  LB_FIELD_END,
  LB_FIELD_TEXT,
  LB_FIELD_INT,
  LB_FIELD_REAL,
  LB_FIELD_BOOL,
  LB_FIELD_JSON /* JSON text, inserted as a JSON value instead of a string */
} LbLogFieldType;

/* One key and value of a log line, built with LB_TEXT, LB_INT, LB_REAL, LB_BOOL or LB_JSON. */
typedef struct
{
  LbLogFieldType type;
  const char *key;
  union
  {
    const char *text;
    int64_t integer;
    double real;
    bool boolean;
  } value;
} LbLogField;

#define LB_TEXT(k, v) ((LbLogField){ .type = LB_FIELD_TEXT, .key = (k), .value.text = (v) })
#define LB_INT(k, v)                                                                               \
  ((LbLogField){ .type = LB_FIELD_INT, .key = (k), .value.integer = (int64_t)(v) })
#define LB_REAL(k, v) ((LbLogField){ .type = LB_FIELD_REAL, .key = (k), .value.real = (v) })
#define LB_BOOL(k, v) ((LbLogField){ .type = LB_FIELD_BOOL, .key = (k), .value.boolean = (v) })
#define LB_JSON(k, v) ((LbLogField){ .type = LB_FIELD_JSON, .key = (k), .value.text = (v) })

void lb_log_init (LbLogLevel level, int fd, const char *instance);
/* After this call, log lines are buffered in memory until lb_log_flush, which the caller must call
 * regularly. Lines that don't fit into the buffer are dropped and counted; a part of the buffer is
 * reserved for warnings and errors. */
void lb_log_enable_buffering (void);
/* Writes as many buffered lines as the log's file descriptor accepts without blocking. */
void lb_log_flush (void);
/* Returns the number of log lines dropped since the process started. */
int64_t lb_log_count_dropped_lines (void);
bool lb_log_is_enabled (LbLogLevel level);
void lb_log_write_event (LbLogLevel level, const char *event, const LbLogField *fields);
void lb_log_error (LbLogLevel level, const char *event, const LbError *error);

/* Logs an event with its fields, for example
 * lb_log (LB_LOG_INFO, "started", LB_TEXT ("address", a), LB_INT ("port", p)); */
#define lb_log(level, event, ...)                                                                  \
  do                                                                                               \
    {                                                                                              \
      if (lb_log_is_enabled (level))                                                               \
        lb_log_write_event (level, event,                                                          \
                            (const LbLogField[]){                                                  \
                                __VA_ARGS__ __VA_OPT__ (, ){ .type = LB_FIELD_END } });            \
    }                                                                                              \
  while (0)

#endif
