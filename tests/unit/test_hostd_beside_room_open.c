/* Work that stands beside room for it: cases that are not mended, listed in
   KNOWN-RED.txt.  */

#include "check.h"
#include "room_fixture.h"

/* The advisor is not asked about avoided workers, so that these never count
   as room.  */
static void
test_advisor_is_not_asked_about_avoided_workers (void)
{
  struct scene scene;
  struct sd_commands commands
      = { .starts = g_ptr_array_new (),
          .stops = g_ptr_array_new (),
          .advisor_queries = sd_advisor_queries_create () };
  int64_t start_ms;
  uint32_t i;

  set_up (&scene, 4, 4);
  scene.catalog->queues[1].uses_advisor = true;
  for (i = 0; i < 4; i++)
    ((struct sd_worker *)g_ptr_array_index (sd_workers (scene.sched), i))
        ->avoid_until_ms
        = 30000;
  add_job (&scene,
           make_spec (&(struct fixture_step){ .count = 1, .accelerators = 1 },
                      4000));
  start_ms = scene.now_ms;
  while (commands.advisor_queries->len == 0
         && scene.now_ms - start_ms < STANDING_MAX_MS)
    {
      sd_round (scene.sched, scene.now_ms, 0, &commands);
      scene.now_ms += STEP_MS;
    }
  CU_ASSERT_NOT_EQUAL (commands.advisor_queries->len, 0);
  g_ptr_array_free (commands.advisor_queries, TRUE);
  g_ptr_array_free (commands.starts, TRUE);
  g_ptr_array_free (commands.stops, TRUE);
  tear_down (&scene);
}

int
main (void)
{
  static const struct check_test tests[] = {
    { "the advisor is not asked about avoided workers",
      test_advisor_is_not_asked_about_avoided_workers },
  };

  return check_run ("hostd beside room, open", tests, G_N_ELEMENTS (tests));
}
