package tillerlink.net.wire;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import tillerlink.model.Engine.Status;

/** Reads a gateway's configuration from its parsed JSON. */
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

  private static final String NO_ADDRESS = "0.0.0.0:0";
  private static final int SEED_RADIX = 16;

  /** More connections than an address has ports are of no use. */
  private static final int MAX_SOCKETS = 1 << 16;

  private GatewayConfigReader() {}

  /**
   * Reads the whole configuration.
   *
   * @throws IllegalArgumentException if a value is missing or unusable; the message says which
   */
  static GatewayConfig read(ConfigObject all) {
    ConfigObject limits = all.objectOrEmpty(LIMITS);
    ConfigObject known = all.objectOrEmpty(KNOWN);
    String updatesPath = KNOWN + "." + UPDATES;
    List<EndpointWatchEvent> events = new ArrayList<>();
    for (Object update : known.listOrEmpty(UPDATES, updatesPath)) {
      events.add(event(ConfigObject.of(update, updatesPath)));
    }
    InetSocketAddress resolver = address(all.text(RESOLVER));
    if (resolver.getPort() == 0) {
      throw new InvalidConfigException("'" + RESOLVER + "' has no port");
    }
    return new GatewayConfig(
        all.text(NAME),
        address(all.text(LISTEN)),
        resolver,
        Long.parseUnsignedLong(all.text(SEED), SEED_RADIX),
        sockets(limits.get(SOCKETS)),
        ConfigObject.of(all.get(SETTINGS), SETTINGS).values(),
        events);
  }

  /** Without a stated limit, the process has the file descriptors that its system gives it. */
  private static int sockets(Object stated) {
    if (stated == null) {
      return ManagementFactory.getOperatingSystemMXBean()
              instanceof UnixOperatingSystemMXBean system
          ? (int) Math.min(MAX_SOCKETS, system.getMaxFileDescriptorCount())
          : MAX_SOCKETS;
    }
    if (stated instanceof Number number && number.longValue() > 0) {
      return (int) Math.min(MAX_SOCKETS, number.longValue());
    }
    throw new InvalidConfigException("'" + LIMITS + "." + SOCKETS + "' is not a number above 0");
  }

  private static EndpointWatchEvent event(ConfigObject update) {
    ConfigObject endpoints = ConfigObject.of(update.get(ENDPOINTS), ENDPOINTS);
    List<EndpointEntry> entries = new ArrayList<>();
    for (Object raw : endpoints.list(ENDPOINTS, ENDPOINTS + "." + ENDPOINTS)) {
      entries.add(entry(ConfigObject.of(raw, "an endpoint")));
    }
    boolean whole = Boolean.TRUE.equals(endpoints.get(SNAPSHOT));
    return new EndpointWatchEvent(update.number(INDEX, 0).longValue(), whole, entries);
  }

  private static EndpointEntry entry(ConfigObject endpoint) {
    Status status =
        switch (endpoint.text(STATUS)) {
          case SERVING -> Status.READY;
          case DRAINING -> Status.DRAINING;
          default -> Status.GONE;
        };
    InetSocketAddress address =
        address(endpoint.get(ADDRESS) instanceof String text ? text : NO_ADDRESS);
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

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new InvalidConfigException("not an address with a port: " + text);
    }
    InetSocketAddress address =
        new InetSocketAddress(
            text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    if (address.isUnresolved()) {
      throw new InvalidConfigException("not an address with a port: " + text);
    }
    return address;
  }
}
