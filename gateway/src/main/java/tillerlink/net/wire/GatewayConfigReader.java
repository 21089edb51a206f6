package tillerlink.net.wire;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import tillerlink.model.Engine.Status;

/** Reader of a gateway configuration from its parsed JSON. */
final class GatewayConfigReader {
  private static final String NAME = "name";
  private static final String LISTEN = "listen";
  private static final String RESOLVER = "resolver";
  private static final String SEED = "seed";
  private static final String SETTINGS = "settings";
  private static final String LIMITS = "limits";
  private static final String SOCKETS = "sockets";
  private static final String KNOWN = "known";
  private static final String UPDATES = "updates";
  private static final String INDEX = "index";
  private static final String ENDPOINTS = "endpoints";
  private static final String SNAPSHOT = "snapshot";
  private static final String STATUS = "status";
  private static final String SERVING = "SERVING";
  private static final String DRAINING = "DRAINING";
  private static final String ADDRESS = "address";
  private static final String ZONE = "zone";
  private static final String KIND = "type";
  private static final String CELL = "group";
  private static final String WEIGHT = "weight";
  private static final String STARTED_MS = "since_ms";

  /** The address of an endpoint entry that states none. */
  private static final String NO_ADDRESS = "0.0.0.0:0";

  /** The seed is written in hexadecimal. */
  private static final int SEED_RADIX = 16;

  /**
   * The upper bound on file descriptors for connections. More are not useful, because an address
   * has only this many ports.
   */
  private static final int MAX_SOCKETS = 1 << 16;

  private GatewayConfigReader() {}

  /**
   * Reads the whole configuration.
   *
   * @throws IllegalArgumentException if a value is missing or invalid; the exception's message
   *     names the value
   */
  static GatewayConfig read(ConfigObject root) {
    ConfigObject limits = root.objectOrEmpty(LIMITS);
    ConfigObject initialLists = root.objectOrEmpty(KNOWN);
    String updatesPath = KNOWN + "." + UPDATES;
    List<EndpointWatchEvent> events = new ArrayList<>();
    for (Object update : initialLists.listOrEmpty(UPDATES, updatesPath)) {
      events.add(readUpdate(ConfigObject.of(update, updatesPath)));
    }
    InetSocketAddress resolver = parseAddress(root.text(RESOLVER));
    if (resolver.getPort() == 0) {
      throw new InvalidConfigException(
          "'" + RESOLVER + "' must have a port above 0, found " + root.text(RESOLVER));
    }
    return new GatewayConfig(
        root.text(NAME),
        parseAddress(root.text(LISTEN)),
        resolver,
        Long.parseUnsignedLong(root.text(SEED), SEED_RADIX),
        readSockets(limits.get(SOCKETS)),
        ConfigObject.of(root.get(SETTINGS), SETTINGS).values(),
        events);
  }

  /**
   * Returns the number of file descriptors for connections. Without a configured limit, this is the
   * limit that the operating system sets for the process.
   *
   * @param configured the configured limit, or null if there is none
   */
  private static int readSockets(Object configured) {
    if (configured == null) {
      return ManagementFactory.getOperatingSystemMXBean()
              instanceof UnixOperatingSystemMXBean system
          ? (int) Math.min(MAX_SOCKETS, system.getMaxFileDescriptorCount())
          : MAX_SOCKETS;
    }
    if (configured instanceof Number number && number.longValue() > 0) {
      return (int) Math.min(MAX_SOCKETS, number.longValue());
    }
    throw new InvalidConfigException(
        "'" + LIMITS + "." + SOCKETS + "' must be a number above 0, found " + configured);
  }

  private static EndpointWatchEvent readUpdate(ConfigObject update) {
    ConfigObject endpoints = ConfigObject.of(update.get(ENDPOINTS), ENDPOINTS);
    List<EndpointEntry> entries = new ArrayList<>();
    for (Object raw : endpoints.list(ENDPOINTS, ENDPOINTS + "." + ENDPOINTS)) {
      entries.add(readEntry(ConfigObject.of(raw, "endpoints.endpoints[]")));
    }
    boolean complete = Boolean.TRUE.equals(endpoints.get(SNAPSHOT));
    return new EndpointWatchEvent(update.number(INDEX, 0).longValue(), complete, entries);
  }

  private static EndpointEntry readEntry(ConfigObject endpoint) {
    Status status =
        switch (endpoint.text(STATUS)) {
          case SERVING -> Status.READY;
          case DRAINING -> Status.DRAINING;
          default -> Status.GONE;
        };
    InetSocketAddress address =
        parseAddress(endpoint.get(ADDRESS) instanceof String text ? text : NO_ADDRESS);
    return new EndpointEntry(
        endpoint.text(NAME),
        address.getHostString(),
        address.getPort(),
        String.valueOf(endpoint.get(ZONE)),
        String.valueOf(endpoint.get(KIND)),
        endpoint.number(CELL, 0).intValue(),
        status,
        endpoint.number(WEIGHT, 1).doubleValue(),
        endpoint.number(STARTED_MS, 0).longValue());
  }

  private static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new InvalidConfigException("expected an address of the form host:port, found " + text);
    }
    InetSocketAddress address =
        new InetSocketAddress(
            text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    if (address.isUnresolved()) {
      throw new InvalidConfigException("cannot resolve the host in address " + text);
    }
    return address;
  }
}
