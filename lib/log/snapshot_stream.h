/* Snapshots in a stream of the platform's log.  A snapshot is written in parts
   that fit into one append each, and is searched for from the end of the
   stream backwards.  Prefix: snap_.  */

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
  SNAP_ERR_BUSY = -2,            /* the former write or read has not ended */
  SNAP_ERR_TOO_LARGE = -3,       /* needs more than SNAP_PARTS_LIMIT parts */
  SNAP_ERR_LOG_UNAVAILABLE = -4, /* a call to the log failed */
  SNAP_ERR_NOT_FOUND = -5        /* the stream holds no complete snapshot */
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
  const char *url;     /* base URL of the log, without the stream; copied */
  const char *stream;  /* name; copied */
  uint32_t timeout_ms; /* of one call */
  /* A write has ended.  ERROR: SNAP_OK or a snap_error; OFFSET: that of
     snap_write ().  */
  void (*on_written) (void *ctx, int error, uint64_t offset);
  /* A read has ended.  With SNAP_OK, DATA is the snapshot that was found,
     valid during the callback only, and OFFSET the first offset that it does
     not include.  After an error there is no data.  */
  void (*on_read) (void *ctx, int error, uint64_t offset, const uint8_t *data,
                   size_t size_bytes);
  void *ctx;
};

struct snap_stream;

int snap_create (struct snap_stream **out, const struct snap_params *params);
void snap_free (struct snap_stream *stream);

/*! snap_write () :
 *  Starts to append a snapshot; the bytes are copied.  A part whose answer was
 *  lost is sent again; readers ignore the duplicate.
 *  @offset : the first offset that the snapshot does not include.
 *  @rescue : the writer has not folded all records before OFFSET, because
 *            the log lost some of them.
 *  @return : SNAP_OK if the write has started (see snap_params.on_written),
 *            SNAP_ERR_BUSY or SNAP_ERR_TOO_LARGE. */
int snap_write (struct snap_stream *stream, uint64_t offset, bool rescue,
                const uint8_t *data, size_t size_bytes);

/*! snap_read () :
 *  Starts to search for the complete snapshot with the highest offset.  The
 *  rescue snapshots of several hosts may differ.  Among those with the same
 *  offset the one that was completed first in the stream counts, so that all
 *  readers find the same one.  A snapshot with the same offset that is not a
 *  rescue is preferred to all of these: its writer has read the chosen rescue
 *  and continued from it.
 *  @wanted : the search goes back until a snapshot has at least this offset.
 *  @return : SNAP_OK if the search has started (see snap_params.on_read), or
 *            SNAP_ERR_BUSY. */
int snap_read (struct snap_stream *stream, uint64_t wanted);

bool snap_is_writing (const struct snap_stream *stream);
bool snap_is_reading (const struct snap_stream *stream);

/* ===== Assembly ============================================== */

/* Assembles snapshots from their parts, in whatever order these are added.  */
struct snap_assembly;

struct snap_assembly *snap_assembly_new (void);
void snap_assembly_free (struct snap_assembly *assembly);

/*! snap_assembly_add () :
 *  Adds one append of the stream; bytes that are not a valid part are ignored.
 *  @position : the offset of the append in the stream of snapshots. */
void snap_assembly_add (struct snap_assembly *assembly, uint64_t position,
                        const uint8_t *data, size_t size_bytes);

/*! snap_assembly_best () :
 *  @return : the preferred complete snapshot so far (see snap_read ()), which
 *            is borrowed; or NULL, and the outputs are not set. */
const uint8_t *snap_assembly_best (const struct snap_assembly *assembly,
                                   uint64_t *offset, size_t *size_bytes);

/*! snap_assembly_is_final () :
 *  Whether the preferred snapshot has at least the offset WANTED and older
 *  appends cannot change the choice. */
bool snap_assembly_is_final (const struct snap_assembly *assembly,
                             uint64_t wanted);

#endif
