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

/** One gateway as a process of its own, as the platform runs it. */
final class GatewayProcess {
  private static final long READY_WITHIN_NANOS = 30_000_000_000L;
  private static final int CONNECT_MS = 500;
  private static final long PAUSE_MS = 20;

  private final Path folder;
  private final String name;
  private final InetSocketAddress listen;
  private final List<String> http2;
  private final Path store;
  private Process process;

  /**
   * @param http2 the kinds of engines that are reached over HTTP/2
   * @param store where it remembers what outlives it, or null
   */
  GatewayProcess(
      Path folder, String name, InetSocketAddress listen, List<String> http2, Path store) {
    this.http2 = http2;
    this.store = store;
    this.folder = folder;
    this.name = name;
    this.listen = listen;
  }

  /** Writes its configuration and starts it; it is not ready yet. */
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
      known(json, index, engines);
      json.writeFieldName("settings");
      write(json, settings);
      json.writeEndObject();
    }
    List<String> line =
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
    line.addAll(
        http2.isEmpty() && store == null
            ? List.of("tillerlink.Main", "serve")
            : List.of(
                "tillerlink.cli.Tillerlink", "serve", "--operator", operatorFile().toString()));
    ProcessBuilder builder = new ProcessBuilder(line);
    builder.environment().put("EDGE_CONFIG", file.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    process = builder.start();
  }

  private Path operatorFile() throws IOException {
    String kinds =
        http2.isEmpty() ? "" : "http2 {\n  kinds = [\"" + String.join("\", \"", http2) + "\"]\n}\n";
    String remembered = store == null ? "" : "store {\n  folder = \"" + store + "\"\n}\n";
    return Files.writeString(folder.resolve(name + ".hcl"), kinds + remembered);
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static void known(JsonGenerator json, long index, List<EndpointEntry> engines)
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
      json.writeStringField(
          "status",
          engine.standing() == Status.READY
              ? "SERVING"
              : engine.standing() == Status.DRAINING ? "DRAINING" : "DELETED");
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
      for (Object one : list) {
        write(json, one);
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

  /** Waits until it answers that it is healthy. */
  void awaitReady() throws IOException {
    long until = System.nanoTime() + READY_WITHIN_NANOS;
    while (System.nanoTime() < until && process.isAlive()) {
      try (Socket socket = new Socket()) {
        socket.connect(listen, CONNECT_MS);
        socket.setSoTimeout(CONNECT_MS);
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
        Thread.sleep(PAUSE_MS);
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
