/* Slopes of one heartbeat by the number of entry hosts that it names.  */

#include "proto/peer.pb-c.h"
#include "slopes.h"

enum
{
  HOSTS_LIMIT = 256,
  REPEATS = 1000,
  NAME_SIZE_BYTES = 16,
  LENGTH_SIZE_BYTES = 4 /* length in front of each frame */
};

static void
measure_heartbeat (unsigned int hosts)
{
  char names[HOSTS_LIMIT][NAME_SIZE_BYTES];
  char *heard[HOSTS_LIMIT];
  Ft__Heartbeat heartbeat = FT__HEARTBEAT__INIT;
  Ft__PeerFrame frame = FT__PEER_FRAME__INIT;
  Ft__PeerFrame *copy;
  uint8_t *packed;
  size_t size_bytes;
  double start_us;
  unsigned int i;

  for (i = 0; i < hosts; i++)
    {
      g_snprintf (names[i], NAME_SIZE_BYTES, "entry-%04u", i);
      heard[i] = names[i];
    }
  heartbeat.host = (char *)"entry-0001";
  heartbeat.incarnation = 1ULL << 60;
  heartbeat.address = (char *)"10.10.10.10";
  heartbeat.port = 8080;
  heartbeat.revision = 100000;
  heartbeat.offset = 10000000;
  heartbeat.term = 1000;
  heartbeat.n_heard = hosts;
  heartbeat.heard = heard;
  frame.body_case = FT__PEER_FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  size_bytes = ft__peer_frame__get_packed_size (&frame);
  packed = g_malloc (size_bytes);
  ft__peer_frame__pack (&frame, packed);
  sl_point ("heartbeat.bytes_by_hosts", hosts,
            (double)(size_bytes + LENGTH_SIZE_BYTES));
  start_us = sl_cpu_us ();
  for (i = 0; i < REPEATS; i++)
    {
      copy = ft__peer_frame__unpack (NULL, size_bytes, packed);
      ft__peer_frame__free_unpacked (copy, NULL);
    }
  sl_point ("heartbeat.unpack_cpu_us_by_hosts", hosts,
            (sl_cpu_us () - start_us) / REPEATS);
  g_free (packed);
}

void
sl_peers (void)
{
  static const unsigned int hosts[] = { 2, 6, 13, 48, 188 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (hosts); i++)
    measure_heartbeat (hosts[i]);
}
