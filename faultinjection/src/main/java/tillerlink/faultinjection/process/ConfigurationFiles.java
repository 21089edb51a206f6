package tillerlink.faultinjection.process;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** The files that a gateway is started with. */
final class ConfigurationFiles {
  private static final String LOOPBACK = "127.0.0.1:";

  /** Short ones, so that a play of seconds sees what takes minutes in the open. */
  private static final int PROBE_MS = 200;

  private static final int ABSENT_AFTER_S = 5;
  private static final int LEASE_MS = 1000;

  private final Plan plan;

  ConfigurationFiles(Plan plan) {
    this.plan = plan;
  }

  /** What the platform tells it. */
  Path configuration() throws IOException {
    Path file = plan.folder().resolve("configuration.json");
    try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
      json.writeStartObject();
      json.writeStringField("name", plan.name());
      json.writeStringField("listen", LOOPBACK + plan.http());
      json.writeStringField("resolver", LOOPBACK + plan.names());
      json.writeStringField("seed", Long.toHexString(0x8c1f30d2L + plan.name().hashCode()));
      json.writeObjectFieldStart("limits");
      json.writeNumberField("sockets", 512);
      json.writeEndObject();
      known(json);
      json.writeFieldName("settings");
      json.writeRawValue(
          "{\"tick_us\":5000,\"guarantees\":{\"drain_grace_us\":400000},"
              + "\"caps\":{\"max_attempts\":3,\"streams_per_conn\":16,"
              + "\"connect_timeout_us\":500000,\"retry_after\":true,\"max_retry_after_us\":500000},"
              + "\"models\":[\"std\"],\"zones\":[\"east\"],\"family_info\":{\"kind_cores\":[8]},\"profiles\":["
              + requestClass("look", "repeatable")
              + ","
              + requestClass("book", "once")
              + "]}");
      json.writeEndObject();
    }
    return file;
  }

  private static String requestClass(String name, String semantics) {
    return "{\"name\":\""
        + name
        + "\",\"semantics\":\""
        + semantics
        + "\",\"aim_us\":2000000,\"hard_limit_us\":4000000,\"worth\":1,\"late_worth\":0.5}";
  }

  private void known(JsonGenerator json) throws IOException {
    json.writeObjectFieldStart("known");
    json.writeNumberField("index", 1);
    json.writeArrayFieldStart("updates");
    json.writeStartObject();
    json.writeNumberField("index", 1);
    json.writeObjectFieldStart("endpoints");
    json.writeNumberField("index", 1);
    json.writeBooleanField("snapshot", true);
    json.writeArrayFieldStart("endpoints");
    for (int i = 0; i < plan.engines().size(); i++) {
      json.writeStartObject();
      json.writeStringField("name", "e" + (i + 1));
      json.writeStringField("address", LOOPBACK + plan.engines().get(i));
      json.writeStringField("zone", "east");
      json.writeStringField("type", "std");
      json.writeNumberField("group", 0);
      json.writeStringField("status", "SERVING");
      json.writeNumberField("weight", 1);
      json.writeNumberField("since_ms", 0);
      json.writeEndObject();
    }
    json.writeEndArray();
    json.writeEndObject();
    json.writeEndObject();
    json.writeEndArray();
    json.writeEndObject();
  }

  /** What the operator has written: the parts that gateways share. */
  Path operatorFile() throws IOException {
    StringBuilder text = new StringBuilder();
    text.append("log {\n  form = \"text\"\n}\n");
    text.append("store {\n  folder = \"").append(store()).append("\"\n}\n");
    if (plan.shared().compareTo(Plan.Shared.MEMBERS) >= 0) {
      members(text);
    }
    if (plan.shared().compareTo(Plan.Shared.CHANNELS) >= 0) {
      text.append("channels {\n  sites = ")
          .append(listed(plan.counted()))
          .append("\n  voters = ")
          .append(listed(plan.counted()))
          .append("\n  absent_after_s = ")
          .append(ABSENT_AFTER_S)
          .append("\n}\n");
    }
    if (plan.shared().compareTo(Plan.Shared.STATEMENTS) >= 0) {
      text.append("statements {\n  voters = ")
          .append(listed(plan.voters()))
          .append("\n  lease_ms = ")
          .append(LEASE_MS)
          .append("\n}\n");
    }
    return Files.writeString(plan.folder().resolve("operator.hcl"), text);
  }

  private void members(StringBuilder text) {
    text.append("members {\n  fleet = \"storm\"\n  listen = \"")
        .append(LOOPBACK)
        .append(plan.members())
        .append("\"\n  site = \"")
        .append(plan.site())
        .append("\"\n  probe_ms = ")
        .append(PROBE_MS)
        .append("\n  seeds = ")
        .append(listed(plan.reach().values().stream().map(port -> LOOPBACK + port).toList()))
        .append('\n');
    for (Map.Entry<String, Integer> way : plan.reach().entrySet()) {
      text.append("  reach \"")
          .append(way.getKey())
          .append("\" {\n    at = \"")
          .append(LOOPBACK)
          .append(way.getValue())
          .append("\"\n  }\n");
    }
    text.append("}\n");
  }

  private static String listed(List<String> all) {
    return all.stream().map(one -> '"' + one + '"').collect(Collectors.joining(", ", "[", "]"));
  }

  /** Where it keeps what outlives it. */
  Path store() {
    return plan.folder().resolve("store");
  }
}
