/* foxtailgapd: the daemon of one entry host.  */

#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/logging.h"
#include "common/version.h"
#include "messages.h"
#include "tasks.h"

static const char PART[] = "daemon";

enum
{
  EXIT_DONE = 0,
  EXIT_NOT_STARTED = 1,
  EXIT_USAGE = 2,
  DRAIN_CHECK_MS = 20,
  DRAIN_IDLE_CHECKS = 2 /* one check may miss work that is in a message between
                            tasks */
};

/* The tasks, in the order of creation, and the timers of the shutdown.  */
struct process
{
  struct daemon daemon;
  struct state_task *state;
  struct front_task *front;
  struct upstream_task *upstream;
  struct planner_task *planner;
  struct renewal_task *renewal;
  struct peers_task *peers;
  struct hosts_task *hosts;
  ev_signal sigterm_watcher;
  ev_signal sigint_watcher;
  ev_timer drain_timer;
  int64_t drain_deadline_ms;
  uint32_t idle_checks;
};

/* --- Shutdown --- */

static void
on_drain_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct process *process = watcher->data;
  uint32_t calls = front_open_requests (process->front);
  uint32_t requests = upstream_open_requests (process->upstream);
  uint32_t appends = state_open_appends (process->state);
  bool open = calls + requests + appends > 0;

  (void)events;
  process->idle_checks = open ? 0 : process->idle_checks + 1;
  if (process->idle_checks < DRAIN_IDLE_CHECKS
      && clk_monotonic_ms (NULL) < process->drain_deadline_ms)
    return;
  if (open)
    lg_warning (PART,
                "The shutdown timeout has passed; unfinished work is dropped.",
                "calls", lg_number (calls), "requests", lg_number (requests),
                "appends", lg_number (appends), NULL);
  ev_break (loop, EVBREAK_ALL);
}

/* Begins the shutdown: no new work is accepted, and work in progress may
   finish until the shutdown timeout.  */
static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct process *process = watcher->data;
  struct daemon *daemon = &process->daemon;
  struct mb_box *boxes[]
      = { daemon->front,   daemon->upstream, daemon->planner,
          daemon->renewal, daemon->peers,    daemon->state };
  size_t i;

  (void)events;
  if (ev_is_active (&process->drain_timer))
    return;
  lg_info (PART, "The shutdown begins.", NULL);
  for (i = 0; i < G_N_ELEMENTS (boxes); i++)
    mb_post (boxes[i], MSG_SHUTDOWN, NULL);
  process->drain_deadline_ms
      = clk_monotonic_ms (NULL) + daemon->settings->shutdown_timeout_ms;
  ev_timer_init (&process->drain_timer, on_drain_timer,
                 DRAIN_CHECK_MS / 1000.0, DRAIN_CHECK_MS / 1000.0);
  process->drain_timer.data = process;
  ev_timer_start (loop, &process->drain_timer);
}

static void
watch_signals (struct process *process)
{
  struct ev_loop *loop = process->daemon.loop;

  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&process->sigterm_watcher, on_signal, SIGTERM);
  ev_signal_init (&process->sigint_watcher, on_signal, SIGINT);
  process->sigterm_watcher.data = process;
  process->sigint_watcher.data = process;
  ev_signal_start (loop, &process->sigterm_watcher);
  ev_signal_start (loop, &process->sigint_watcher);
}

/* --- Start --- */

static bool
create_tasks (struct process *process)
{
  struct daemon *daemon = &process->daemon;

  process->state = state_create (daemon);
  if (process->state == NULL)
    return false;
  process->front = front_create (daemon);
  if (process->front == NULL)
    return false;
  process->upstream = upstream_create (daemon);
  process->planner = planner_create (daemon);
  process->renewal = renewal_create (daemon);
  process->peers = peers_create (daemon);
  process->hosts = hosts_create (daemon);
  return process->upstream != NULL && process->planner != NULL
         && process->renewal != NULL && process->peers != NULL
         && process->hosts != NULL;
}

static void
free_tasks (struct process *process)
{
  hosts_free (process->hosts);
  peers_free (process->peers);
  renewal_free (process->renewal);
  planner_free (process->planner);
  front_free (process->front); /* tells the upstream task that its callers
                                  are gone */
  upstream_free (process->upstream);
  state_free (process->state);
}

static int
run (struct settings *settings)
{
  struct process process = { .daemon = { .loop = EV_DEFAULT,
                                         .settings = settings,
                                         .metrics = mt_create () } };
  int code = EXIT_NOT_STARTED;

  watch_signals (&process);
  if (!create_tasks (&process))
    goto done;
  printf ("listening %u\npeers %u\n", front_port (process.front),
          peers_port (process.peers));
  fflush (stdout);
  lg_info (PART, "The daemon serves.", "host", settings->host, "port",
           lg_number (front_port (process.front)), NULL);
  ev_run (process.daemon.loop, 0);
  lg_info (PART, "The daemon stops.", NULL);
  code = EXIT_DONE;

done:
  free_tasks (&process);
  mt_free (process.daemon.metrics);
  return code;
}

static int
load_and_run (const char *path, bool check_only)
{
  struct settings *settings = NULL;
  struct env_messages messages = { 0 };
  int code = EXIT_USAGE;
  size_t i;

  if (settings_load (&settings, path, &messages) != ENV_OK)
    {
      for (i = 0; i < messages.count; i++)
        fprintf (stderr, "%s:%u: %s\n", path, messages.items[i].line,
                 messages.items[i].text);
      goto done;
    }
  lg_set_level (settings->log_level);
  code = check_only ? EXIT_DONE : run (settings);

done:
  env_messages_clear (&messages);
  settings_free (settings);
  return code;
}

int
main (int argc, char **argv)
{
  struct arg_file *path
      = arg_file0 ("s", "settings", "FILE", "settings of this process (YAML)");
  struct arg_lit *check
      = arg_lit0 (NULL, "check", "check the settings and exit");
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help and exit");
  struct arg_lit *version
      = arg_lit0 (NULL, "version", "show the version and exit");
  struct arg_end *end = arg_end (5);
  void *table[] = { path, check, help, version, end };
  int errors = arg_parse (argc, argv, table);
  int code = EXIT_USAGE;

  lg_init ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (help->count > 0)
    {
      printf ("Usage: foxtailgapd");
      arg_print_syntax (stdout, table, "\n");
      printf ("The daemon of one entry host.\n\n");
      arg_print_glossary (stdout, table, "  %-22s %s\n");
      printf ("\nExit codes: 0 stopped as asked, 1 could not start, "
              "2 bad usage or bad settings.\n");
      code = EXIT_DONE;
    }
  else if (version->count > 0)
    {
      printf ("foxtailgapd %s\n", FT_VERSION);
      code = EXIT_DONE;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "foxtailgapd");
  else if (path->count == 0)
    fprintf (stderr, "foxtailgapd: the option --settings is needed\n");
  else
    code = load_and_run (path->filename[0], check->count > 0);
  arg_freetable (table, G_N_ELEMENTS (table));
  curl_global_cleanup ();
  return code;
}
