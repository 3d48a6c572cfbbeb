/* The environment document: the examples, defaults, each kind of error.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "config/environment.h"

#define HEAD "environment: e\nteams:\n- name: a\n"
#define SHAPE "accelerators: 2, cpus_milli: 10, memory_mb: 20"

struct fault
{
  const char *text;
  uint32_t line;       /* of the first message */
  const char *message; /* contained in the first message */
};

static const struct fault faults[] = {
  { "", 0, "empty" },
  { "environment: [\n", 2, "did not find" },
  { "environment: e\n", 1, "teams: missing field" },
  { "environment: e\nteams: []\n", 2, "teams: Insufficient entries" },
  { "environment: e\nteams: 3\n", 2, "teams: must be a list" },
  { HEAD "  weigth: 3\n", 4, "teams[0].weigth: unknown field" },
  { HEAD "  weight: 0\n", 4, "teams[0].weight: must be from 1 to 1000" },
  { HEAD "  weight: -1\n", 4,
    "teams[0].weight: not a whole number in its bounds: '-1'" },
  { HEAD "  weight: 9223372036854775808\n", 4,
    "teams[0].weight: not a whole number in its bounds" },
  { HEAD "  weight: -18446744073709551615\n", 4, "whole decimal" },
  { HEAD "  weight: 0x10\n", 4, "whole decimal" },
  { HEAD "  weight: \"3\"\n", 4, "whole decimal" },
  { HEAD "  weight: many\n", 4, "teams[0].weight: not a whole number: 'm" },
  { HEAD "  weight:\n", 4, "teams[0].weight: not a whole number: ''" },
  { HEAD "  weight: [1]\n", 4, "teams[0].weight: must be one plain value" },
  { HEAD "  quota: 3\n", 4, "teams[0].quota: must have fields of its own" },
  { HEAD "  weight: 2\n  weight: 3\n", 5, "teams[0].weight: given twice" },
  { HEAD "  may_borrow: maybe\n", 4, "must be true or false" },
  { HEAD "- name: a\n", 4, "teams[1].name: 'a' is given already at line 3" },
  { HEAD "- name: B\n", 4, "teams[1].name: must be 1 to 63" },
  { HEAD "- name: \"b\\0c\"\n", 4, "zero byte" },
  { HEAD "- name: &x b\n- name: *x\n", 5, "aliases" },
  { HEAD "---\nenvironment: f\n", 4, "more than one document" },
  { HEAD "  guarantees:\n  - {accelerators: 1, cpus_milli: 1}\n", 5,
    "teams[0].guarantees[0].memory_mb: missing field" },
  { HEAD "  guarantees:\n  - {" SHAPE ", count: 0}\n", 5,
    "teams[0].guarantees[0].count: must be from 1" },
  { HEAD "  guarantees:\n  - {" SHAPE ", tasks: 257}\n", 5,
    "teams[0].guarantees[0].tasks: must be from 1 to 256" },
  { HEAD "  guarantees:\n  - {" SHAPE ", span: rck}\n", 5,
    "teams[0].guarantees[0].span: unknown value: rck" },
  { HEAD "  guarantees:\n  - {" SHAPE ", tasks: 33, span: worker}\n", 5,
    "66 accelerators in one worker" },
  { HEAD "  quota: {accelerators: 3}\n"
         "  guarantees:\n  - {" SHAPE ", count: 2}\n",
    4, "3 is less than the 4" },
  { HEAD "services:\n- {name: s, deadline_ms: 70000}\n", 5,
    "more than deadline_max_ms" },
  { HEAD "services:\n- {name: s, slots: 9, connections: 8}\n", 5,
    "cannot fill 9 slots" },
  { HEAD "services:\n- {name: s}\n- {name: s}\n", 6, "given already" },
  { HEAD "objectives:\n- {team: b, kind: k, latency_ms: 1, "
         "success_permille: 999}\n",
    5, "objectives[0].team: there is no team 'b'" },
  { HEAD "objectives:\n- {team: a, kind: k, latency_ms: 1, "
         "success_permille: 1000}\n",
    5, "must be from 1 to 999" },
  { HEAD "rules: {attempt_limit: 101}\n", 4,
    "rules.attempt_limit: must be from 1 to 100" },
};

static int
parse (struct env_document **document, const char *text,
       struct env_messages *messages)
{
  memset (messages, 0, sizeof *messages);
  return env_parse (document, text, strlen (text), messages);
}

static void
test_faults (void)
{
  struct env_document *document;
  struct env_messages messages;
  const struct env_message *first;
  bool as_expected;

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      CU_ASSERT_EQUAL (parse (&document, faults[i].text, &messages),
                       ENV_ERR_INVALID);
      CU_ASSERT_PTR_NULL (document);
      CU_ASSERT_FATAL (messages.count > 0);
      first = &messages.items[0];
      as_expected = first->line == faults[i].line
                    && strstr (first->text, faults[i].message) != NULL;
      CU_ASSERT_TRUE (as_expected);
      if (!as_expected)
        printf ("\n%s  first message is at line %u: %s\n", faults[i].text,
                first->line, first->text);
      env_messages_clear (&messages);
    }
}

static void
test_all_faults_at_once (void)
{
  struct env_document *document;
  struct env_messages messages;

  parse (&document,
         HEAD "  weight: 0\n- name: a\n  weight: 2000\n"
              "rules: {attempt_limit: 0}\n",
         &messages);
  CU_ASSERT_EQUAL_FATAL (messages.count, 4);
  CU_ASSERT_EQUAL (messages.items[0].line, 4);
  CU_ASSERT_EQUAL (messages.items[1].line, 5);
  CU_ASSERT_EQUAL (messages.items[2].line, 6);
  CU_ASSERT_EQUAL (messages.items[3].line, 7);
  env_messages_clear (&messages);
}

static void
test_defaults (void)
{
  struct env_document *document;
  struct env_messages messages;

  CU_ASSERT_EQUAL_FATAL (parse (&document,
                                HEAD "  guarantees: [{" SHAPE "}]\n"
                                     "services: [{name: s}]\n",
                                &messages),
                         ENV_OK);
  CU_ASSERT_EQUAL (document->teams[0].weight, 1);
  CU_ASSERT_TRUE (document->teams[0].may_borrow);
  CU_ASSERT_EQUAL (document->teams[0].quota.accelerators, 0);
  CU_ASSERT_EQUAL (document->teams[0].guarantees[0].count, 1);
  CU_ASSERT_EQUAL (document->teams[0].guarantees[0].tasks, 1);
  CU_ASSERT_EQUAL (document->teams[0].guarantees[0].span, PLACE_SPAN_ANY);
  CU_ASSERT_EQUAL (document->services[0].slots, 8);
  CU_ASSERT_EQUAL (document->services[0].deadline_ms, 10000);
  CU_ASSERT_EQUAL (document->rules.attempt_limit, 3);
  CU_ASSERT_PTR_NULL (env_service (document, "a"));
  CU_ASSERT_PTR_EQUAL (env_team (document, "a"), &document->teams[0]);
  env_free (document);
}

static void
test_size_limit (void)
{
  struct env_document *document;
  struct env_messages messages;
  char *text = g_strnfill (ENV_DOCUMENT_LIMIT_BYTES + 1, ' ');

  CU_ASSERT_EQUAL (parse (&document, text, &messages), ENV_ERR_INVALID);
  env_messages_clear (&messages);
  g_free (text);
}

static struct env_document *
load_example (const char *name)
{
  struct env_document *document = NULL;
  struct env_messages messages;
  char *path;
  char *text = NULL;

  path = g_strdup_printf ("%s/examples/environments/%s", g_getenv ("ROOT"),
                          name);
  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &text, NULL, NULL));
  CU_ASSERT_EQUAL_FATAL (parse (&document, text, &messages), ENV_OK);
  g_free (text);
  g_free (path);
  return document;
}

static void
test_examples (void)
{
  struct env_document *addis = load_example ("addis.yaml");
  struct env_document *brazos = load_example ("brazos.yaml");
  struct place_team *teams;

  CU_ASSERT_EQUAL (addis->teams_count, 4);
  CU_ASSERT_PTR_NOT_NULL (env_service (addis, "rounds-planning"));
  CU_ASSERT_PTR_NOT_NULL (env_service (brazos, "face-fitting"));
  teams = env_to_place_teams (brazos);
  CU_ASSERT_STRING_EQUAL (teams[1].name, "hill-country-optical");
  CU_ASSERT_EQUAL (teams[1].quota.accelerators, 320);
  CU_ASSERT_EQUAL (teams[1].guarantee_count, 1);
  CU_ASSERT_EQUAL (teams[1].guarantees[0].count, 3);
  CU_ASSERT_EQUAL (teams[1].guarantees[0].shape.tasks, 6);
  CU_ASSERT_EQUAL (teams[1].guarantees[0].shape.span, PLACE_SPAN_RACK);
  CU_ASSERT_EQUAL (teams[1].guarantees[0].shape.task.accelerators, 8);
  CU_ASSERT_FALSE (teams[3].may_borrow);
  env_free_place_teams (teams, brazos->teams_count);
  env_free (brazos);
  env_free (addis);
}

static void
test_digest (void)
{
  char digest[ENV_DIGEST_SIZE_BYTES];

  env_digest ("abc", 3, digest);
  CU_ASSERT_STRING_EQUAL (digest, "ba7816bf8f01cfea414140de5dae2223"
                                  "b00361a396177a9cb410ff61f20015ad");
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("environment document", NULL, NULL);
  CU_add_test (suite, "faults, with line and field", test_faults);
  CU_add_test (suite, "all faults at once", test_all_faults_at_once);
  CU_add_test (suite, "defaults", test_defaults);
  CU_add_test (suite, "size limit", test_size_limit);
  CU_add_test (suite, "examples", test_examples);
  CU_add_test (suite, "digest", test_digest);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
