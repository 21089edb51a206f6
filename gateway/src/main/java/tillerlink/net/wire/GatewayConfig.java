package tillerlink.net.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import tillerlink.plain.Json;

/**
 * A gateway's configuration, as its file states it.
 *
 * @param listen where clients connect
 * @param resolver where the discovery service is asked
 * @param seed the start of the gateway's random numbers
 * @param sockets how many file descriptors there are for connections
 * @param terms the settings of the dispatch policy and of extensions, as in the file
 * @param known endpoint lists to start with, the oldest first
 */
public record GatewayConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress resolver,
    long seed,
    int sockets,
    Map<String, Object> terms,
    List<EndpointWatchEvent> known) {
  private static final String REQUEST_CLASSES = "profiles";
  private static final String REQUEST_CLASS_NAME = "name";

  /** The names of the request classes. */
  public List<String> requestClasses() {
    return new ConfigObject(terms)
        .listOrEmpty(REQUEST_CLASSES, REQUEST_CLASSES).stream()
            .map(profile -> ConfigObject.of(profile, "a profile").text(REQUEST_CLASS_NAME))
            .toList();
  }

  /** The bound on client connections: two fifths of the descriptors. */
  public int maxClients() {
    return Math.max(1, sockets * 2 / 5);
  }

  /**
   * The bound on engine connections: a third of the descriptors; bursts of clients use the rest.
   */
  public int maxConnections() {
    return Math.max(1, sockets / 3);
  }

  /** The same, with that many descriptors in use for other things. */
  public GatewayConfig without(int inUse) {
    return new GatewayConfig(
        name, listen, resolver, seed, Math.max(1, sockets - inUse), terms, known);
  }

  /**
   * Reads a configuration file in JSON.
   *
   * @throws IOException if it can't be read or is not what it should be; the message says what
   */
  public static GatewayConfig read(Path file) throws IOException {
    try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(file))) {
      if (parser.nextToken() == null) {
        throw new InvalidConfigException("the configuration is empty");
      }
      return GatewayConfigReader.read(ConfigObject.of(Json.value(parser), "the configuration"));
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }
}
