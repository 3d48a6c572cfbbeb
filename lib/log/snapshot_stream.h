/* Snapshots in a stream of the platform's log: written in parts that fit into
   one append each, read back from the end of the stream.  Prefix: snap_.  */

#ifndef FT_SNAPSHOT_STREAM_H
#define FT_SNAPSHOT_STREAM_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "http/http_client.h"

enum snap_error
{
  SNAP_OK = 0,
  SNAP_ERR_MEMORY = -1,
  SNAP_ERR_BUSY = -2, /* the one before is not done */
  SNAP_ERR_TOO_LARGE = -3,
  SNAP_ERR_DOWN = -4, /* the log does not answer as it should */
  SNAP_ERR_NONE = -5  /* the stream holds no whole snapshot */
};

enum
{
  SNAP_PART_SIZE_BYTES = 128 * 1024,
  SNAP_PARTS_LIMIT = 512
};

struct snap_params
{
  struct ev_loop *loop;
  struct hc_client *http;
  const char *url;
  const char *stream;
  uint32_t timeout_ms; /* of one call */
  /* A write has ended: SNAP_OK or a snap_error.  */
  void (*written) (void *ctx, int error, uint64_t offset);
  /* A read has ended: the newest whole snapshot, valid during the callback
     only; or a snap_error without data.  */
  void (*read) (void *ctx, int error, uint64_t offset, const uint8_t *data,
                size_t size_bytes);
  void *ctx;
};

struct snap_stream;

int snap_create (struct snap_stream **out, const struct snap_params *params);
void snap_free (struct snap_stream *stream);

/*! snap_write () :
 *  Appends a snapshot; the bytes are copied.  Parts whose answer was lost are
 *  sent again, which does no harm.
 *  @rescue : the writer has not folded all records before OFFSET, because
 *            the log lost them. */
int snap_write (struct snap_stream *stream, uint64_t offset, bool rescue,
                const uint8_t *data, size_t size_bytes);

/*! snap_read () :
 *  Looks for the whole snapshot of the highest offset.  Rescues of several
 *  hosts may differ: of those with one offset the first that was complete
 *  counts, so that all readers find the same, and what was written by a host
 *  that went on from it.
 *  @wanted : offset to reach; the search goes back until one does. */
int snap_read (struct snap_stream *stream, uint64_t wanted);

bool snap_is_writing (const struct snap_stream *stream);
bool snap_is_reading (const struct snap_stream *stream);

/* ===== Assembly ============================================== */

/* Puts parts together, whatever order they are read in.  */
struct snap_assembly;

struct snap_assembly *snap_assembly_new (void);
void snap_assembly_free (struct snap_assembly *assembly);

/*! snap_assembly_add () :
 *  Takes one append of the stream; what is no part is passed over.
 *  @position : its offset in the stream. */
void snap_assembly_add (struct snap_assembly *assembly, uint64_t position,
                        const uint8_t *data, size_t size_bytes);

/*! snap_assembly_best () :
 *  @return : the best whole snapshot so far, borrowed, or NULL. */
const uint8_t *snap_assembly_best (const struct snap_assembly *assembly,
                                   uint64_t *offset, size_t *size_bytes);

/*! snap_assembly_is_final () :
 *  Whether the best one reaches WANTED and appends from further back need not
 *  be read. */
bool snap_assembly_is_final (const struct snap_assembly *assembly,
                             uint64_t wanted);

#endif
