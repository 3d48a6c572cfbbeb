/* Settings of foxtailgapd: the example, defaults, each kind of error.  */

#include <CUnit/Basic.h>
#include <CUnit/CUnit.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "config/address.h"
#include "config/settings.h"

#define LISTEN                                                                \
  "callers: {address: 127.0.0.1, port: 0}\n"                                  \
  "peers: {address: '::1', port: 7101}\n"
#define URLS                                                                  \
  "log_url: http://127.0.0.1:1\n"                                             \
  "hosts_url: http://[::1]:2\n"
#define HEAD "host: h\ndata_centre: bole\n" LISTEN URLS

struct fault
{
  const char *text;
  uint32_t line;       /* of the first message */
  const char *message; /* contained in the first message */
};

static const struct fault faults[] = {
  { "host: h\ndata_centre: bole\n" LISTEN, 1, "log_url: missing field" },
  { HEAD "port: 3\n", 7, "port: unknown field" },
  { HEAD "host: i\n", 7, "host: given twice" },
  { HEAD "heartbeat_ms: soon\n", 7, "heartbeat_ms: not a whole number" },
  { HEAD "heartbeat_ms: 0\n", 7, "heartbeat_ms: must be from 50 to 60000" },
  { HEAD "heartbeat_ms: 5000\n", 7, "twice heartbeat_ms, 5000" },
  { HEAD "lease_ttl_ms: 5999\n", 7, "lease_ttl_ms: must be at least twice" },
  { HEAD "connection_limit: 65536\n", 7, "connection_limit: must be from 1" },
  { HEAD "log_level: loud\n", 7, "log_level: must be debug, info" },
  { HEAD "placement_policy: random\n", 7,
    "placement_policy: must be guarantee, first-fit or strict" },
  { HEAD "stream: a/b\n", 7, "stream: must be 1 to 63" },
  { "host: h\ndata_centre: bole\n" URLS
    "callers: {address: localhost, port: 1}\n"
    "peers: {address: 127.0.0.1, port: 1}\n",
    5, "callers.address: must be an IP number" },
  { "host: h\ndata_centre: bole\n" URLS
    "callers: {address: 127.0.0.1, port: 65536}\n"
    "peers: {address: 127.0.0.1, port: 1}\n",
    5, "callers.port: not a whole number in its bounds" },
  { "host: h\ndata_centre: bole\n" LISTEN "log_url: https://127.0.0.1:1\n"
    "hosts_url: http://h:2\n",
    5, "log_url: must be http://IP:PORT" },
};

static int
load (struct settings **settings, const char *text,
      struct env_messages *messages)
{
  char *path = NULL;
  int file;
  int error;

  memset (messages, 0, sizeof *messages);
  file = g_file_open_tmp ("settings-XXXXXX", &path, NULL);
  CU_ASSERT_FATAL (file >= 0);
  close (file);
  CU_ASSERT_TRUE_FATAL (g_file_set_contents (path, text, -1, NULL));
  error = settings_load (settings, path, messages);
  g_unlink (path);
  g_free (path);
  return error;
}

static void
test_faults (void)
{
  struct settings *settings;
  struct env_messages messages;
  const struct env_message *first;
  bool as_expected;

  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      CU_ASSERT_EQUAL (load (&settings, faults[i].text, &messages),
                       ENV_ERR_INVALID);
      CU_ASSERT_PTR_NULL (settings);
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
test_no_file (void)
{
  struct settings *settings;
  struct env_messages messages = { 0 };

  CU_ASSERT_EQUAL (settings_load (&settings, "/nonexistent", &messages),
                   ENV_ERR_FILE);
  CU_ASSERT_EQUAL (messages.count, 1);
  env_messages_clear (&messages);
}

static void
test_defaults (void)
{
  struct settings *settings;
  struct env_messages messages;

  CU_ASSERT_EQUAL_FATAL (load (&settings, HEAD, &messages), ENV_OK);
  CU_ASSERT_STRING_EQUAL (settings->stream, "foxtailgap");
  CU_ASSERT_STRING_EQUAL (settings->log_level, "info");
  CU_ASSERT_STRING_EQUAL (settings->placement_policy, "guarantee");
  CU_ASSERT_EQUAL (settings->callers.port, 0);
  CU_ASSERT_STRING_EQUAL (settings->peers.address, "::1");
  CU_ASSERT_EQUAL (settings->connection_limit, 1024);
  CU_ASSERT_EQUAL (settings->lease_ttl_ms, 10000);
  CU_ASSERT_EQUAL (settings->log_commit_ms, 10);
  settings_free (settings);
}

static void
test_placement_policy (void)
{
  static const char *const policies[] = { "guarantee", "first-fit", "strict" };
  struct settings *settings;
  struct env_messages messages;
  char *text;

  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    {
      text = g_strdup_printf (HEAD "placement_policy: %s\n", policies[i]);
      CU_ASSERT_EQUAL_FATAL (load (&settings, text, &messages), ENV_OK);
      CU_ASSERT_STRING_EQUAL (settings->placement_policy, policies[i]);
      settings_free (settings);
      g_free (text);
    }
}

static void
test_example (void)
{
  struct settings *settings = NULL;
  struct env_messages messages = { 0 };
  char *path = g_strdup_printf ("%s/examples/settings/foxtailgapd.yaml",
                                g_getenv ("ROOT"));

  CU_ASSERT_EQUAL_FATAL (settings_load (&settings, path, &messages), ENV_OK);
  CU_ASSERT_STRING_EQUAL (settings->host, "entry-1");
  CU_ASSERT_EQUAL (settings->callers.port, 7100);
  settings_free (settings);
  g_free (path);
}

static void
test_addresses (void)
{
  CU_ASSERT_TRUE (ad_is_ip_port ("10.0.0.1:80"));
  CU_ASSERT_TRUE (ad_is_ip_port ("[fd00::1]:65535"));
  CU_ASSERT_FALSE (ad_is_ip_port ("fd00::1:80"));
  CU_ASSERT_FALSE (ad_is_ip_port ("10.0.0.1:0"));
  CU_ASSERT_FALSE (ad_is_ip_port ("10.0.0.1:65536"));
  CU_ASSERT_FALSE (ad_is_ip_port ("10.0.0.1"));
  CU_ASSERT_FALSE (ad_is_ip_port ("[]:1"));
  CU_ASSERT_FALSE (ad_is_ip_port (":1"));
  CU_ASSERT_FALSE (ad_is_ip_port (""));
}

int
main (void)
{
  CU_pSuite suite;
  unsigned int failures;

  CU_initialize_registry ();
  suite = CU_add_suite ("settings", NULL, NULL);
  CU_add_test (suite, "faults, with line and field", test_faults);
  CU_add_test (suite, "no file", test_no_file);
  CU_add_test (suite, "defaults", test_defaults);
  CU_add_test (suite, "placement policy", test_placement_policy);
  CU_add_test (suite, "example", test_example);
  CU_add_test (suite, "addresses", test_addresses);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
