package tillerlink.peering.io;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A cache of parsed addresses in the form that members send to each other: host:port with the host
 * as an IP address. Host names are rejected because resolving them could block. Used by one thread.
 */
final class Addresses {
  private static final int MAX_CACHED = 4096;
  private static final int MAX_PORT = 65_535;
  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final Map<String, InetSocketAddress> cached =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  /** Returns the address from the cache or parses it; null if the text is not a valid address. */
  InetSocketAddress of(String text) {
    InetSocketAddress address = cached.get(text);
    if (address == null) {
      address = parse(text);
      if (address != null) {
        if (cached.size() >= MAX_CACHED) {
          cached.remove(cached.keySet().iterator().next());
        }
        cached.put(text, address);
      }
    }
    return address;
  }

  /**
   * Parses an address.
   *
   * @return null if the text is not an IP address with a port from 1 to 65535
   */
  static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    String digits = text.substring(colon + 1);
    boolean isLiteral =
        host.matches("[0-9]{1,3}([.][0-9]{1,3}){3}") || host.matches("\\[[0-9a-fA-F:.]{2,45}]");
    if (!isLiteral || !digits.matches("[0-9]{1,5}")) {
      return null;
    }
    int port = Integer.parseInt(digits);
    try {
      return port < 1 || port > MAX_PORT
          ? null
          : new InetSocketAddress(InetAddress.getByName(host), port);
    } catch (UnknownHostException e) {
      return null;
    }
  }
}
