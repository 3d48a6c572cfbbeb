/* Key claims of requests that must not run twice, and the rules that decide
   which of their records take effect.  */

#include <string.h>

#include "state/state_private.h"

struct st_stored_claim *
st_claim_new (const Ft__Claim *record, const char *host)
{
  struct st_stored_claim *stored = g_new0 (struct st_stored_claim, 1);
  struct st_claim *claim = &stored->claim;

  stored->refs = 1;
  claim->key = st_text_new (record->key);
  claim->request = st_text_new (record->request);
  claim->team = g_ref_string_new_intern (record->team);
  claim->service = g_ref_string_new_intern (record->service);
  claim->host = g_ref_string_new_intern (host);
  claim->digest = st_bytes_new (record->digest.data, record->digest.len);
  claim->digest_size_bytes = record->digest.len;
  claim->state = ST_CLAIM_OPEN;
  return stored;
}

static struct st_stored_claim *
claim_copy (struct st_stored_claim *stored)
{
  struct st_stored_claim *copy = g_new (struct st_stored_claim, 1);
  struct st_claim *claim = &copy->claim;

  *copy = *stored;
  copy->refs = 1;
  claim->key = st_text_share (claim->key);
  claim->request = st_text_share (claim->request);
  claim->team = st_text_share (claim->team);
  claim->service = st_text_share (claim->service);
  claim->host = st_text_share (claim->host);
  claim->digest = st_bytes_share (claim->digest);
  claim->answer = st_bytes_share (claim->answer);
  return copy;
}

struct st_claim *
st_claim_ref (struct st_claim *claim)
{
  struct st_stored_claim *stored = (struct st_stored_claim *)claim;

  stored->refs++;
  return claim;
}

void
st_claim_unref (struct st_claim *claim)
{
  struct st_stored_claim *stored = (struct st_stored_claim *)claim;

  if (claim == NULL || --stored->refs > 0)
    return;
  st_text_release (claim->key);
  st_text_release (claim->request);
  st_text_release (claim->team);
  st_text_release (claim->service);
  st_text_release (claim->host);
  st_bytes_release (claim->digest);
  st_bytes_release (claim->answer);
  g_free (stored);
}

struct st_stored_claim *
st_claim_make_writable (GList *link)
{
  struct st_stored_claim *stored = link->data;

  if (stored->refs > 1)
    {
      link->data = claim_copy (stored);
      st_claim_unref (&stored->claim);
    }
  return link->data;
}

void
st_claim_add (struct st_state *state, struct st_stored_claim *stored)
{
  g_queue_push_tail (&state->claim_order, stored);
  g_hash_table_insert (state->claims, st_text_share (stored->claim.key),
                       state->claim_order.tail);
}

static void
publish_claim (struct st_state *state, struct st_claim *claim)
{
  claim->changed_ms = state->time_ms;
  st_expiry_add (state, true, claim->key, claim->changed_ms);
  if (state->observer.on_claim != NULL)
    state->observer.on_claim (state->observer.ctx, claim);
}

static bool
claim_is_valid (const Ft__Claim *record)
{
  return st_is_valid_name (record->key) && st_is_valid_name (record->request)
         && record->digest.len <= ST_DIGEST_LIMIT_BYTES;
}

enum st_verdict
st_fold_claim (struct st_state *state, const char *host,
               const Ft__Claim *record)
{
  struct st_stored_claim *stored;
  struct st_claim *claim;
  GList *link;

  if (!claim_is_valid (record))
    return ST_VERDICT_MALFORMED;
  link = g_hash_table_lookup (state->claims, record->key);
  if (link == NULL)
    {
      stored = st_claim_new (record, host);
      st_claim_add (state, stored);
      publish_claim (state, &stored->claim);
      return ST_VERDICT_VALID;
    }
  claim = &((struct st_stored_claim *)link->data)->claim;
  if (!st_bytes_equal (claim->digest, claim->digest_size_bytes,
                       record->digest.data, record->digest.len))
    return ST_VERDICT_KEY_CONFLICT;
  /* A request never claims its key twice: a late copy of its record would
     otherwise claim the key again after the request was reported not run.  */
  if (claim->state != ST_CLAIM_NOT_RUN
      || strcmp (claim->request, record->request) == 0)
    return ST_VERDICT_KEY_TAKEN;
  stored = st_claim_new (record, host);
  st_claim_unref (claim);
  link->data = stored;
  publish_claim (state, &stored->claim);
  return ST_VERDICT_VALID;
}

/* Only the host that claimed the key knows that it sent nothing.  An outcome
   that is known is final: only ST_CLAIM_UNKNOWN can still become another
   outcome, and only by the host that claimed the key.  */
static bool
outcome_is_allowed (const struct st_claim *claim, const char *host,
                    enum st_claim_state state)
{
  bool own = strcmp (claim->host, host) == 0;

  if (state == ST_CLAIM_NOT_RUN && !own)
    return false;
  if (claim->state == ST_CLAIM_OPEN)
    return true;
  return claim->state == ST_CLAIM_UNKNOWN && own && state != ST_CLAIM_UNKNOWN;
}

enum st_verdict
st_fold_claim_end (struct st_state *state, const char *host,
                   const Ft__ClaimEnd *record)
{
  GList *link = g_hash_table_lookup (state->claims, record->key);
  struct st_claim *claim;

  if (record->state < ST_CLAIM_DONE || record->state > ST_CLAIM_UNKNOWN
      || record->answer.len > ST_OUTPUT_LIMIT_BYTES)
    return ST_VERDICT_MALFORMED;
  if (link == NULL)
    return ST_VERDICT_WRONG_STATE;
  claim = &((struct st_stored_claim *)link->data)->claim;
  if (strcmp (claim->request, record->request) != 0
      || !outcome_is_allowed (claim, host, (enum st_claim_state)record->state))
    return ST_VERDICT_WRONG_STATE;
  claim = &st_claim_make_writable (link)->claim;
  claim->state = (enum st_claim_state)record->state;
  claim->status = record->status;
  st_bytes_release (claim->answer);
  claim->answer = st_bytes_new (record->answer.data, record->answer.len);
  claim->answer_size_bytes = record->answer.len;
  publish_claim (state, claim);
  return ST_VERDICT_VALID;
}
