/* digest: prints the digest of a file, in the form that `apply --digest`
   expects.  */

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#include "cli.h"
#include "ctl.h"
#include "print.h"

static int
show_digest (const char *path, bool json)
{
  char digest[ENV_DIGEST_SIZE_BYTES];
  json_t *object;
  char *text = NULL;
  size_t size_bytes;

  if (!cli_read_file (path, ENV_DOCUMENT_LIMIT_BYTES, &text, &size_bytes))
    return CTL_USAGE;
  env_digest (text, size_bytes, digest);
  g_free (text);
  if (!json)
    {
      printf ("%s\n", digest);
      return CTL_DONE;
    }
  object = json_pack ("{s:s, s:s}", "file", path, "digest", digest);
  pr_json (object);
  json_decref (object);
  return CTL_DONE;
}

int
cmd_digest (const struct ctl_command *command, int argc, char **argv)
{
  struct arg_file *file
      = arg_file1 (NULL, NULL, "FILE", "any file, - for standard input");
  struct cli_common common = cli_common ();
  void *table[]
      = { file, common.json, common.help, common.version, common.end };
  int code
      = cli_parse (command, &common, table, G_N_ELEMENTS (table), argc, argv);

  if (code == CLI_CONTINUE)
    code = show_digest (file->filename[0], common.json->count > 0);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
