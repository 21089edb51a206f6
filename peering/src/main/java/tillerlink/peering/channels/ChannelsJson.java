package tillerlink.peering.channels;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import tillerlink.channels.Channels;
import tillerlink.channels.Page;
import tillerlink.channels.State;
import tillerlink.channels.cue.Cue;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.channels.entry.AppendResult;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Entry;
import tillerlink.messages.channels.Kind;

/** What clients say to and hear of the logs of channels, as JSON. */
final class ChannelsJson {
  private static final JsonFactory JSON = new JsonFactory();

  private interface Writing {
    void to(JsonGenerator json) throws IOException;
  }

  private ChannelsJson() {}

  private static byte[] object(Writing writing) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      json.writeStartObject();
      writing.to(json);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  static byte[] problem(String problem, String words) {
    return object(
        json -> {
          json.writeStringField("problem", problem);
          json.writeStringField("words", words);
        });
  }

  static byte[] taken(AppendResult.Taken taken) {
    return object(
        json -> {
          json.writeStringField("id", taken.id().text());
          json.writeNumberField("written_ms", taken.id().stamp() >> Entry.COUNTER);
          json.writeBooleanField("again", taken.again());
        });
  }

  /**
   * @throws IOException in words for the client, if that is no event
   */
  static AppendRequest draft(byte[] body, String key) throws IOException {
    Kind kind = null;
    String cue = "";
    String text = "";
    long airsAt = 0;
    List<Dot> seen = null;
    try (JsonParser json = JSON.createParser(body)) {
      want(json.nextToken() == JsonToken.START_OBJECT, "an object is wanted");
      while (json.nextToken() == JsonToken.FIELD_NAME) {
        String name = json.currentName();
        JsonToken token = json.nextToken();
        switch (name) {
          case "kind" -> kind = kind(text(json, name));
          case "cue" -> cue = text(json, name);
          case "text" -> text = text(json, name);
          case "airs_ms" -> {
            want(token == JsonToken.VALUE_NUMBER_INT, "'airs_ms' is no whole number");
            airsAt = json.getLongValue();
          }
          case "seen" -> seen = seen(json);
          default -> throw new IOException("'" + name + "' is not known here");
        }
      }
      want(
          json.currentToken() == JsonToken.END_OBJECT && json.nextToken() == null,
          "one object is wanted");
    } catch (JsonProcessingException e) {
      throw new IOException("no JSON: " + e.getOriginalMessage(), e);
    }
    AppendRequest draft = new AppendRequest(kind, cue, text, airsAt, key, seen);
    String fault = draft.fault().orElse(null);
    want(fault == null, fault);
    return draft;
  }

  private static void want(boolean holds, String words) throws IOException {
    if (!holds) {
      throw new IOException(words);
    }
  }

  private static String text(JsonParser json, String name) throws IOException {
    want(json.currentToken() == JsonToken.VALUE_STRING, "'" + name + "' is no text");
    return json.getText();
  }

  private static Kind kind(String word) throws IOException {
    for (Kind kind : Kind.values()) {
      if (word(kind).equals(word)) {
        return kind;
      }
    }
    throw new IOException("'" + word + "' is no kind: cue, correction, retraction, air or note");
  }

  private static List<Dot> seen(JsonParser json) throws IOException {
    want(json.currentToken() == JsonToken.START_ARRAY, "'seen' is no list");
    List<Dot> seen = new ArrayList<>();
    while (json.nextToken() != JsonToken.END_ARRAY) {
      String id = text(json, "seen");
      seen.add(Dot.parse(id).orElseThrow(() -> new IOException("'" + id + "' is no event's id")));
      want(seen.size() <= AppendRequest.MAX_SEEN, "too many in 'seen'");
    }
    return seen;
  }

  private static String word(Enum<?> of) {
    return of.name().toLowerCase(Locale.ROOT);
  }

  static byte[] page(Page page) {
    return object(
        json -> {
          json.writeNumberField("first", page.first());
          json.writeNumberField("stable", page.stable());
          json.writeBooleanField("more", page.more());
          json.writeArrayFieldStart("events");
          for (Page.Line line : page.lines()) {
            line(json, line);
          }
          json.writeEndArray();
        });
  }

  private static void line(JsonGenerator json, Page.Line line) throws IOException {
    Entry entry = line.entry();
    json.writeStartObject();
    json.writeNumberField("index", line.index());
    json.writeStringField("id", entry.dot().text());
    json.writeBooleanField("stable", line.stable());
    json.writeStringField("kind", word(entry.kind()));
    json.writeStringField("site", entry.site());
    json.writeStringField("gateway", entry.gateway());
    json.writeNumberField("written_ms", entry.millis());
    optional(json, "cue", entry.cue());
    optional(json, "text", entry.text());
    optional(json, "key", entry.key());
    if (entry.airsAt() > 0) {
      json.writeNumberField("airs_ms", entry.airsAt());
    }
    if (line.late()) {
      json.writeBooleanField("late", true);
    }
    if (line.repeat()) {
      json.writeBooleanField("repeat", true);
    }
    json.writeEndObject();
  }

  private static void optional(JsonGenerator json, String name, String value) throws IOException {
    if (!value.isEmpty()) {
      json.writeStringField(name, value);
    }
  }

  static byte[] cues(Channels channels, String channel) {
    return object(
        json -> {
          json.writeArrayFieldStart("cues");
          for (Cue cue : channels.cues(channel)) {
            json.writeStartObject();
            json.writeStringField("cue", cue.name());
            json.writeStringField("text", cue.text());
            json.writeBooleanField("retracted", cue.isRetracted());
            if (cue.airsAt() > 0) {
              json.writeNumberField("airs_ms", cue.airsAt());
            }
            json.writeArrayFieldStart("flags");
            for (Enum<?> flag : cue.flags()) {
              json.writeString(word(flag));
            }
            json.writeEndArray();
            json.writeArrayFieldStart("versions");
            for (Cue.Version version : cue.versions()) {
              json.writeStartObject();
              json.writeStringField("id", version.dot().text());
              json.writeStringField("gateway", version.gateway());
              json.writeStringField("text", version.text());
              json.writeEndObject();
            }
            json.writeEndArray();
            json.writeArrayFieldStart("seen");
            for (Dot dot : cue.standing()) {
              json.writeString(dot.text());
            }
            json.writeEndArray();
            json.writeEndObject();
          }
          json.writeEndArray();
        });
  }

  static byte[] state(Channels channels) {
    State state = channels.state();
    return object(
        json -> {
          json.writeArrayFieldStart("channels");
          for (String name : channels.names()) {
            json.writeString(name);
          }
          json.writeEndArray();
          json.writeStringField("incarnation", Long.toHexString(state.incarnation()));
          json.writeNumberField("steps", state.applied());
          json.writeNumberField("steps_known", state.decided());
          json.writeNumberField("steps_compacted", state.compacted());
          json.writeNumberField("stable", state.stable());
          json.writeNumberField("provisional", state.provisional());
          json.writeNumberField("bytes", state.bytes());
          json.writeArrayFieldStart("voters");
          for (String voter : state.voters()) {
            json.writeString(voter);
          }
          json.writeEndArray();
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
