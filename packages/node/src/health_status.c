#include <jansson.h>

#include "health_service.h"

static json_t *
text (str_t s)
{
  return json_stringn (s.data, s.len);
}

static json_t *
evidence_status (const lt_health_evidence_t *evidence)
{
  return json_pack ("{s:s, s:f, s:f, s:f, s:f, s:f, s:i}", "reason",
                    lt_health_stream_name (evidence->stream), "share",
                    evidence->share, "baseline", evidence->baseline, "score",
                    evidence->score, "threshold", evidence->threshold,
                    "responses", evidence->trials, "failure_domains",
                    (int)evidence->domains);
}

static json_t *
ejection_status (const lt_health_service_t *service, uint32_t i,
                 int64_t now_us)
{
  const lt_ejection_t *entry = &service->view.record.entries[i];
  bool ejected = entry->state == LT_EJECTION_EJECTED;
  bool in_effect
      = lt_health_state (service->local, entry->upstream) == LT_HEALTH_EJECTED;
  return json_pack (
      "{s:o, s:s, s:b, s:I, s:I, s:i, s:I, s:o}", "upstream",
      text (lt_health_service_upstream (service, entry->upstream)), "state",
      ejected ? "ejected" : "returned", "in_effect", in_effect, "since",
      (json_int_t)(entry->since_wall_us / LT_US_PER_S), "seen_for_ms",
      (json_int_t)((now_us - service->view.first_seen_us[i]) / LT_US_PER_MS),
      "repeats", (int)entry->repeats, "hold_ms",
      (json_int_t)(entry->min_duration_us / LT_US_PER_MS), "evidence",
      evidence_status (&entry->evidence));
}

json_t *
lt_health_service_status (const lt_health_service_t *service, int64_t now_us)
{
  json_t *ejections = json_array ();
  json_t *avoided = json_array ();
  json_t *out = json_array ();
  for (uint32_t i = 0; i < service->view.record.count; i++)
    json_array_append_new (ejections, ejection_status (service, i, now_us));
  for (uint32_t u = 0; u < service->pool.count; u++)
    {
      str_t name = lt_health_service_upstream (service, u);
      const lt_health_evidence_t *evidence
          = lt_health_local_evidence (service->local, u);
      if (evidence != NULL)
        json_array_append_new (
            avoided, json_pack ("{s:o, s:o}", "upstream", text (name),
                                "evidence", evidence_status (evidence)));
      if (service->pool.upstreams[u].out_of_service)
        json_array_append_new (out, text (name));
    }
  return json_pack (
      "{s:o, s:f, s:i, s:s, s:b, s:I, s:I, s:o, s:o, s:o}", "service",
      text (service->name), "usable_share",
      lt_health_usable_share (service->local), "floor_percent",
      (int)service->pool.floor_percent, "aggregator", service->aggregator,
      "aggregates_here", service->fleet != NULL, "record_version",
      (json_int_t)service->view.record.version, "record_age_ms",
      (json_int_t)((now_us - service->confirmed_us) / LT_US_PER_MS),
      "ejections", ejections, "avoided_here", avoided, "out", out);
}
