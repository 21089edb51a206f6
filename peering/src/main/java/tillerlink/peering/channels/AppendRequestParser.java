package tillerlink.peering.channels;

import static tillerlink.peering.json.MalformedRequestException.require;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tillerlink.channels.entry.AppendRequest;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.Kind;
import tillerlink.peering.json.JsonBody;
import tillerlink.peering.json.MalformedRequestException;

/** Parses the body of a client's append request, which is one JSON object. */
final class AppendRequestParser {
  private static final JsonFactory JSON = new JsonFactory();

  private Kind kind;
  private String cue = "";
  private String text = "";
  private long airsAt;
  private List<Dot> seen;

  private AppendRequestParser() {}

  /**
   * Parses the body of an append request.
   *
   * @param key the client's operation key, or an empty string if there is none
   * @throws MalformedRequestException if the body is not a valid event; the message is sent to the
   *     client
   */
  static AppendRequest parse(byte[] body, String key) {
    AppendRequestParser fields = new AppendRequestParser();
    try (JsonParser json = JSON.createParser(body)) {
      require(json.nextToken() == JsonToken.START_OBJECT, "an object is wanted");
      while (json.nextToken() == JsonToken.FIELD_NAME) {
        fields.readField(json);
      }
      require(
          json.currentToken() == JsonToken.END_OBJECT && json.nextToken() == null,
          "one object is wanted");
    } catch (JsonProcessingException e) {
      throw new MalformedRequestException("no JSON: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new MalformedRequestException(e.getMessage(), e);
    }
    AppendRequest request =
        new AppendRequest(fields.kind, fields.cue, fields.text, fields.airsAt, key, fields.seen);
    request
        .fault()
        .ifPresent(
            fault -> {
              throw new MalformedRequestException(fault);
            });
    return request;
  }

  private void readField(JsonParser json) throws IOException {
    String name = json.currentName();
    JsonToken token = json.nextToken();
    switch (name) {
      case "kind" -> kind = readKind(json, name);
      case "cue" -> cue = readText(json, name);
      case "text" -> text = readText(json, name);
      case "airs_ms" -> {
        require(token == JsonToken.VALUE_NUMBER_INT, "'airs_ms' is no whole number");
        airsAt = json.getLongValue();
      }
      case "seen" -> seen = readSeen(json, name);
      default -> throw new MalformedRequestException("'" + name + "' is not known here");
    }
  }

  private static String readText(JsonParser json, String name) throws IOException {
    require(json.currentToken() == JsonToken.VALUE_STRING, "'" + name + "' is no text");
    return json.getText();
  }

  private static Kind readKind(JsonParser json, String name) throws IOException {
    String kindName = readText(json, name);
    for (Kind kind : Kind.values()) {
      if (JsonBody.lowerCaseName(kind).equals(kindName)) {
        return kind;
      }
    }
    throw new MalformedRequestException(
        "'" + kindName + "' is no kind: cue, correction, retraction, air or note");
  }

  private static List<Dot> readSeen(JsonParser json, String name) throws IOException {
    require(json.currentToken() == JsonToken.START_ARRAY, "'seen' is no list");
    List<Dot> seen = new ArrayList<>();
    while (json.nextToken() != JsonToken.END_ARRAY) {
      String id = readText(json, name);
      seen.add(
          Dot.parse(id)
              .orElseThrow(() -> new MalformedRequestException("'" + id + "' is no event's id")));
      require(seen.size() <= AppendRequest.MAX_SEEN, "too many in 'seen'");
    }
    return seen;
  }
}
