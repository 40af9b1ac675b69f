#include "ln-settings.h"

#include <stdio.h>
#include <sys/mman.h>
#include <unistd.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Parses the input as the daemon's settings file. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  LnSettings settings;
  LbError error = { 0 };
  char path[64];
  int fd = memfd_create ("settings", 0);

  if (fd < 0)
    return 0;
  snprintf (path, sizeof path, "/proc/self/fd/%d", fd);
  if (write (fd, data, size) == (ssize_t)size)
    {
      ln_settings_init (&settings);
      ln_settings_read (&settings, path, &error);
      ln_settings_clear (&settings);
    }
  close (fd);
  return 0;
}
