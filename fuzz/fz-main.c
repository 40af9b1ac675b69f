#include "lb-alloc.h"

#include <dirent.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Runs a fuzz target without libFuzzer, for the tests: fuzz-short-TARGET CORPUS SECONDS SEED. Runs
 * each file of the corpus, then mutations of them. Prints the input at which the target aborts. */

#define MAX_INPUTS 256
#define MAX_INPUT_BYTES 8192

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

typedef struct
{
  uint8_t bytes[MAX_INPUT_BYTES];
  size_t size;
} Input;

static Input corpus[MAX_INPUTS];
static size_t n_corpus;
static Input current;

static void
write_byte_in_hexadecimal (uint8_t byte)
{
  static const char digits[] = "0123456789abcdef";
  const char text[] = { digits[byte / 16], digits[byte % 16] };

  if (write (STDERR_FILENO, text, sizeof text) < 0)
    _exit (1);
}

static void
print_input_and_exit (int signal_number)
{
  static const char message[] = "the target failed at this input, in hexadecimal:\n";

  (void)signal_number;
  if (write (STDERR_FILENO, message, sizeof message - 1) < 0)
    _exit (1);
  for (size_t i = 0; i < current.size; i++)
    write_byte_in_hexadecimal (current.bytes[i]);
  _exit (1);
}

static void
read_corpus (const char *folder)
{
  DIR *directory = opendir (folder);
  const struct dirent *entry;

  while (directory && (entry = readdir (directory)) && n_corpus < MAX_INPUTS)
    {
      char *path = lb_asprintf ("%s/%s", folder, entry->d_name);
      FILE *file = entry->d_name[0] == '.' ? NULL : fopen (path, "rb");
      if (file)
        {
          corpus[n_corpus].size = fread (corpus[n_corpus].bytes, 1, MAX_INPUT_BYTES, file);
          n_corpus++;
          fclose (file);
        }
      free (path);
    }
  if (directory)
    closedir (directory);
}

static void
replace_bytes (Input *input, size_t at, size_t n_removed, const void *bytes, size_t n_bytes)
{
  size_t n_after = input->size - at - n_removed;

  if (at + n_bytes + n_after > MAX_INPUT_BYTES)
    return;
  memmove (input->bytes + at + n_bytes, input->bytes + at + n_removed, n_after);
  memcpy (input->bytes + at, bytes, n_bytes);
  input->size = at + n_bytes + n_after;
}

static void
mutate_input (Input *input)
{
  static const char *const tokens[] = { "\r\n",
                                        "\n",
                                        " ",
                                        "\t",
                                        ":",
                                        "0",
                                        "\r\n\r\n",
                                        "chunked",
                                        ";x=1",
                                        "GET / ",
                                        "a",
                                        "\xff",
                                        "data: x\n",
                                        "id: 2",
                                        "\"",
                                        "HTTP/1.1",
                                        "\r",
                                        "Host: h\r\n",
                                        "\xff\xff",
                                        "0\r\n",
                                        "Content-Length: 3\r\n",
                                        "Transfer-Encoding: chunked\r\n",
                                        "Connection: close\r\n" };
  const Input *other = &corpus[(size_t)rand () % n_corpus];
  size_t at = (size_t)rand () % (input->size + 1);
  size_t n_left = input->size - at;
  size_t n_removed = n_left > 0 && rand () % 2 ? (size_t)rand () % (n_left < 16 ? n_left : 16) : 0;
  const char *token = tokens[(size_t)rand () % (sizeof tokens / sizeof tokens[0])];
  size_t from = (size_t)rand () % (other->size + 1);

  switch (rand () % 4)
    {
    case 0:
      replace_bytes (input, at, n_removed, token, strlen (token));
      break;
    case 1:
      replace_bytes (input, at, n_removed, "", 0);
      break;
    case 2:
      replace_bytes (input, at, n_removed, other->bytes + from, (other->size - from) / 2);
      break;
    default:
      if (n_left > 0)
        input->bytes[at] = (uint8_t)rand ();
    }
}

int
main (int argc, char **argv)
{
  int64_t n_runs = 0;
  time_t end = 0;

  if (argc != 4)
    return 2;
  signal (SIGABRT, print_input_and_exit);
  signal (SIGSEGV, print_input_and_exit);
  srand ((unsigned)atoi (argv[3]));
  read_corpus (argv[1]);
  if (n_corpus == 0)
    return 2;
  for (end = time (NULL) + atoi (argv[2]); time (NULL) < end || n_runs < (int64_t)n_corpus;
       n_runs++)
    {
      current = corpus[n_runs < (int64_t)n_corpus ? (size_t)n_runs : (size_t)rand () % n_corpus];
      for (int i = n_runs < (int64_t)n_corpus ? 0 : 1 + rand () % 4; i > 0; i--)
        mutate_input (&current);
      LLVMFuzzerTestOneInput (current.bytes, current.size);
    }
  printf ("%lld inputs\n", (long long)n_runs);
  return 0;
}
