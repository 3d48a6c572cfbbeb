/* Command line and input files of the subcommands.  Prefix: cli_.  */

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
  CLI_GO_ON = -1, /* not an exit code */
  CLI_BODY_LIMIT_BYTES = 16 * 1024 * 1024,
  CLI_TIMEOUT_MS = 10000,
  CLI_TIMEOUT_MAX_MS = 24 * 60 * 60 * 1000,
  CLI_WAIT_LIMIT_MS = 60 * 60 * 1000
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
  struct arg_str *hosts;
  struct arg_str *timeout_ms;
};

struct cli_common cli_common (void);
struct cli_hosts cli_hosts (void);
struct arg_str *cli_timeout (void);

/*! cli_parse () :
 *  Reads the arguments; serves --help and --version.
 *  @table : COUNT arguments, those of COMMON last.
 *  @return : CLI_GO_ON, or the exit code to end with. */
int cli_parse (const struct ctl_command *command,
               const struct cli_common *common, void **table, size_t count,
               int argc, char **argv);

/*! cli_text () :
 *  @return : the value of an optional argument, or FALLBACK. */
const char *cli_text (const struct arg_str *argument, const char *fallback);

/*! cli_number () :
 *  Reads an optional whole number.
 *  @return : false, after a message, if it is not from MIN to MAX. */
bool cli_number (const struct arg_str *argument, uint64_t min, uint64_t max,
                 uint64_t fallback, uint64_t *out);

/*! cli_read_file () :
 *  Reads a whole file; PATH "-" is standard input.
 *  @text : to be freed by g_free (); a zero byte follows the last one.
 *  @return : false after a message. */
bool cli_read_file (const char *path, size_t limit_bytes, char **text,
                    size_t *size_bytes);

/*! cli_print_messages () :
 *  Writes "PATH:LINE: text" lines to standard error. */
void cli_print_messages (const char *path,
                         const struct env_messages *messages);

/* A document together with the bytes that it was read from.  */
struct cli_document
{
  char *text;
  size_t size_bytes;
  char digest[ENV_DIGEST_SIZE_BYTES];
  struct env_document *document;
};

/*! cli_load_document () :
 *  @return : false, after messages, if the file is no good document. */
bool cli_load_document (const char *path, struct cli_document *out);
void cli_clear_document (struct cli_document *document);

#endif
