package tillerlink.peering.channels;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import tillerlink.channels.Channels;
import tillerlink.channels.Page;
import tillerlink.channels.State;
import tillerlink.channels.cue.Cue;
import tillerlink.channels.entry.AppendResult;
import tillerlink.messages.channels.Entry;
import tillerlink.net.wire.HttpResponse;
import tillerlink.peering.json.JsonBody;

/** Creates the responses to requests for the logs of channels. */
final class ChannelResponses {
  private static final int TENTHS_PER_MS = 10;
  private static final long UNKNOWN_RETRY_MS = 1000;

  private ChannelResponses() {}

  private static HttpResponse ok(JsonBody.FieldsWriter fields) {
    return new HttpResponse(200, JsonBody.object(fields), 0, false);
  }

  private static HttpResponse problem(
      int status, String problem, String explanation, long retryAfterMs) {
    return new HttpResponse(status, JsonBody.problem(problem, explanation), retryAfterMs, false);
  }

  static HttpResponse malformed(String explanation) {
    return problem(400, "Malformed", explanation, 0);
  }

  /**
   * Creates the response to an append that did not become durable in time. It may become durable
   * later.
   */
  static HttpResponse appendOutcomeUnknown() {
    return problem(503, "Unknown", "it is not kept yet; ask again with its key", UNKNOWN_RETRY_MS);
  }

  static HttpResponse appended(AppendResult result) {
    if (result instanceof AppendResult.Refused refused) {
      return refused.retryAfter() > 0
          ? problem(
              503, "Refused", refused.why(), Math.max(1, refused.retryAfter() / TENTHS_PER_MS))
          : problem(409, "Refused", refused.why(), 0);
    }
    AppendResult.Taken taken = (AppendResult.Taken) result;
    return ok(
        json -> {
          json.writeStringField("id", taken.id().text());
          json.writeNumberField("written_ms", taken.id().stamp() >> Entry.COUNTER);
          json.writeBooleanField("again", taken.again());
        });
  }

  // ---- log ----

  static HttpResponse page(Page page) {
    return ok(
        json -> {
          json.writeNumberField("first", page.first());
          json.writeNumberField("stable", page.stable());
          json.writeBooleanField("more", page.more());
          json.writeArrayFieldStart("events");
          for (Page.Line line : page.lines()) {
            writeEvent(json, line);
          }
          json.writeEndArray();
        });
  }

  private static void writeEvent(JsonGenerator json, Page.Line line) throws IOException {
    Entry entry = line.entry();
    json.writeStartObject();
    json.writeNumberField("index", line.index());
    json.writeStringField("id", entry.dot().text());
    json.writeBooleanField("stable", line.stable());
    json.writeStringField("kind", JsonBody.lowerCaseName(entry.kind()));
    json.writeStringField("site", entry.site());
    json.writeStringField("gateway", entry.gateway());
    json.writeNumberField("written_ms", entry.millis());
    writeUnlessEmpty(json, "cue", entry.cue());
    writeUnlessEmpty(json, "text", entry.text());
    writeUnlessEmpty(json, "key", entry.key());
    writeAirTime(json, entry.airsAt());
    writeIfTrue(json, "late", line.late());
    writeIfTrue(json, "repeat", line.repeat());
    json.writeEndObject();
  }

  private static void writeUnlessEmpty(JsonGenerator json, String field, String value)
      throws IOException {
    if (!value.isEmpty()) {
      json.writeStringField(field, value);
    }
  }

  private static void writeIfTrue(JsonGenerator json, String field, boolean value)
      throws IOException {
    if (value) {
      json.writeBooleanField(field, true);
    }
  }

  private static void writeAirTime(JsonGenerator json, long airsAt) throws IOException {
    if (airsAt > 0) {
      json.writeNumberField("airs_ms", airsAt);
    }
  }

  // ---- cues ----

  static HttpResponse cues(Channels channels, String channel) {
    return ok(
        json -> {
          json.writeArrayFieldStart("cues");
          for (Cue cue : channels.cues(channel)) {
            writeCue(json, cue);
          }
          json.writeEndArray();
        });
  }

  private static void writeCue(JsonGenerator json, Cue cue) throws IOException {
    json.writeStartObject();
    json.writeStringField("cue", cue.name());
    json.writeStringField("text", cue.text());
    json.writeBooleanField("retracted", cue.isRetracted());
    writeAirTime(json, cue.airsAt());
    JsonBody.writeStrings(
        json, "flags", cue.flags().stream().map(JsonBody::lowerCaseName).toList());
    json.writeArrayFieldStart("versions");
    for (Cue.Version version : cue.versions()) {
      json.writeStartObject();
      json.writeStringField("id", version.dot().text());
      json.writeStringField("gateway", version.gateway());
      json.writeStringField("text", version.text());
      json.writeEndObject();
    }
    json.writeEndArray();
    JsonBody.writeStrings(json, "seen", cue.standing().stream().map(dot -> dot.text()).toList());
    json.writeEndObject();
  }

  // ---- state ----

  static HttpResponse state(Channels channels) {
    State state = channels.state();
    return ok(
        json -> {
          JsonBody.writeStrings(json, "channels", channels.names());
          json.writeStringField("incarnation", Long.toHexString(state.incarnation()));
          json.writeNumberField("steps", state.applied());
          json.writeNumberField("steps_known", state.decided());
          json.writeNumberField("steps_compacted", state.compacted());
          json.writeNumberField("stable", state.stable());
          json.writeNumberField("provisional", state.provisional());
          json.writeNumberField("bytes", state.bytes());
          JsonBody.writeStrings(json, "voters", state.voters());
          json.writeBooleanField("votes", state.votes());
          json.writeBooleanField("leads", state.leads());
          json.writeNumberField("refused_ahead", state.refusedAhead());
          json.writeNumberField("malformed", state.malformed());
          json.writeNumberField("asked_again", state.askedAgain());
          json.writeNumberField("not_kept", state.keepFailures());
          json.writeNumberField("own_taken_back", state.ownTakenBack());
          json.writeNumberField("two_contents", state.twoContents());
        });
  }
}
