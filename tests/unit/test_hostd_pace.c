/* Tasks that fill beside tasks that serve: replayed against a worker whose
   tails grow with what the fillers are allowed.  */

#include "check.h"
#include "hostd_fixture.h"

enum
{
  TARGET_MS = 100,
  OVER_MS = 200, /* a tail */
  LOOK_MS = 500,
  PACING_MS = 100,
  HARM_MS = 4000, /* the platform's bound for what fillers may do */
  DAY_MS = 60000
};

struct setup
{
  struct jb_table *table;
  struct sd_sched *sched;
  struct ct_catalog *catalog;
  struct sd_worker *worker;
  struct jb_task *server;
  struct jb_task *filler;
};

static struct jb_task *
add_task (struct setup *setup, const char *id, const char *queue, bool fills)
{
  struct fixture_step step = { .count = 1 };
  struct jb_spec *spec = fixture_spec (queue, "clinic", &step);
  struct jb_job *job;

  spec->steps[0].fills = fills;
  spec->steps[0].target_ms = fills ? 0 : TARGET_MS;
  spec->steps[0].lasting = !fills;
  spec->steps[0].room.cpus_milli = 64000;
  job = jb_table_add (setup->table, id, spec, 0);
  sd_job_added (setup->sched, job);
  return &job->tasks[0];
}

static void
begin (struct setup *setup)
{
  struct sd_params params = { .far_factor = 3, .stop_ms = 200 };

  memset (setup, 0, sizeof *setup);
  setup->table = jb_table_create ();
  setup->sched = sd_create (&params, setup->table);
  setup->catalog = fixture_catalog ();
  sd_set_catalog (setup->sched, setup->catalog);
  setup->worker = fixture_worker (setup->sched, "w1", "r1", 8);
  setup->server = add_task (setup, "00000000000000a1", "urgent", false);
  setup->filler = add_task (setup, "00000000000000a2", "batch", true);
  /* The server takes all processors; the filler needs none of its own.  */
  CU_ASSERT_EQUAL (fixture_round (setup->sched, 0), 2);
  sd_task_running (setup->sched, setup->server, 0);
  sd_task_running (setup->sched, setup->filler, 0);
}

static void
finish (struct setup *setup)
{
  sd_free (setup->sched);
  jb_table_free (setup->table);
  ct_free (setup->catalog);
}

/* One look; its orders are taken unless LOST.  */
static guint
look (struct setup *setup, int64_t now_ms, int64_t tail_ms, bool lost)
{
  GArray *orders = g_array_new (FALSE, FALSE, sizeof (struct sd_pace_order));
  guint count;
  guint i;

  setup->server->figure = tail_ms;
  sd_pace (setup->worker, now_ms, orders);
  count = orders->len;
  for (i = 0; i < orders->len && !lost; i++)
    {
      struct sd_pace_order *order
          = &g_array_index (orders, struct sd_pace_order, i);

      sd_task_paced (order->task, order->percent);
    }
  g_array_free (orders, TRUE);
  return count;
}

/* The tail is 60 ms alone, and grows by the filler's pace times HARM, which
   changes every 15 s.
   @return : the longest time over the target.  */
static int64_t
replay (struct setup *setup, const int64_t *harm_percent, int64_t *worked)
{
  int64_t over_since_ms = -1;
  int64_t longest_ms = 0;
  int64_t now_ms;

  *worked = 0;
  for (now_ms = LOOK_MS; now_ms < DAY_MS; now_ms += LOOK_MS)
    {
      int64_t harm = harm_percent[now_ms / 15000];
      int64_t tail_ms = 60 + harm * (int64_t)setup->filler->pace / 100;

      if (tail_ms <= TARGET_MS)
        over_since_ms = -1;
      else if (over_since_ms < 0)
        over_since_ms = now_ms;
      if (over_since_ms >= 0)
        longest_ms = MAX (longest_ms, now_ms - over_since_ms + LOOK_MS);
      *worked += setup->filler->pace * LOOK_MS / 100;
      look (setup, now_ms, tail_ms, false);
    }
  return longest_ms;
}

static void
test_fillers_do_no_harm_for_long (void)
{
  static const int64_t harm_percent[] = { 20, 300, 80, 500 };
  struct setup setup;
  int64_t worked;

  begin (&setup);
  CU_ASSERT_TRUE (replay (&setup, harm_percent, &worked)
                  <= HARM_MS / 2 - PACING_MS);
  CU_ASSERT_TRUE (worked > DAY_MS / 5); /* they work all the same */
  finish (&setup);
}

static void
test_harmless_fillers_work_at_full_speed (void)
{
  static const int64_t harm_percent[] = { 5, 5, 5, 5 };
  struct setup setup;
  int64_t worked;

  begin (&setup);
  CU_ASSERT_EQUAL (replay (&setup, harm_percent, &worked), 0);
  CU_ASSERT_TRUE (worked > DAY_MS * 9 / 10);
  finish (&setup);
}

static void
test_lost_order_is_sent_again (void)
{
  struct setup setup;

  begin (&setup);
  CU_ASSERT_EQUAL (look (&setup, 1000, OVER_MS, true), 1);
  CU_ASSERT_EQUAL (look (&setup, 1100, OVER_MS, true), 0);
  CU_ASSERT_EQUAL (look (&setup, 1500, OVER_MS, false), 1);
  CU_ASSERT_EQUAL (setup.filler->pace, 0);
  CU_ASSERT_EQUAL (look (&setup, 2000, OVER_MS, false), 0);
  finish (&setup);
}

static void
test_filler_alone_works_at_full_speed (void)
{
  struct setup setup;

  begin (&setup);
  look (&setup, 1000, OVER_MS, false);
  CU_ASSERT_EQUAL (setup.filler->pace, 0);
  sd_task_ended (setup.sched, setup.server, SD_END_STOPPED, "", 1500, 0);
  CU_ASSERT_FALSE (sd_worker_is_shared (setup.worker));
  look (&setup, 2000, 0, false);
  CU_ASSERT_EQUAL (setup.filler->pace, 100);
  finish (&setup);
}

/* A planner that takes over does not know what its predecessor ordered.  */
static void
test_new_term_begins_carefully (void)
{
  struct setup setup;

  begin (&setup);
  sd_begin_term (setup.sched, 1000);
  sd_task_running (setup.sched, setup.server, 1000);
  sd_task_running (setup.sched, setup.filler, 1000);
  CU_ASSERT_EQUAL (look (&setup, 1100, 90, false), 1);
  CU_ASSERT_EQUAL (setup.filler->pace, 0);
  finish (&setup);
}

static void
test_fillers_go_where_nobody_serves (void)
{
  struct setup setup;
  struct jb_task *other;

  begin (&setup);
  fixture_worker (setup.sched, "w0", "r1", 8);
  fixture_worker (setup.sched, "w2", "r1", 8);
  other = add_task (&setup, "00000000000000a3", "batch", true);
  CU_ASSERT_EQUAL (fixture_round (setup.sched, 10), 1);
  CU_ASSERT_STRING_NOT_EQUAL (other->worker, "w1");
  finish (&setup);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "fillers do no harm for long", test_fillers_do_no_harm_for_long },
    { "harmless fillers work at full speed",
      test_harmless_fillers_work_at_full_speed },
    { "a lost order is sent again", test_lost_order_is_sent_again },
    { "a filler alone works at full speed",
      test_filler_alone_works_at_full_speed },
    { "a new term begins carefully", test_new_term_begins_carefully },
    { "fillers go where nobody serves", test_fillers_go_where_nobody_serves },
  };

  return check_run ("hostd pace", tests, G_N_ELEMENTS (tests));
}
