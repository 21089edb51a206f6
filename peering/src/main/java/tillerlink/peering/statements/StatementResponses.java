package tillerlink.peering.statements;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Map;
import java.util.SortedMap;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;
import tillerlink.net.wire.HttpResponse;
import tillerlink.peering.json.JsonBody;
import tillerlink.statements.SchemaState;
import tillerlink.statements.catalog.CatalogEntry;
import tillerlink.statements.catalog.Outcome;
import tillerlink.statements.run.Permission;

/** Creates the responses to requests for prepared statements and schemas. */
final class StatementResponses {
  private static final long TENTHS_PER_MS = 10;
  private static final long UNKNOWN_RETRY_MS = 1000;

  private StatementResponses() {}

  private static HttpResponse ok(JsonBody.FieldsWriter fields) {
    return new HttpResponse(200, JsonBody.object(fields), 0, false);
  }

  static HttpResponse problem(int status, String problem, String explanation, long retryAfterMs) {
    return new HttpResponse(status, JsonBody.problem(problem, explanation), retryAfterMs, false);
  }

  /**
   * Creates the response for the outcome of a change of the catalog.
   *
   * @param field the name of the JSON field for the outcome's number
   */
  static HttpResponse outcome(Outcome outcome, String field) {
    return switch (outcome.verdict()) {
      case DONE -> ok(json -> json.writeNumberField(field, outcome.id()));
      case REFUSED -> problem(409, "Refused", outcome.message(), 0);
      case UNKNOWN -> problem(503, "Unknown", outcome.message(), UNKNOWN_RETRY_MS);
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
    int status = denied.retryAfter() > 0 ? 503 : 409;
    return problem(status, problem, denied.message(), toMillisRoundedUp(denied.retryAfter()));
  }

  private static long toMillisRoundedUp(long tenths) {
    return (tenths + TENTHS_PER_MS - 1) / TENTHS_PER_MS;
  }

  static HttpResponse statement(CatalogEntry entry) {
    Definition definition = entry.definition();
    return ok(
        json -> {
          json.writeStringField("name", definition.name());
          json.writeNumberField("generation", entry.generation());
          json.writeStringField("state", JsonBody.lowerCaseName(entry.state()));
          if (entry.change() != 0) {
            json.writeNumberField("change", entry.change());
          }
          json.writeStringField("text", definition.text());
          JsonBody.writeStrings(
              json,
              "parameters",
              definition.parameters().stream().map(JsonBody::lowerCaseName).toList());
          writeVersions(json, entry.versions());
          JsonBody.writeStrings(json, "uses", definition.uses());
          json.writeStringField("track", definition.requestClass());
          json.writeStringField("effect", JsonBody.lowerCaseName(definition.effect()));
        });
  }

  private static void writeVersions(JsonGenerator json, SortedMap<Integer, Long> versions)
      throws IOException {
    json.writeObjectFieldStart("versions");
    for (Map.Entry<Integer, Long> group : versions.entrySet()) {
      json.writeNumberField(group.getKey().toString(), group.getValue());
    }
    json.writeEndObject();
  }

  /**
   * Creates the response that describes the schema of a table group.
   *
   * @param now the current time of the clock that leases are measured with, in tenths of a
   *     millisecond
   */
  static HttpResponse schema(SchemaState schema, long now) {
    return ok(
        json -> {
          json.writeNumberField("group", schema.group());
          json.writeNumberField("version", schema.version());
          json.writeNumberField(
              "lease_ms", Math.max(0, (schema.leaseEnds() - now) / TENTHS_PER_MS));
          json.writeArrayFieldStart("waiting");
          for (Map.Entry<Long, Change> waiting : schema.waiting().entrySet()) {
            writeWaitingChange(json, waiting.getKey(), waiting.getValue());
          }
          json.writeEndArray();
          JsonBody.writeStrings(json, "statements", schema.statements());
        });
  }

  private static void writeWaitingChange(JsonGenerator json, long number, Change change)
      throws IOException {
    json.writeStartObject();
    json.writeNumberField("change", number);
    json.writeArrayFieldStart("groups");
    for (int group : change.groups()) {
      json.writeNumber(group);
    }
    json.writeEndArray();
    json.writeEndObject();
  }
}
