package tillerlink.net.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tillerlink.model.Engine.Status;
import tillerlink.plain.Json;

/** What a gateway is told at its start. */
public record GatewayConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress resolver,
    long seed,
    int sockets,
    Map<String, Object> terms,
    List<EndpointWatchEvent> known) {
  private static final int HEX = 16;

  /** More connections than an address has ports are of no use. */
  private static final int PORTS = 1 << 16;

  /** The names of the request classes. */
  public List<String> requestClasses() {
    return list(terms.getOrDefault("profiles", List.of()), "profiles").stream()
        .map(requestClass -> text(object(requestClass, "a profile"), "name"))
        .toList();
  }

  /** Two fifths of the descriptors are for clients: these hold a third at most. */
  public int maxClients() {
    return Math.max(1, sockets * 2 / 5);
  }

  /** A third is for engines; a burst of newcomers has the rest. */
  public int maxConnections() {
    return Math.max(1, sockets / 3);
  }

  /** Of its descriptors so many are in use for other things. */
  public GatewayConfig without(int inUse) {
    return new GatewayConfig(
        name, listen, resolver, seed, Math.max(1, sockets - inUse), terms, known);
  }

  /**
   * @throws IOException if it can't be read or is not what it should be; the message says what
   */
  public static GatewayConfig read(Path file) throws IOException {
    try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(file))) {
      if (parser.nextToken() == null) {
        throw new IllegalArgumentException("the configuration is empty");
      }
      return of(object(Json.value(parser), "the configuration"));
    } catch (IllegalArgumentException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  private static GatewayConfig of(Map<String, Object> all) {
    Map<String, Object> limits = object(all.getOrDefault("limits", Map.of()), "limits");
    Map<String, Object> known = object(all.getOrDefault("known", Map.of()), "known");
    List<EndpointWatchEvent> news = new ArrayList<>();
    for (Object update : list(known.getOrDefault("updates", List.of()), "known.updates")) {
      news.add(news(object(update, "known.updates")));
    }
    InetSocketAddress resolver = address(text(all, "resolver"));
    if (resolver.getPort() == 0) {
      throw new IllegalArgumentException("'resolver' has no port");
    }
    return new GatewayConfig(
        text(all, "name"),
        address(text(all, "listen")),
        resolver,
        Long.parseUnsignedLong(text(all, "seed"), HEX),
        descriptors(limits.get("sockets")),
        object(all.get("settings"), "settings"),
        news);
  }

  /** Where none are stated, the process has what its system gives it. */
  private static int descriptors(Object stated) {
    if (stated == null) {
      return ManagementFactory.getOperatingSystemMXBean()
              instanceof UnixOperatingSystemMXBean system
          ? (int) Math.min(PORTS, system.getMaxFileDescriptorCount())
          : PORTS;
    }
    if (stated instanceof Number number && number.longValue() > 0) {
      return (int) Math.min(PORTS, number.longValue());
    }
    throw new IllegalArgumentException("'limits.sockets' is not a number above 0");
  }

  private static EndpointWatchEvent news(Map<String, Object> update) {
    Map<String, Object> told = object(update.get("endpoints"), "endpoints");
    List<EndpointEntry> entries = new ArrayList<>();
    for (Object raw : list(told.get("endpoints"), "endpoints.endpoints")) {
      Map<String, Object> one = object(raw, "an endpoint");
      Status standing =
          switch (text(one, "status")) {
            case "SERVING" -> Status.READY;
            case "DRAINING" -> Status.DRAINING;
            default -> Status.GONE;
          };
      InetSocketAddress at =
          address(one.get("address") instanceof String text ? text : "0.0.0.0:0");
      entries.add(
          new EndpointEntry(
              text(one, "name"),
              at.getHostString(),
              at.getPort(),
              String.valueOf(one.get("zone")),
              String.valueOf(one.get("type")),
              number(one, "group", 0).intValue(),
              standing,
              number(one, "weight", 1).doubleValue(),
              number(one, "since_ms", 0).longValue()));
    }
    boolean whole = Boolean.TRUE.equals(told.get("snapshot"));
    return new EndpointWatchEvent(number(update, "index", 0).longValue(), whole, entries);
  }

  private static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not an address with a port: " + text);
    }
    InetSocketAddress address =
        new InetSocketAddress(
            text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    if (address.isUnresolved()) {
      throw new IllegalArgumentException("not an address with a port: " + text);
    }
    return address;
  }

  private static String text(Map<String, Object> from, String name) {
    if (from.get(name) instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw new IllegalArgumentException("'" + name + "' is missing or not a text");
  }

  private static Number number(Map<String, Object> from, String name, Number otherwise) {
    return from.get(name) instanceof Number number ? number : otherwise;
  }

  private static List<?> list(Object raw, String what) {
    if (raw instanceof List<?> list) {
      return list;
    }
    throw new IllegalArgumentException("'" + what + "' is not a list");
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> object(Object raw, String what) {
    if (raw instanceof Map<?, ?> map) {
      return (Map<String, Object>) map;
    }
    throw new IllegalArgumentException("'" + what + "' is not an object");
  }
}
