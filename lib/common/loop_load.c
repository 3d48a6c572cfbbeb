/* Measures how busy an event loop is, and with what.  */

#include "common/loop_load.h"

#include <glib.h>

struct loop_load
{
  struct ev_loop *loop;
  ev_check woken;
  ev_prepare waiting;
  int64_t woken_us;     /* 0: the loop has not run yet */
  int64_t part_from_us; /* since when the current part runs; 0: the loop waits,
                           or has not run yet */
  int64_t iteration_part_us[LL_PARTS]; /* of the iteration that is running */
  int64_t total_part_us[LL_PARTS];
  struct ll_sample sample;
};

/* Of the thread.  */
static _Thread_local struct loop_load *thread_load;
static _Thread_local enum ll_part thread_part = LL_REST;

static void
count_current_part (struct loop_load *load, int64_t now_us)
{
  load->iteration_part_us[thread_part] += now_us - load->part_from_us;
  load->part_from_us = now_us;
}

static void
on_woken (struct ev_loop *loop, ev_check *watcher, int events)
{
  struct loop_load *load = watcher->data;

  (void)loop;
  (void)events;
  load->woken_us = g_get_monotonic_time ();
  load->part_from_us = load->woken_us;
}

static void
on_waiting (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct loop_load *load = watcher->data;
  int64_t now_us = g_get_monotonic_time ();
  int64_t took_us = now_us - load->woken_us;
  int i;

  (void)loop;
  (void)events;
  if (load->woken_us == 0)
    return;
  count_current_part (load, now_us);
  load->part_from_us = 0;
  load->sample.busy_us += took_us;
  load->sample.longest_us = MAX (load->sample.longest_us, took_us);
  for (i = 0; i < LL_PARTS; i++)
    {
      load->sample.part_us[i] += load->iteration_part_us[i];
      load->total_part_us[i] += load->iteration_part_us[i];
      load->iteration_part_us[i] = 0;
    }
}

struct loop_load *
ll_create (struct ev_loop *loop)
{
  struct loop_load *load = g_new0 (struct loop_load, 1);

  load->loop = loop;
  ev_check_init (&load->woken, on_woken);
  ev_prepare_init (&load->waiting, on_waiting);
  ev_set_priority (&load->woken, EV_MAXPRI); /* before any other event */
  ev_set_priority (&load->waiting, EV_MINPRI);
  load->woken.data = load;
  load->waiting.data = load;
  ev_check_start (loop, &load->woken);
  ev_unref (loop);
  ev_prepare_start (loop, &load->waiting);
  ev_unref (loop);
  thread_load = load;
  return load;
}

void
ll_free (struct loop_load *load)
{
  if (load == NULL)
    return;
  if (thread_load == load)
    thread_load = NULL;
  ev_ref (load->loop);
  ev_check_stop (load->loop, &load->woken);
  ev_ref (load->loop);
  ev_prepare_stop (load->loop, &load->waiting);
  g_free (load);
}

struct ll_sample
ll_take (struct loop_load *load)
{
  struct ll_sample taken = load->sample;

  load->sample = (struct ll_sample){ 0 };
  return taken;
}

int64_t
ll_part_total_us (const struct loop_load *load, enum ll_part part)
{
  return load->total_part_us[part];
}

const char *
ll_part_name (enum ll_part part)
{
  static const char *const names[LL_PARTS] = {
    [LL_REST] = "rest",
    [LL_ROUNDS] = "rounds",
    [LL_WORKER_DUE] = "worker_due",
    [LL_WORKER_CALLS] = "worker_calls",
    [LL_WORKER_IO] = "worker_io",
    [LL_WORKER_ANSWERS] = "worker_answers",
    [LL_STORE] = "store",
    [LL_RECORDS] = "records",
    [LL_CALLERS] = "callers",
    [LL_LOGS] = "logs",
  };

  return names[part];
}

enum ll_part
ll_enter (enum ll_part part)
{
  enum ll_part outer = thread_part;

  if (thread_load != NULL && thread_load->part_from_us != 0 && part != outer)
    count_current_part (thread_load, g_get_monotonic_time ());
  thread_part = part;
  return outer;
}

void
ll_leave (enum ll_part outer)
{
  ll_enter (outer);
}
