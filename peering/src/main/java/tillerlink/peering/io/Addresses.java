package tillerlink.peering.io;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Addresses as members tell them to each other: host:port with the host written out in digits.
 * Nothing is looked up, for that could wait. Used by one thread.
 */
final class Addresses {
  private static final int KEPT_MOST = 4096;
  private static final int PORT_MOST = 65_535;

  private final Map<String, InetSocketAddress> known = new LinkedHashMap<>(64, 0.75f, true);

  /** Null if it is none. */
  InetSocketAddress of(String text) {
    InetSocketAddress address = known.get(text);
    if (address == null) {
      address = parse(text);
      if (address != null) {
        if (known.size() >= KEPT_MOST) {
          known.remove(known.keySet().iterator().next());
        }
        known.put(text, address);
      }
    }
    return address;
  }

  static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    String port = text.substring(colon + 1);
    boolean written =
        host.matches("[0-9]{1,3}([.][0-9]{1,3}){3}") || host.matches("\\[[0-9a-fA-F:.]{2,45}]");
    if (!written || !port.matches("[0-9]{1,5}")) {
      return null;
    }
    int number = Integer.parseInt(port);
    try {
      return number < 1 || number > PORT_MOST
          ? null
          : new InetSocketAddress(InetAddress.getByName(host), number);
    } catch (UnknownHostException e) {
      return null;
    }
  }
}
