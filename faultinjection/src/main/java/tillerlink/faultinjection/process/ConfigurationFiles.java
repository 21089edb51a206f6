package tillerlink.faultinjection.process;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Writes the configuration files of a gateway. */
final class ConfigurationFiles {
  private static final String LOOPBACK = "127.0.0.1:";

  // Shorter than in production, so that a run of seconds covers what takes minutes there.
  private static final int PROBE_MS = 200;

  private static final long SEED = 0x8c1f30d2L;
  private static final int MAX_SOCKETS = 512;
  private static final int ABSENT_AFTER_S = 5;
  private static final int LEASE_MS = 1000;

  private final GatewaySpec spec;

  ConfigurationFiles(GatewaySpec spec) {
    this.spec = spec;
  }

  /** Writes the JSON configuration that the platform provides, and returns its path. */
  Path configuration() throws IOException {
    Path file = spec.folder().resolve("configuration.json");
    try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
      json.writeStartObject();
      json.writeStringField("name", spec.name());
      json.writeStringField("listen", LOOPBACK + spec.http());
      json.writeStringField("resolver", LOOPBACK + spec.discovery());
      json.writeStringField("seed", Long.toHexString(SEED + spec.name().hashCode()));
      json.writeObjectFieldStart("limits");
      json.writeNumberField("sockets", MAX_SOCKETS);
      json.writeEndObject();
      writeEndpoints(json);
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

  private void writeEndpoints(JsonGenerator json) throws IOException {
    json.writeObjectFieldStart("known");
    json.writeNumberField("index", 1);
    json.writeArrayFieldStart("updates");
    json.writeStartObject();
    json.writeNumberField("index", 1);
    json.writeObjectFieldStart("endpoints");
    json.writeNumberField("index", 1);
    json.writeBooleanField("snapshot", true);
    json.writeArrayFieldStart("endpoints");
    for (int i = 0; i < spec.engines().size(); i++) {
      json.writeStartObject();
      json.writeStringField("name", "e" + (i + 1));
      json.writeStringField("address", LOOPBACK + spec.engines().get(i));
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

  /** Writes the operator's file, with the components of shared state, and returns its path. */
  Path operatorFile() throws IOException {
    StringBuilder text = new StringBuilder();
    text.append("log {\n  form = \"text\"\n}\n");
    text.append("store {\n  folder = \"").append(store()).append("\"\n}\n");
    if (spec.shared().compareTo(GatewaySpec.Shared.MEMBERS) >= 0) {
      appendMembers(text);
    }
    if (spec.shared().compareTo(GatewaySpec.Shared.CHANNELS) >= 0) {
      text.append("channels {\n  sites = ")
          .append(hclList(spec.channelVoters()))
          .append("\n  voters = ")
          .append(hclList(spec.channelVoters()))
          .append("\n  absent_after_s = ")
          .append(ABSENT_AFTER_S)
          .append("\n}\n");
    }
    if (spec.shared().compareTo(GatewaySpec.Shared.STATEMENTS) >= 0) {
      text.append("statements {\n  voters = ")
          .append(hclList(spec.voters()))
          .append("\n  lease_ms = ")
          .append(LEASE_MS)
          .append("\n}\n");
    }
    return Files.writeString(spec.folder().resolve("operator.hcl"), text);
  }

  private void appendMembers(StringBuilder text) {
    text.append("members {\n  fleet = \"storm\"\n  listen = \"")
        .append(LOOPBACK)
        .append(spec.members())
        .append("\"\n  site = \"")
        .append(spec.site())
        .append("\"\n  probe_ms = ")
        .append(PROBE_MS)
        .append("\n  seeds = ")
        .append(hclList(spec.reach().values().stream().map(port -> LOOPBACK + port).toList()))
        .append('\n');
    for (Map.Entry<String, Integer> address : spec.reach().entrySet()) {
      text.append("  reach \"")
          .append(address.getKey())
          .append("\" {\n    at = \"")
          .append(LOOPBACK)
          .append(address.getValue())
          .append("\"\n  }\n");
    }
    text.append("}\n");
  }

  private static String hclList(List<String> texts) {
    return texts.stream().map(text -> '"' + text + '"').collect(Collectors.joining(", ", "[", "]"));
  }

  /** Returns the folder of the gateway's store. */
  Path store() {
    return spec.folder().resolve("store");
  }
}
