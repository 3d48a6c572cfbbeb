/* Frame of a stand-in program: command line, start and end.  Prefix: sn_.  */

#ifndef FT_STANDIN_H
#define FT_STANDIN_H

#include <argtable2.h>
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* Options that all of them have.  */
struct sn_args
{
  struct arg_str *address;
  struct arg_int *port;
  struct arg_lit *help;
  struct arg_end *end;
};

/*! sn_args_init () :
 *  Creates the common options with their defaults. */
void sn_args_init (struct sn_args *args);

/*! sn_int (), sn_str () :
 *  @return : an optional argument with its default value. */
struct arg_int *sn_int (const char *name, int value, const char *help);
struct arg_str *sn_str (const char *name, const char *value, const char *help);

/*! sn_history (), sn_seed () :
 *  @return : the option for the history file, and for the seed of random
 *  numbers. */
struct arg_str *sn_history (void);
struct arg_int *sn_seed (void);

/*! sn_args_parse () :
 *  Parses the command line; prints errors, or the help that was asked for.
 *  @table : all options, args->end last.
 *  @return : -1 to go on; else the exit status. */
int sn_args_parse (int argc, char **argv, void **table,
                   const struct sn_args *args);

/*! sn_number () :
 *  @return : the value of an option; negative ones are read as 0. */
uint32_t sn_number (const struct arg_int *arg);

/*! sn_now_ms () :
 *  @return : the time of day in milliseconds since 1970. */
int64_t sn_now_ms (void);

/*! sn_listening () :
 *  Prints "listening PORT", for those that wait for the program. */
void sn_listening (uint16_t port);

/*! sn_run () :
 *  Runs the loop until SIGTERM or SIGINT arrives or it is broken. */
void sn_run (struct ev_loop *loop);

#endif
