/* Encodes and decodes the records of the jobs' topic; their formats are in
   lib/proto/jobs.proto.  Prefix: jb_.  */

#ifndef FT_JOBS_RECORDS_H
#define FT_JOBS_RECORDS_H

#include "jobs/model.h"

enum
{
  /* Tasks whose progress is in one record: few, since each change of a task
     writes its record again, and each host reads it; but a gang of 26 has no
     more than four records.  */
  JB_BLOCK_TASKS = 8
};

/* Which host is the planner.  */
struct jb_term_record
{
  uint64_t term;  /* grows with each new planner */
  char host[128]; /* of the planner; empty: it has released the term */
  uint64_t nonce; /* random, so that a host knows its own record */
};

/* How a host announces itself to the other hosts.  */
struct jb_host_record
{
  uint32_t strength; /* how much planning it can do, without a unit; the host
                        with the greatest value should become the planner */
  char address[64];  /* IP:PORT where it serves callers */
};

/* Each encoder returns a new array, to be freed by the caller.  */
GByteArray *jb_encode_spec (const struct jb_spec *spec);
/* The state of the job; its tasks are in blocks, see below.  */
GByteArray *jb_encode_progress (const struct jb_job *job, uint64_t term);
GByteArray *jb_encode_cancel (int64_t unix_ms);
GByteArray *jb_encode_host (const struct jb_host_record *host);
GByteArray *jb_encode_term (const struct jb_term_record *term);

/*! jb_encode_leases () :
 *  @leases : id of a worker -> GUINT_TO_POINTER (time until its lease ends, in
 *            ms). */
GByteArray *jb_encode_leases (GHashTable *leases);

/*! jb_decode_spec () :
 *  @return : JB_OK with *out set, owned by the caller; or an error of enum
 *            jb_error. */
int jb_decode_spec (struct jb_spec **out, const uint8_t *bytes, size_t size);

/*! jb_decode_host (), jb_decode_term () :
 *  @return : JB_OK with *out set, or JB_ERR_FORMAT. */
int jb_decode_host (struct jb_host_record *out, const uint8_t *bytes,
                    size_t size);
/*! jb_decode_leases () :
 *  @out : set to a table as of jb_encode_leases (), owned by the caller.
 *  @return : JB_OK with *out set, or JB_ERR_FORMAT. */
int jb_decode_leases (GHashTable **out, const uint8_t *bytes, size_t size);

int jb_decode_term (struct jb_term_record *out, const uint8_t *bytes,
                    size_t size);

/*! jb_apply_progress () :
 *  Sets the state of JOB as recorded.  All tasks of a completed job are done.
 *  @term : set to the term under which the record was written.
 *  @return : JB_OK, or JB_ERR_FORMAT with nothing changed. */
int jb_apply_progress (struct jb_job *job, uint64_t *term,
                       const uint8_t *bytes, size_t size);

/*! jb_block_count () :
 *  @return : how many blocks of JB_BLOCK_TASKS tasks the job has; a completed
 *            job has none. */
size_t jb_block_count (const struct jb_job *job);

/*! jb_encode_block () :
 *  @return : the progress of the tasks of one block. */
GByteArray *jb_encode_block (const struct jb_job *job, size_t block);

/*! jb_apply_block () :
 *  Sets the state of the block's tasks as recorded, unless the job has
 *  completed.
 *  @return : JB_OK; JB_ERR_FORMAT or, if the job has no such block,
 *            JB_ERR_LIMIT, with nothing changed. */
int jb_apply_block (struct jb_job *job, size_t block, const uint8_t *bytes,
                    size_t size);

#endif
