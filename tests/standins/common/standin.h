/* What all stand-in programs share: command line, start and end.
   Prefix: sn_.  */

#ifndef FT_STANDIN_H
#define FT_STANDIN_H

#include <argtable2.h>
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* Options that each stand-in program has.  */
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

/*! sn_int_option (), sn_text_option () :
 *  @value : the default.
 *  @return : an option that may be left out. */
struct arg_int *sn_int_option (const char *name, int value, const char *help);
struct arg_str *sn_text_option (const char *name, const char *value,
                                const char *help);

/*! sn_history_option (), sn_seed_option () :
 *  @return : the option --history, a file to append events to; the option
 *  --seed, for the random numbers. */
struct arg_str *sn_history_option (void);
struct arg_int *sn_seed_option (void);

/*! sn_args_parse () :
 *  Parses the command line; prints its errors, or the help if --help is given.
 *  @table : all options, args->end last.
 *  @return : -1 if the program should continue; else its exit status. */
int sn_args_parse (int argc, char **argv, void **table,
                   const struct sn_args *args);

/*! sn_option_number () :
 *  @return : the value of an option; 0 if it is negative. */
uint32_t sn_option_number (const struct arg_int *arg);

/*! sn_now_ms () :
 *  @return : the time of day in milliseconds since 1970. */
int64_t sn_now_ms (void);

/*! sn_print_listening () :
 *  Prints "listening PORT", which tests wait for. */
void sn_print_listening (uint16_t port);

/*! sn_run_until_signal () :
 *  Runs the loop until SIGTERM or SIGINT arrives, or ev_break () is called. */
void sn_run_until_signal (struct ev_loop *loop);

#endif
