package tillerlink.peering.statements;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;
import tillerlink.net.wire.HttpResponse;
import tillerlink.statements.SchemaState;
import tillerlink.statements.catalog.CatalogEntry;
import tillerlink.statements.catalog.Outcome;
import tillerlink.statements.run.Permission;

/** Words answers to clients. */
final class StatementResponses {
  private static final long TENTHS_PER_MS = 10;
  private static final long UNKNOWN_COME_BACK = 1000;
  private static final JsonFactory JSON = new JsonFactory();

  private interface Body {
    void write(JsonGenerator json) throws IOException;
  }

  private StatementResponses() {}

  private static HttpResponse answer(int status, long retryAfter, Body body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator json = JSON.createGenerator(bytes)) {
      json.writeStartObject();
      body.write(json);
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return new HttpResponse(status, bytes.toByteArray(), retryAfter, false);
  }

  static HttpResponse problem(int status, String problem, String words, long retryAfterMs) {
    return answer(
        status,
        retryAfterMs,
        json -> {
          json.writeStringField("problem", problem);
          json.writeStringField("words", words);
        });
  }

  /**
   * @param field what the outcome's number is called
   */
  static HttpResponse outcome(Outcome outcome, String field) {
    return switch (outcome.verdict()) {
      case DONE -> answer(200, 0, json -> json.writeNumberField(field, outcome.id()));
      case REFUSED -> problem(409, "Refused", outcome.message(), 0);
      case UNKNOWN -> problem(503, "Unknown", outcome.message(), UNKNOWN_COME_BACK);
    };
  }

  static HttpResponse rejected(Permission.Denied denied) {
    String problem =
        switch (denied.reason()) {
          case OTHER -> "Other";
          case INVALID -> "Invalid";
          case ANEW, CHANGING -> "Changing";
          case UNKNOWN -> "NoLease";
        };
    boolean for503 = denied.retryAfter() > 0;
    return problem(
        for503 ? 503 : 409, problem, denied.message(), milliseconds(denied.retryAfter()));
  }

  static long milliseconds(long tenths) {
    return (tenths + TENTHS_PER_MS - 1) / TENTHS_PER_MS;
  }

  static HttpResponse standing(CatalogEntry of) {
    Definition definition = of.definition();
    return answer(
        200,
        0,
        json -> {
          json.writeStringField("name", definition.name());
          json.writeNumberField("generation", of.generation());
          json.writeStringField("state", low(of.state()));
          if (of.change() != 0) {
            json.writeNumberField("change", of.change());
          }
          json.writeStringField("text", definition.text());
          texts(
              json,
              "parameters",
              definition.parameters().stream().map(StatementResponses::low).toList());
          json.writeObjectFieldStart("versions");
          for (Map.Entry<Integer, Long> each : of.versions().entrySet()) {
            json.writeNumberField(each.getKey().toString(), each.getValue());
          }
          json.writeEndObject();
          texts(json, "uses", definition.uses());
          json.writeStringField("track", definition.requestClass());
          json.writeStringField("effect", low(definition.effect()));
        });
  }

  /**
   * @param now by the clock of the leases
   */
  static HttpResponse schema(SchemaState of, long now) {
    return answer(
        200,
        0,
        json -> {
          json.writeNumberField("group", of.group());
          json.writeNumberField("version", of.version());
          json.writeNumberField("lease_ms", Math.max(0, (of.leaseEnds() - now) / TENTHS_PER_MS));
          json.writeArrayFieldStart("waiting");
          for (Map.Entry<Long, Change> each : of.waiting().entrySet()) {
            json.writeStartObject();
            json.writeNumberField("change", each.getKey());
            json.writeArrayFieldStart("groups");
            for (int group : each.getValue().groups()) {
              json.writeNumber(group);
            }
            json.writeEndArray();
            json.writeEndObject();
          }
          json.writeEndArray();
          texts(json, "statements", of.statements());
        });
  }

  private static void texts(JsonGenerator json, String field, List<String> texts)
      throws IOException {
    json.writeArrayFieldStart(field);
    for (String text : texts) {
      json.writeString(text);
    }
    json.writeEndArray();
  }

  private static String low(Enum<?> word) {
    return word.name().toLowerCase(Locale.ROOT);
  }
}
