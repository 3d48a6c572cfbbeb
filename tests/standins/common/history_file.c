/* Appends one line of JSON for each event to a history file.  */

#include "standins/common/history_file.h"

#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standins/common/standin.h"

enum
{
  FILE_MODE = 0644,
  NO_FILE = -1,
  DIGEST_CHARS = 16
};

struct hf_file
{
  int fd;
};

struct hf_file *
hf_open (const char *path)
{
  struct hf_file *file = g_new0 (struct hf_file, 1);

  file->fd = NO_FILE;
  if (path == NULL)
    return file;
  file->fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
  if (file->fd >= 0)
    return file;
  perror (path);
  g_free (file);
  return NULL;
}

void
hf_close (struct hf_file *file)
{
  if (file == NULL)
    return;
  if (file->fd >= 0)
    close (file->fd);
  g_free (file);
}

static void
write_line (const struct hf_file *file, const json_t *line)
{
  char *text = json_dumps (line, JSON_COMPACT);
  char *whole;

  if (text == NULL)
    return;
  whole = g_strconcat (text, "\n", NULL);
  if (write (file->fd, whole, strlen (whole)) < 0)
    perror ("history");
  g_free (whole);
  free (text);
}

void
hf_write (struct hf_file *file, const char *who, const char *what,
          json_t *fields)
{
  json_t *line;

  if (file->fd >= 0)
    {
      line = json_pack ("{s:I,s:s,s:s}", "t_ms", (json_int_t)sn_now_ms (),
                        "who", who, "what", what);
      json_object_update (line, fields);
      write_line (file, line);
      json_decref (line);
    }
  json_decref (fields);
}

char *
hf_digest (const char *data, size_t size_bytes)
{
  char *digest = g_compute_checksum_for_data (
      G_CHECKSUM_SHA256, (const guchar *)data, size_bytes);

  digest[DIGEST_CHARS] = '\0';
  return digest;
}
