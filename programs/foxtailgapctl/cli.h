/* Parsing of the command line and reading of input files, shared by the
   subcommands.  Prefix: cli_.  */

#ifndef FT_CLI_H
#define FT_CLI_H

#include <argtable2.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/environment.h"
#include "ctl.h"

enum
{
  CLI_CONTINUE = -1, /* success; no exit code yet, the subcommand goes on */
  CLI_BODY_LIMIT_BYTES = 16 * 1024 * 1024, /* of a request or a job */
  CLI_TIMEOUT_DEFAULT_MS = 10000,
  CLI_TIMEOUT_MAX_MS
  = 24 * 60 * 60 * 1000, /* of one answer, and of waiting for a job */
  CLI_WAIT_LIMIT_DEFAULT_MS = 60 * 60 * 1000 /* for the end of a job */
};

/* Arguments of every subcommand.  */
struct cli_common
{
  struct arg_lit *json;
  struct arg_lit *help;
  struct arg_lit *version;
  struct arg_end *end;
};

/* Arguments of the subcommands that call entry hosts.  */
struct cli_hosts
{
  struct arg_str *hosts;      /* IP:PORT,... */
  struct arg_str *timeout_ms; /* for one answer */
};

/*! cli_common (), cli_hosts (), cli_timeout_argument () :
 *  Creates the arguments; arg_freetable () frees them. */
struct cli_common cli_common (void);
struct cli_hosts cli_hosts (void);
struct arg_str *cli_timeout_argument (void);

/*! cli_parse () :
 *  Parses the arguments; prints the texts of --help and --version.
 *  @table : COUNT arguments of argtable2, those of COMMON last.
 *  @return : CLI_CONTINUE, or the exit code to end with. */
int cli_parse (const struct ctl_command *command,
               const struct cli_common *common, void **table, size_t count,
               int argc, char **argv);

/*! cli_text () :
 *  @return : the value of an optional argument, or FALLBACK if not given.
 */
const char *cli_text (const struct arg_str *argument, const char *fallback);

/*! cli_number () :
 *  Parses an optional whole number; *out is FALLBACK if it is not given.
 *  @return : false, after a message, if it is not from MIN to MAX. */
bool cli_number (const struct arg_str *argument, uint64_t min, uint64_t max,
                 uint64_t fallback, uint64_t *out);

/*! cli_read_file () :
 *  Reads a whole file; PATH "-" is standard input.
 *  @text : to be freed by g_free (); a NUL byte follows the last byte.
 *  @return : false, after a message, if the file cannot be read or is larger
 *            than LIMIT_BYTES. */
bool cli_read_file (const char *path, size_t limit_bytes, char **text,
                    size_t *size_bytes);

/*! cli_print_messages () :
 *  Writes lines "PATH:LINE: text" to standard error; "PATH: text" for a
 *  message without a line number. */
void cli_print_messages (const char *path,
                         const struct env_messages *messages);

/* An environment document and the file content that it was parsed from.  */
struct cli_document
{
  char *text;
  size_t size_bytes;
  char digest[ENV_DIGEST_SIZE_BYTES]; /* of TEXT */
  struct env_document *document;
};

/*! cli_load_document () :
 *  @out : to be cleared by cli_clear_document () on success.
 *  @return : false, after messages, if the file is not a valid document. */
bool cli_load_document (const char *path, struct cli_document *out);

/*! cli_clear_document () :
 *  Frees the fields and zeroes them; accepts a zeroed one. */
void cli_clear_document (struct cli_document *document);

#endif
