#ifndef LN_CRASH_FRAME_H
#define LN_CRASH_FRAME_H

#include "lc-quarantine.h"
#include "ln-messages.h"

/* A report of LC_MAX_REPORT_FINGERPRINTS contents and its names. */
#define LN_CRASH_TEXT_SIZE 2048

/* A row of ln-crash-row in a frame between instances. */
typedef struct
{
  char key[LC_CRASH_REPORT_ID_SIZE];
  char text[LN_CRASH_TEXT_SIZE];
} LnCrashFrame;

/* To all instances, where there is a task of peers. */
void ln_crash_frame_send (LnHub *hub, const char *key, const char *text);
/* False when it is not one of these. */
bool ln_crash_frame_read (const LnPeerMessage *frame, LnCrashFrame *told);

#endif
