/* What all stand-in programs share: command line, start and end.  */

#include "standins/common/standin.h"

#include <signal.h>
#include <stdio.h>
#include <time.h>

enum
{
  SHOWN_ERRORS = 10,
  MS_PER_S = 1000,
  NS_PER_MS = 1000000
};

struct arg_int *
sn_int_option (const char *name, int value, const char *help)
{
  struct arg_int *arg = arg_int0 (NULL, name, "N", help);

  arg->ival[0] = value;
  return arg;
}

struct arg_str *
sn_text_option (const char *name, const char *value, const char *help)
{
  struct arg_str *arg = arg_str0 (NULL, name, "TEXT", help);

  arg->sval[0] = value;
  return arg;
}

void
sn_args_init (struct sn_args *args)
{
  args->address
      = sn_text_option ("address", "127.0.0.1", "IP number to listen on");
  args->port = sn_int_option ("port", 0, "TCP port; 0: any free port");
  args->help = arg_lit0 (NULL, "help", "shows the options");
  args->end = arg_end (SHOWN_ERRORS);
}

struct arg_str *
sn_history_option (void)
{
  return sn_text_option ("history", NULL, "file to append effects to");
}

struct arg_int *
sn_seed_option (void)
{
  return sn_int_option ("seed", 1, "seed of the random numbers");
}

int
sn_args_parse (int argc, char **argv, void **table, const struct sn_args *args)
{
  int errors = arg_parse (argc, argv, table);

  if (args->help->count > 0)
    {
      printf ("Usage: %s", argv[0]);
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-28s %s\n");
      return 0;
    }
  if (errors == 0)
    return -1;
  arg_print_errors (stderr, args->end, argv[0]);
  return 2;
}

uint32_t
sn_option_number (const struct arg_int *arg)
{
  return arg->ival[0] < 0 ? 0 : (uint32_t)arg->ival[0];
}

int64_t
sn_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

void
sn_print_listening (uint16_t port)
{
  printf ("listening %u\n", port);
  fflush (stdout);
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

void
sn_run_until_signal (struct ev_loop *loop)
{
  ev_signal terminate;
  ev_signal interrupt;

  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&terminate, on_signal, SIGTERM);
  ev_signal_start (loop, &terminate);
  ev_signal_init (&interrupt, on_signal, SIGINT);
  ev_signal_start (loop, &interrupt);
  ev_run (loop, 0);
  ev_signal_stop (loop, &terminate);
  ev_signal_stop (loop, &interrupt);
}
