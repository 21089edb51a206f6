package tillerlink.operator;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parser for the addresses of gateways in the form {@code host:port}. The host is an IP literal, as
 * in 10.0.0.7:7400 or [fd00::7]:7400. Host names are not accepted, so that gateways find each other
 * while the discovery service is down.
 */
public final class Addresses {
  private static final int MAX_BYTE = 255;
  private static final Pattern PATTERN =
      Pattern.compile("([0-9]{1,3}(?:[.][0-9]{1,3}){3}|\\[[0-9a-fA-F:.]{2,45}\\]):([0-9]{1,5})");
  private static final int MAX_PORT = 65_535;

  private Addresses() {}

  /**
   * Parses an address.
   *
   * @return null if the address is malformed, a wildcard or a multicast address, or if the port is
   *     not within 1 and 65535
   */
  public static InetSocketAddress parse(String text) {
    Matcher matcher = PATTERN.matcher(text);
    if (!matcher.matches()) {
      return null;
    }
    int port = Integer.parseInt(matcher.group(2));
    InetAddress host = parseHost(matcher.group(1));
    return host == null
            || port < 1
            || port > MAX_PORT
            || host.isAnyLocalAddress()
            || host.isMulticastAddress()
        ? null
        : new InetSocketAddress(host, port);
  }

  /**
   * Parses an IP literal. The JDK does no DNS lookup for literals.
   *
   * @return null if the literal is malformed
   */
  private static InetAddress parseHost(String literal) {
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

  /**
   * Reads a required address and records an error if it is invalid.
   *
   * @return the address as written, or an empty string if it is missing
   */
  static String read(Section section, String name) {
    String given = section.string(name, null);
    validate(section, name, given);
    return given;
  }

  /**
   * Reads a list of unique addresses and records an error for each invalid one.
   *
   * @param limit the maximum number of addresses
   * @return the valid addresses in the order of the file; empty if the attribute is absent
   */
  static List<String> readList(Section section, String name, int limit) {
    List<String> given = NameRules.distinct(section, name, section.strings(name, false), limit);
    List<String> valid = new ArrayList<>();
    for (String address : given) {
      if (validate(section, name, address)) {
        valid.add(address);
      }
    }
    return List.copyOf(valid);
  }

  /** Returns whether an address is valid, and records an error if it is not. */
  private static boolean validate(Section section, String name, String given) {
    boolean valid = parse(given) != null;
    if (!valid && !given.isEmpty()) {
      section.errorAt(
          name,
          "'"
              + given
              + "' in '"
              + name
              + "' is not a unicast IP address with a port, such as 10.0.0.7:7400");
    }
    return valid;
  }
}
