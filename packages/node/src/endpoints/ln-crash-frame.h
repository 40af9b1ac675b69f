#ifndef LN_CRASH_FRAME_H
#define LN_CRASH_FRAME_H

#include "lc-quarantine.h"
#include "ln-messages.h"

/* Size of a row's JSON text in bytes, enough for LC_MAX_REPORT_FINGERPRINTS fingerprints and an
 * endpoint's name. */
#define LN_CRASH_TEXT_SIZE 2048

/* Row of the store that reports requests under which an endpoint crashed, or that clears a request
 * because an endpoint answered it. An instance also sends the row to the others in a frame. */
typedef struct
{
  char key[LC_CRASH_REPORT_ID_SIZE];
  char text[LN_CRASH_TEXT_SIZE]; /* value of the row, JSON */
} LnCrashFrame;

/* Sends the row to all other instances; does nothing if this process has no task "peers". */
void ln_crash_frame_send (LnHub *hub, const char *key, const char *text);
/* Returns false if the frame does not contain a crash row or is malformed. */
bool ln_crash_frame_read (const LnPeerMessage *frame, LnCrashFrame *row);

#endif
