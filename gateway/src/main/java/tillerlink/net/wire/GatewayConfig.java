package tillerlink.net.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import tillerlink.plain.Json;

/**
 * The configuration of a gateway, as read from its file.
 *
 * @param name the name of the gateway
 * @param listen the address on which clients connect
 * @param resolver the address of the discovery service
 * @param seed the seed of the gateway's random number generator
 * @param sockets the number of file descriptors available for connections
 * @param settings the settings of the dispatch policy and of extensions, as stated in the file
 * @param initialEndpointUpdates the endpoint lists and changes to start with, oldest first
 */
public record GatewayConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress resolver,
    long seed,
    int sockets,
    Map<String, Object> settings,
    List<EndpointWatchEvent> initialEndpointUpdates) {
  private static final String REQUEST_CLASSES = "profiles";
  private static final String REQUEST_CLASS_NAME = "name";

  /**
   * Returns the names of the request classes, in the order of the configuration.
   *
   * @throws IllegalArgumentException if the settings have request classes of the wrong form
   */
  public List<String> requestClasses() {
    return new ConfigObject(settings)
        .listOrEmpty(REQUEST_CLASSES, REQUEST_CLASSES).stream()
            .map(profile -> ConfigObject.of(profile, "profiles[]").text(REQUEST_CLASS_NAME))
            .toList();
  }

  /** Returns the limit on client connections: two fifths of the file descriptors. */
  public int maxClients() {
    return Math.max(1, sockets * 2 / 5);
  }

  /**
   * Returns the limit on engine connections: a third of the file descriptors. The descriptors that
   * neither limit uses are left for bursts of clients.
   */
  public int maxConnections() {
    return Math.max(1, sockets / 3);
  }

  /**
   * Returns a copy of this configuration with fewer file descriptors available for connections.
   *
   * @param inUse the number of descriptors that are needed for other purposes
   */
  public GatewayConfig withoutDescriptors(int inUse) {
    return new GatewayConfig(
        name,
        listen,
        resolver,
        seed,
        Math.max(1, sockets - inUse),
        settings,
        initialEndpointUpdates);
  }

  /**
   * Reads a configuration file in JSON.
   *
   * @throws IOException if the file cannot be read or its content is invalid; the exception's
   *     message names the file that is missing or the value that is invalid
   */
  public static GatewayConfig read(Path file) throws IOException {
    try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(file))) {
      if (parser.nextToken() == null) {
        throw new InvalidConfigException("configuration file " + file + " is empty");
      }
      return GatewayConfigReader.read(ConfigObject.of(Json.value(parser), "configuration"));
    } catch (NoSuchFileException e) {
      throw new IOException("configuration file " + file + " does not exist", e);
    } catch (AccessDeniedException e) {
      throw new IOException("configuration file " + file + " cannot be read: access denied", e);
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }
}
