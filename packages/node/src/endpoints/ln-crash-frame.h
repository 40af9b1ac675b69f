#ifndef LN_CRASH_FRAME_H
#define LN_CRASH_FRAME_H

#include "lc-quarantine.h"
#include "ln-messages.h"

/* Bytes of a row's text; enough for LC_MAX_REPORT_FINGERPRINTS fingerprints and all names. */
#define LN_CRASH_TEXT_SIZE 2048

/* The store row of a crash report or clearance, as one instance sends it to the others. */
typedef struct
{
  char key[LC_CRASH_REPORT_ID_SIZE];
  char text[LN_CRASH_TEXT_SIZE]; /* value of the row */
} LnCrashFrame;

/* Sends the row to all instances; does nothing if there is no task "peers". */
void ln_crash_frame_send (LnHub *hub, const char *key, const char *text);
/* False if the frame is of another kind or malformed. */
bool ln_crash_frame_read (const LnPeerMessage *frame, LnCrashFrame *row);

#endif
