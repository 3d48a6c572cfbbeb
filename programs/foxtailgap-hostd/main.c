/* foxtailgap-hostd: the daemon of one host of the scheduler, for a platform
   whose store fences writers by epochs.  Its settings come from the file given
   by --settings or by the environment variable FOXTAILGAP_CONFIG.  */

#include <argtable2.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/logging.h"
#include "common/version.h"
#include "front.h"
#include "hostd_settings.h"
#include "journal.h"
#include "pf_advice.h"
#include "pf_decode.h"
#include "pf_http.h"
#include "pf_store.h"
#include "pf_worker.h"
#include "planner.h"

static const char PART[] = "daemon";

enum
{
  EXIT_DONE = 0,
  EXIT_NOT_STARTED = 1,
  EXIT_USAGE = 2,
  DRAIN_CHECK_MS = 50,
  SETTINGS_CHECK_INTERVAL_MS = 1000, /* of the settings file */
  /* Of each message.  The busiest planner of the bench writes 350 outcomes
     of runs a second, and a line takes about 10 us.  */
  LOG_LINES_PER_S = 200,
  /* The platform sends callers until two readiness checks, a second apart,
     have failed.  A shutdown accepts connections until then.  */
  CALLERS_EXPECTED_MS = 2300,
  /* Descriptors for files, the store, other hosts and calls in progress.  */
  RESERVED_DESCRIPTORS = 400,
  WORKER_CONNECTIONS_MIN = 256
};

struct process
{
  struct ev_loop *loop;
  const char *settings_path;
  struct hostd_settings *settings;
  struct mt_registry *metrics;
  struct pf_store *store;
  struct pf_workers *workers;
  struct pf_advisor *advisor; /* NULL: none in the settings */
  struct journal *journal;
  struct planner *planner;
  struct front *front;
  ev_signal terminated;
  ev_signal interrupted;
  ev_signal hangup;
  ev_timer drain;
  ev_timer settings_timer;
  struct timespec settings_mtime; /* of the settings file at the last check */
  int64_t drain_since_ms;
  bool callers_closed;
};

/* --- Shutdown --- */

static void
on_drain (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct process *process = watcher->data;
  int64_t since_ms = clk_monotonic_ms (NULL) - process->drain_since_ms;
  uint32_t open = fr_open_requests (process->front);

  (void)events;
  if (since_ms < CALLERS_EXPECTED_MS
      && since_ms < process->settings->shutdown_ms)
    return;
  if (!process->callers_closed)
    {
      fr_stop_accepting (process->front);
      process->callers_closed = true;
      return;
    }
  if (since_ms < process->settings->shutdown_ms
      && (open > 0 || !pl_is_term_released (process->planner)))
    return;
  if (open > 0)
    lg_warning (PART, "Open requests are cut off: shutdown_ms is over.",
                "open", lg_number (open), NULL);
  ev_break (loop, EVBREAK_ALL);
}

static void
on_terminate (struct ev_loop *loop, ev_signal *watcher, int events)
{
  struct process *process = watcher->data;

  (void)events;
  if (ev_is_active (&process->drain))
    return;
  lg_info (PART, "The shutdown begins.", NULL);
  process->drain_since_ms = clk_monotonic_ms (NULL);
  fr_report_not_ready (process->front);
  pl_release_term (process->planner);
  ev_timer_init (&process->drain, on_drain, DRAIN_CHECK_MS / 1000.0,
                 DRAIN_CHECK_MS / 1000.0);
  process->drain.data = process;
  ev_timer_start (loop, &process->drain);
}

/* --- Settings --- */

static void
log_settings_errors (const char *path, const struct env_messages *messages)
{
  size_t i;

  for (i = 0; i < messages->count; i++)
    lg_error (PART, "The settings are not valid.", "file", path, "line",
              lg_number (messages->items[i].line), "reason",
              messages->items[i].text, NULL);
}

/* Applies the settings that may change in a running process.  */
static void
reload_settings (struct process *process)
{
  struct hostd_settings *settings = NULL;
  struct env_messages messages = { 0 };

  if (hostd_settings_load (&settings, process->settings_path, &messages)
      != ENV_OK)
    log_settings_errors (process->settings_path, &messages);
  else
    {
      lg_set_level (settings->log_level);
      process->settings->closing_ms = settings->closing_ms;
      process->settings->key_validity_ms = settings->key_validity_ms;
      process->settings->shutdown_ms = settings->shutdown_ms;
      process->settings->job_retention_ms = settings->job_retention_ms;
      lg_info (PART, "The settings are reloaded.", NULL);
    }
  env_messages_clear (&messages);
  hostd_settings_free (settings);
}

static void
on_reload (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  reload_settings (watcher->data);
}

/* The platform may change the file without sending SIGHUP.  */
static void
on_settings_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  struct process *process = watcher->data;
  struct stat file;
  bool changed;

  (void)loop;
  (void)events;
  if (stat (process->settings_path, &file) != 0)
    return; /* the platform is replacing the file */
  changed = file.st_mtim.tv_sec != process->settings_mtime.tv_sec
            || file.st_mtim.tv_nsec != process->settings_mtime.tv_nsec;
  if (changed && process->settings_mtime.tv_sec != 0)
    reload_settings (process);
  process->settings_mtime = file.st_mtim;
}

/* --- Start --- */

static void
watch_signals (struct process *process)
{
  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&process->terminated, on_terminate, SIGTERM);
  ev_signal_init (&process->interrupted, on_terminate, SIGINT);
  ev_signal_init (&process->hangup, on_reload, SIGHUP);
  process->terminated.data = process;
  process->interrupted.data = process;
  process->hangup.data = process;
  ev_signal_start (process->loop, &process->terminated);
  ev_signal_start (process->loop, &process->interrupted);
  ev_signal_start (process->loop, &process->hangup);
  ev_timer_init (&process->settings_timer, on_settings_check, 0.0,
                 SETTINGS_CHECK_INTERVAL_MS / 1000.0);
  process->settings_timer.data = process;
  ev_timer_start (process->loop, &process->settings_timer);
}

/* The platform charges for each new connection to a worker, so as many are
   kept as there are descriptors that callers can not need.  */
static uint32_t
worker_connections (const struct hostd_settings *settings)
{
  uint32_t needed = settings->connection_limit + RESERVED_DESCRIPTORS;

  return settings->descriptor_limit > needed + WORKER_CONNECTIONS_MIN
             ? settings->descriptor_limit - needed
             : WORKER_CONNECTIONS_MIN;
}

static bool
create_tasks (struct process *process)
{
  struct jr_params journal = {
    .loop = process->loop,
    .jobs_topic = PF_TOPIC_JOBS,
    .operator_topic = PF_TOPIC_OPERATOR,
    .catalog_key = PF_KEY_CATALOG,
    .decode_catalog = pf_decode_catalog,
    .decode_closing = pf_decode_closing,
    .metrics = process->metrics,
  };
  struct pl_params planner = {
    .loop = process->loop,
    .settings = process->settings,
    .jobs_topic = PF_TOPIC_JOBS,
    .workers_topic = PF_TOPIC_WORKERS,
    .decode_report = pf_decode_report,
    .metrics = process->metrics,
  };
  struct fr_params front = {
    .loop = process->loop,
    .settings = process->settings,
    .metrics = process->metrics,
    .dialect = { .key_header = PF_HEADER_KEY,
                 .deadline_header = PF_HEADER_DEADLINE_MS,
                 .ready_path = PF_PATH_READY,
                 .metrics_path = PF_PATH_METRICS,
                 .decode_job = pf_decode_job,
                 .encode_state = pf_encode_state,
                 .encode_queue_length = pf_encode_queue_length },
  };

  process->store = pf_store_create (process->loop, process->settings->store);
  process->workers = pf_workers_create (
      process->loop, worker_connections (process->settings));
  if (process->store == NULL || process->workers == NULL)
    return false;
  journal.store = pf_store_port (process->store);
  process->journal = jr_create (&journal);
  planner.journal = process->journal;
  planner.store_port = journal.store;
  planner.worker_port = pf_workers_port (process->workers);
  if (process->settings->advisor != NULL)
    process->advisor
        = pf_advisor_create (process->loop, process->settings->advisor);
  if (process->advisor != NULL)
    planner.advisor_port = pf_advisor_port (process->advisor);
  process->planner = pl_create (&planner);
  front.journal = process->journal;
  process->front = fr_create (&front);
  return process->front != NULL;
}

static void
free_tasks (struct process *process)
{
  if (process->journal != NULL)
    jr_end_calls (process->journal); /* their callbacks use the front */
  fr_free (process->front);
  pf_workers_free (process->workers);
  pf_advisor_free (process->advisor);
  pf_store_free (process->store);
  pl_free (process->planner);
  jr_free (process->journal);
}

static int
run_daemon (struct process *process)
{
  int code = EXIT_NOT_STARTED;

  process->loop = EV_DEFAULT;
  process->metrics = mt_create ();
  watch_signals (process);
  if (!create_tasks (process))
    goto done;
  lg_info (PART, "The daemon serves.", "host", process->settings->host,
           "data_centre", process->settings->data_centre, "callers",
           process->settings->callers, "version", FT_VERSION, NULL);
  ev_run (process->loop, 0);
  lg_info (PART, "The daemon stops.", NULL);
  code = EXIT_DONE;

done:
  free_tasks (process);
  mt_free (process->metrics);
  return code;
}

static int
load_and_run (const char *path, bool check_only)
{
  struct process process = { .settings_path = path };
  struct env_messages messages = { 0 };
  int code = EXIT_USAGE;

  if (hostd_settings_load (&process.settings, path, &messages) != ENV_OK)
    {
      log_settings_errors (path, &messages);
      goto done;
    }
  lg_set_level (process.settings->log_level);
  code = check_only ? EXIT_DONE : run_daemon (&process);

done:
  env_messages_clear (&messages);
  hostd_settings_free (process.settings);
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
  const char *file = getenv ("FOXTAILGAP_CONFIG");
  int code = EXIT_USAGE;

  lg_init_bounded (STDOUT_FILENO, LOG_LINES_PER_S);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (path->count > 0)
    file = path->filename[0];
  if (help->count > 0)
    {
      printf ("Usage: foxtailgap-hostd");
      arg_print_syntax (stdout, table, "\n");
      printf ("The daemon of one host of the scheduler, on a store "
              "that fences writers by epochs.\n\n");
      arg_print_glossary (stdout, table, "  %-22s %s\n");
      printf ("\nExit codes: 0 stopped as asked, 1 could not start, "
              "2 bad usage or bad settings.\n");
      code = EXIT_DONE;
    }
  else if (version->count > 0)
    {
      printf ("foxtailgap-hostd %s\n", FT_VERSION);
      code = EXIT_DONE;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "foxtailgap-hostd");
  else if (file == NULL)
    fprintf (stderr, "foxtailgap-hostd: the option --settings is needed\n");
  else
    code = load_and_run (file, check->count > 0);
  arg_freetable (table, G_N_ELEMENTS (table));
  curl_global_cleanup ();
  return code;
}
