package tillerlink.harness;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import tillerlink.model.Engine.Status;
import tillerlink.net.wire.EndpointEntry;

/** One gateway in a process of its own, as in production. */
final class GatewayProcess {
  private static final long READY_TIMEOUT_NANOS = 30_000_000_000L;
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final long POLL_INTERVAL_MS = 20;

  private final Path folder;
  private final String name;
  private final InetSocketAddress listen;
  private final List<String> http2Kinds;
  private final Path store;
  private Process process;

  /**
   * Describes a gateway; it is not started.
   *
   * @param http2Kinds the kinds of engines that are reached over HTTP/2
   * @param store the folder in which it stores what outlives it, or null
   */
  GatewayProcess(
      Path folder, String name, InetSocketAddress listen, List<String> http2Kinds, Path store) {
    this.http2Kinds = http2Kinds;
    this.store = store;
    this.folder = folder;
    this.name = name;
    this.listen = listen;
  }

  /** Writes its configuration and starts it, without waiting until it is ready. */
  void start(
      long seed,
      InetSocketAddress resolver,
      int sockets,
      Map<String, Object> settings,
      long index,
      List<EndpointEntry> engines)
      throws IOException {
    Path file = folder.resolve(name + ".json");
    try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
      json.writeStartObject();
      json.writeStringField("name", name);
      json.writeStringField("listen", text(listen));
      json.writeStringField("resolver", text(resolver));
      json.writeStringField("seed", Long.toHexString(seed));
      json.writeObjectFieldStart("limits");
      json.writeNumberField("sockets", sockets);
      json.writeEndObject();
      writeEndpoints(json, index, engines);
      json.writeFieldName("settings");
      write(json, settings);
      json.writeEndObject();
    }
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xms64m",
                "-Xmx64m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path")));
    command.addAll(
        http2Kinds.isEmpty() && store == null
            ? List.of("tillerlink.Main", "serve")
            : List.of(
                "tillerlink.cli.Tillerlink", "serve", "--operator", operatorFile().toString()));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("EDGE_CONFIG", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    process = builder.start();
  }

  private Path operatorFile() throws IOException {
    String kinds =
        http2Kinds.isEmpty()
            ? ""
            : "http2 {\n  kinds = [\"" + String.join("\", \"", http2Kinds) + "\"]\n}\n";
    String storeBlock = store == null ? "" : "store {\n  folder = \"" + store + "\"\n}\n";
    return Files.writeString(folder.resolve(name + ".hcl"), kinds + storeBlock);
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static void writeEndpoints(JsonGenerator json, long index, List<EndpointEntry> engines)
      throws IOException {
    json.writeObjectFieldStart("known");
    json.writeNumberField("index", index);
    json.writeArrayFieldStart("updates");
    json.writeStartObject();
    json.writeNumberField("index", index);
    json.writeObjectFieldStart("endpoints");
    json.writeNumberField("index", index);
    json.writeBooleanField("snapshot", true);
    json.writeArrayFieldStart("endpoints");
    for (EndpointEntry engine : engines) {
      json.writeStartObject();
      json.writeStringField("name", engine.id());
      json.writeStringField("address", engine.address() + ":" + engine.port());
      json.writeStringField("zone", engine.zone());
      json.writeStringField("type", engine.kind());
      json.writeNumberField("group", engine.cell());
      json.writeStringField("status", statusOnWire(engine.standing()));
      json.writeNumberField("weight", engine.weight());
      json.writeNumberField("since_ms", engine.startedMs());
      json.writeEndObject();
    }
    json.writeEndArray();
    json.writeEndObject();
    json.writeEndObject();
    json.writeEndArray();
    json.writeEndObject();
  }

  private static String statusOnWire(Status status) {
    return switch (status) {
      case READY -> "SERVING";
      case DRAINING -> "DRAINING";
      default -> "DELETED";
    };
  }

  private static void write(JsonGenerator json, Object value) throws IOException {
    if (value instanceof Map<?, ?> map) {
      json.writeStartObject();
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        json.writeFieldName(String.valueOf(entry.getKey()));
        write(json, entry.getValue());
      }
      json.writeEndObject();
    } else if (value instanceof List<?> list) {
      json.writeStartArray();
      for (Object element : list) {
        write(json, element);
      }
      json.writeEndArray();
    } else if (value instanceof Long number) {
      json.writeNumber(number);
    } else if (value instanceof Double number) {
      json.writeNumber(number);
    } else if (value instanceof Boolean flag) {
      json.writeBoolean(flag);
    } else {
      json.writeString(String.valueOf(value));
    }
  }

  /** Waits until its health check succeeds. */
  void awaitReady() throws IOException {
    long until = System.nanoTime() + READY_TIMEOUT_NANOS;
    while (System.nanoTime() < until && process.isAlive()) {
      try (Socket socket = new Socket()) {
        socket.connect(listen, CONNECT_TIMEOUT_MS);
        socket.setSoTimeout(CONNECT_TIMEOUT_MS);
        socket
            .getOutputStream()
            .write(
                "GET /healthz HTTP/1.1\r\nHost: app\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
        InputStream in = socket.getInputStream();
        if (new String(in.readNBytes(12), StandardCharsets.US_ASCII).equals("HTTP/1.1 200")) {
          return;
        }
      } catch (IOException e) {
        // Not yet.
      }
      try {
        Thread.sleep(POLL_INTERVAL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    throw new IOException(
        "gateway " + name + " did not come up; its log is " + folder.resolve(name + ".log"));
  }

  void kill() {
    process.destroyForcibly();
  }

  /** Tells it to end, and sees that it does. */
  void end() {
    if (process == null) {
      return;
    }
    process.destroy();
    try {
      if (!process.waitFor(10, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    } catch (InterruptedException e) {
      process.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
