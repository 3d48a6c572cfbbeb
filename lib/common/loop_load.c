/* Measures how busy an event loop is.  */

#include "common/loop_load.h"

#include <glib.h>

struct loop_load
{
  struct ev_loop *loop;
  ev_check woken;
  ev_prepare waiting;
  int64_t woken_us;
  struct ll_sample sample;
};

static void
on_woken (struct ev_loop *loop, ev_check *watcher, int events)
{
  struct loop_load *load = watcher->data;

  (void)loop;
  (void)events;
  load->woken_us = g_get_monotonic_time ();
}

static void
on_waiting (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct loop_load *load = watcher->data;
  int64_t took_us;

  (void)loop;
  (void)events;
  if (load->woken_us == 0)
    return;
  took_us = g_get_monotonic_time () - load->woken_us;
  load->sample.busy_us += took_us;
  load->sample.longest_us = MAX (load->sample.longest_us, took_us);
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
  return load;
}

void
ll_free (struct loop_load *load)
{
  if (load == NULL)
    return;
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
