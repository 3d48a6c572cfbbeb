/* Records of the jobs' topic: between the model and bytes.  Prefix: jb_.  */

#ifndef FT_JOBS_RECORDS_H
#define FT_JOBS_RECORDS_H

#include "jobs/model.h"

struct jb_term
{
  uint64_t term;
  char host[128]; /* empty: released */
  uint64_t nonce;
};

struct jb_host
{
  uint32_t strength;
  char address[64]; /* IP:PORT of its callers' interface */
};

/* Each encoder returns bytes of its own, to be freed by the caller.  */
GByteArray *jb_encode_spec (const struct jb_spec *spec);
GByteArray *jb_encode_progress (const struct jb_job *job, uint64_t term);
GByteArray *jb_encode_cancel (int64_t unix_ms);
GByteArray *jb_encode_host (const struct jb_host *host);
GByteArray *jb_encode_term (const struct jb_term *term);

/*! jb_encode_leases () :
 *  @leases : id of a worker -> GUINT_TO_POINTER (what is left in ms). */
GByteArray *jb_encode_leases (GHashTable *leases);

/*! jb_decode_spec () :
 *  @return : JB_OK with *out set, owned by the caller; or a jb_error. */
int jb_decode_spec (struct jb_spec **out, const uint8_t *bytes, size_t size);

int jb_decode_host (struct jb_host *out, const uint8_t *bytes, size_t size);
/*! jb_decode_leases () :
 *  @return : JB_OK with *out set, as above, owned by the caller. */
int jb_decode_leases (GHashTable **out, const uint8_t *bytes, size_t size);

int jb_decode_term (struct jb_term *out, const uint8_t *bytes, size_t size);

/*! jb_apply_progress () :
 *  Sets JOB to what the record says, for a job whose specification is known;
 *  else only its state.
 *  @term : set to the term of the writer. */
int jb_apply_progress (struct jb_job *job, uint64_t *term,
                       const uint8_t *bytes, size_t size);

#endif
