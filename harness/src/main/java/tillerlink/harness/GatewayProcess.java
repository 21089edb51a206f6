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

/** A gateway that runs in a separate process, as in production. */
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
   * Describes a gateway without starting it.
   *
   * @param folder the folder for its configuration and its log
   * @param name the gateway's name, which also names its files
   * @param listen the address on which it accepts clients
   * @param http2Kinds the engine kinds that are reached over HTTP/2
   * @param store the folder of the store that outlives the process, or null if it has none
   */
  GatewayProcess(
      Path folder, String name, InetSocketAddress listen, List<String> http2Kinds, Path store) {
    this.http2Kinds = http2Kinds;
    this.store = store;
    this.folder = folder;
    this.name = name;
    this.listen = listen;
  }

  /**
   * Writes the configuration and starts the process, without waiting until it is ready.
   *
   * @param seed the seed of the gateway's random generator
   * @param resolver the address of the discovery service
   * @param sockets the gateway's limit on open sockets
   * @param settings the settings of the dispatch policy
   * @param listVersion the version of the endpoint list
   * @param engines the endpoint list to start with
   * @throws IOException if the configuration cannot be written or the process cannot be started
   */
  void start(
      long seed,
      InetSocketAddress resolver,
      int sockets,
      Map<String, Object> settings,
      long listVersion,
      List<EndpointEntry> engines)
      throws IOException {
    Path file = folder.resolve(name + ".json");
    try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
      json.writeStartObject();
      json.writeStringField("name", name);
      json.writeStringField("listen", hostAndPort(listen));
      json.writeStringField("resolver", hostAndPort(resolver));
      json.writeStringField("seed", Long.toHexString(seed));
      json.writeObjectFieldStart("limits");
      json.writeNumberField("sockets", sockets);
      json.writeEndObject();
      writeEndpoints(json, listVersion, engines);
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

  /** Writes the operator's file, which names the HTTP/2 engine kinds and the store's folder. */
  private Path operatorFile() throws IOException {
    String kinds =
        http2Kinds.isEmpty()
            ? ""
            : "http2 {\n  kinds = [\"" + String.join("\", \"", http2Kinds) + "\"]\n}\n";
    String storeBlock = store == null ? "" : "store {\n  folder = \"" + store + "\"\n}\n";
    return Files.writeString(folder.resolve(name + ".hcl"), kinds + storeBlock);
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static void writeEndpoints(
      JsonGenerator json, long listVersion, List<EndpointEntry> engines) throws IOException {
    json.writeObjectFieldStart("known");
    json.writeNumberField("index", listVersion);
    json.writeArrayFieldStart("updates");
    json.writeStartObject();
    json.writeNumberField("index", listVersion);
    json.writeObjectFieldStart("endpoints");
    json.writeNumberField("index", listVersion);
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

  /**
   * Waits until the health check succeeds, for at most 30 s.
   *
   * @throws IOException if the process exits or the time runs out before that, or if the thread is
   *     interrupted
   */
  void awaitReady() throws IOException {
    long timeoutAt = System.nanoTime() + READY_TIMEOUT_NANOS;
    while (System.nanoTime() < timeoutAt && process.isAlive()) {
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
        // The gateway does not answer yet; the loop tries again.
      }
      try {
        Thread.sleep(POLL_INTERVAL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    throw new IOException(
        "gateway "
            + name
            + " is not ready: it exited, timed out after 30 s, or the wait was interrupted; see "
            + folder.resolve(name + ".log"));
  }

  /** Kills the process without a chance to shut down. */
  void kill() {
    process.destroyForcibly();
  }

  /**
   * Requests a shutdown and kills the process if it has not exited within 10 s. Does nothing if it
   * was never started.
   */
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
