package tillerlink.operator;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Addresses of gateways as host:port. The host is a literal, as in 10.0.0.7:7400 or [fd00::7]:7400:
 * nothing is looked up, so that gateways find each other also while the discovery service is down.
 */
public final class Addresses {
  private static final int MAX_BYTE = 255;
  private static final Pattern FORM =
      Pattern.compile("([0-9]{1,3}(?:[.][0-9]{1,3}){3}|\\[[0-9a-fA-F:.]{2,45}\\]):([0-9]{1,5})");
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /** Parses an address; null if it is malformed or not the address of one gateway. */
  public static InetSocketAddress socket(String text) {
    Matcher parts = FORM.matcher(text);
    if (!parts.matches()) {
      return null;
    }
    int port = Integer.parseInt(parts.group(2));
    InetAddress host = host(parts.group(1));
    return host == null
            || port < 1
            || port > MAX_PORT
            || host.isAnyLocalAddress()
            || host.isMulticastAddress()
        ? null
        : new InetSocketAddress(host, port);
  }

  /** Parses a literal, for which the JDK does no look-up. */
  private static InetAddress host(String literal) {
    try {
      if (literal.startsWith("[")) {
        return InetAddress.getByName(literal);
      }
      byte[] bytes = new byte[4];
      String[] parts = literal.split("[.]", -1);
      for (int i = 0; i < bytes.length; i++) {
        int part = Integer.parseInt(parts[i]);
        if (part > MAX_BYTE) {
          return null;
        }
        bytes[i] = (byte) part;
      }
      return InetAddress.getByAddress(bytes);
    } catch (UnknownHostException e) {
      return null;
    }
  }

  static String read(Section section, String name) {
    String given = section.text(name, null);
    check(section, name, given);
    return given;
  }

  /** A list of addresses; empty if the key is absent. */
  static List<String> list(Section section, String name, int limit) {
    List<String> given = NameRules.distinct(section, name, section.texts(name, false), limit);
    List<String> valid = new ArrayList<>();
    for (String address : given) {
      if (check(section, name, address)) {
        valid.add(address);
      }
    }
    return List.copyOf(valid);
  }

  private static boolean check(Section section, String name, String given) {
    boolean valid = socket(given) != null;
    if (!valid && !given.isEmpty()) {
      section.faultAt(
          name, "'" + given + "' is not the address and port of one gateway, as in 10.0.0.7:7400");
    }
    return valid;
  }
}
