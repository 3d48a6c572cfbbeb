/* Encodes and decodes the records of the jobs' topic; their formats are in
   lib/proto/jobs.proto.  Prefix: jb_.  */

#ifndef FT_JOBS_RECORDS_H
#define FT_JOBS_RECORDS_H

#include "jobs/model.h"

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
 *  Sets the state of JOB as recorded, and the state of each of its tasks if
 *  its specification is known and the record has as many tasks.
 *  @term : set to the term under which the record was written.
 *  @return : JB_OK, or JB_ERR_FORMAT with nothing changed. */
int jb_apply_progress (struct jb_job *job, uint64_t *term,
                       const uint8_t *bytes, size_t size);

#endif
