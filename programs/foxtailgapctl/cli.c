/* Parsing of the command line and reading of input files.  */

#include "cli.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "common/version.h"

enum
{
  ERROR_LIMIT = 10,
  READ_SIZE_BYTES = 64 * 1024
};

struct cli_common
cli_common (void)
{
  return (struct cli_common){
    .json = arg_lit0 (NULL, "json", "prints JSON"),
    .help = arg_lit0 (NULL, "help", "shows this help and exits"),
    .version = arg_lit0 (NULL, "version", "shows the version and exits"),
    .end = arg_end (ERROR_LIMIT),
  };
}

struct cli_hosts
cli_hosts (void)
{
  return (struct cli_hosts){
    .hosts = arg_str0 (NULL, "hosts", "IP:PORT,...",
                       "entry hosts, tried in this order "
                       "(else $FOXTAILGAP_HOSTS)"),
    .timeout_ms = cli_timeout_argument (),
  };
}

struct arg_str *
cli_timeout_argument (void)
{
  return arg_str0 (NULL, "timeout-ms", "N", "for one answer (default 10000)");
}

static void
print_help (const struct ctl_command *command, void **table)
{
  printf ("Usage: foxtailgapctl %s", command->name);
  arg_print_syntaxv (stdout, table, "\n");
  printf ("foxtailgapctl %s %s.\n\n", command->name, command->summary);
  arg_print_glossary (stdout, table, "  %-26s %s\n");
}

int
cli_parse (const struct ctl_command *command, const struct cli_common *common,
           void **table, size_t count, int argc, char **argv)
{
  char program[64];
  int errors;

  for (size_t i = 0; i < count; i++)
    if (table[i] == NULL)
      {
        fprintf (stderr, "foxtailgapctl: out of memory\n");
        return CTL_USAGE;
      }
  errors = arg_parse (argc, argv, table);
  if (common->help->count > 0)
    {
      print_help (command, table);
      return CTL_DONE;
    }
  if (common->version->count > 0)
    {
      printf ("foxtailgapctl %s %s\n", command->name, FT_VERSION);
      return CTL_DONE;
    }
  if (errors == 0)
    return CLI_CONTINUE;
  snprintf (program, sizeof program, "foxtailgapctl %s", command->name);
  arg_print_errors (stderr, common->end, program);
  return CTL_USAGE;
}

const char *
cli_text (const struct arg_str *argument, const char *fallback)
{
  return argument->count > 0 ? argument->sval[0] : fallback;
}

bool
cli_number (const struct arg_str *argument, uint64_t min, uint64_t max,
            uint64_t fallback, uint64_t *out)
{
  const char *option = argument->hdr.longopts;
  guint64 value;

  *out = fallback;
  if (argument->count == 0)
    return true;
  if (!g_ascii_string_to_unsigned (argument->sval[0], 10, min, max, &value,
                                   NULL))
    {
      fprintf (stderr,
               "foxtailgapctl: %s%s must be a whole number from "
               "%" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT ", not '%s'\n",
               option != NULL ? "--" : "",
               option != NULL ? option : argument->hdr.datatype, min, max,
               argument->sval[0]);
      return false;
    }
  *out = value;
  return true;
}

/* --- Files --- */

static bool
read_all (FILE *file, size_t limit_bytes, GString *content)
{
  char buffer[READ_SIZE_BYTES];
  size_t got;

  while ((got = fread (buffer, 1, sizeof buffer, file)) > 0)
    {
      g_string_append_len (content, buffer, (gssize)got);
      if (content->len > limit_bytes)
        return true;
    }
  return ferror (file) == 0;
}

bool
cli_read_file (const char *path, size_t limit_bytes, char **text,
               size_t *size_bytes)
{
  bool standard_input = strcmp (path, "-") == 0;
  FILE *file = standard_input ? stdin : fopen (path, "rb");
  GString *content = NULL;
  bool good = false;

  if (file == NULL)
    goto out;
  content = g_string_new (NULL);
  if (!read_all (file, limit_bytes, content))
    goto out;
  if (content->len > limit_bytes)
    {
      fprintf (stderr, "%s: larger than %zu bytes\n", path, limit_bytes);
      goto out_told;
    }
  *size_bytes = content->len;
  *text = g_string_free (content, FALSE);
  content = NULL;
  good = true;
out:
  if (!good)
    fprintf (stderr, "%s: %s\n", path, g_strerror (errno));
out_told:
  if (content != NULL)
    g_string_free (content, TRUE);
  if (file != NULL && !standard_input)
    fclose (file);
  return good;
}

void
cli_print_messages (const char *path, const struct env_messages *messages)
{
  for (size_t i = 0; i < messages->count; i++)
    if (messages->items[i].line > 0)
      fprintf (stderr, "%s:%u: %s\n", path, messages->items[i].line,
               messages->items[i].text);
    else
      fprintf (stderr, "%s: %s\n", path, messages->items[i].text);
}

bool
cli_load_document (const char *path, struct cli_document *out)
{
  struct env_messages messages = { 0 };

  memset (out, 0, sizeof *out);
  if (!cli_read_file (path, ENV_DOCUMENT_LIMIT_BYTES, &out->text,
                      &out->size_bytes))
    return false;
  env_digest (out->text, out->size_bytes, out->digest);
  if (env_parse (&out->document, out->text, out->size_bytes, &messages)
      != ENV_OK)
    {
      cli_print_messages (path, &messages);
      cli_clear_document (out);
    }
  env_messages_clear (&messages);
  return out->document != NULL;
}

void
cli_clear_document (struct cli_document *document)
{
  env_free (document->document);
  g_free (document->text);
  memset (document, 0, sizeof *document);
}
